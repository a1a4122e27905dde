package forwarding

import (
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// Errors of BodyReader.Read. A caller may retry after ErrNoMemory, since nothing of the request has run.
var (
	ErrTooLarge       = errors.New("the body is larger than the configured limit")
	ErrNoMemory       = errors.New("no memory left for request bodies")
	ErrIncompleteBody = errors.New("the body could not be read to its end")
)

const (
	// SmallBody is the size in bytes from which a body needs a reservation.
	SmallBody = 64 << 10
	// bodyMemory bounds the bytes reserved on a node at one time.
	bodyMemory = 96 << 20
	// defaultBodyLimit is the largest body in bytes if the configuration sets no limit.
	defaultBodyLimit = 32 << 20
)

// BodyReader reads request bodies and bounds the memory of the large ones. It is safe for concurrent use.
type BodyReader struct{ free *semaphore.Weighted }

// NewBodyReader returns a reader of bodies without reservations.
func NewBodyReader() *BodyReader { return &BodyReader{free: semaphore.NewWeighted(bodyMemory)} }

// Reserve reserves size bytes and reports whether they were available. Release returns them.
func (bodyReader *BodyReader) Reserve(size int64) bool { return bodyReader.free.TryAcquire(size) }

// Release returns size bytes reserved by Reserve.
func (bodyReader *BodyReader) Release(size int64) { bodyReader.free.Release(size) }

// Read reads a whole body of at most limit bytes. declared is the length that the caller declared, negative if it declared none.
// release must be called once the body is no longer used, also after an error.
func (bodyReader *BodyReader) Read(source io.Reader, declared, limit int64) (body []byte, release func(), err error) {
	release = func() {}
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	if declared > limit {
		return nil, release, ErrTooLarge
	}
	bounded := io.LimitReader(source, limit+1)
	body, err = io.ReadAll(io.LimitReader(bounded, SmallBody))
	if err == nil && len(body) == SmallBody {
		size := declared
		if size < 0 {
			size = limit
		}
		if !bodyReader.Reserve(size) {
			return nil, release, ErrNoMemory
		}
		release = func() { bodyReader.Release(size) }
		var rest []byte
		rest, err = io.ReadAll(bounded)
		body = append(body, rest...)
	}
	switch {
	case err != nil:
		return nil, release, errors.Mark(err, ErrIncompleteBody)
	case int64(len(body)) > limit:
		return nil, release, ErrTooLarge
	}
	return body, release, nil
}
