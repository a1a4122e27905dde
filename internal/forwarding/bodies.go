package forwarding

import (
	"io"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/semaphore"
)

// Errors of Bodies.Read. After ErrMemory the caller may come back; nothing of the request has run.
var (
	ErrTooLarge = errors.New("the body is larger than the configuration allows")
	ErrMemory   = errors.New("other bodies fill the memory set aside for them")
	ErrNotRead  = errors.New("the body could not be read to its end")
)

const (
	// SmallBody is the size in bytes up to which a body needs no reservation.
	SmallBody = 64 << 10
	// bodyMemory bounds the bytes of larger bodies that a node holds at one time.
	bodyMemory = 96 << 20
	// defaultBody is the largest body in bytes where the configuration names no limit.
	defaultBody = 32 << 20
)

// Bodies bounds the memory of large bodies. It is safe for concurrent use.
type Bodies struct{ free *semaphore.Weighted }

// NewBodies returns bodies of which none is held.
func NewBodies() *Bodies { return &Bodies{free: semaphore.NewWeighted(bodyMemory)} }

// Reserve reports whether a body of so many bytes may be read now. Release gives the bytes back.
func (bodies *Bodies) Reserve(size int64) bool { return bodies.free.TryAcquire(size) }

// Release gives back what Reserve took.
func (bodies *Bodies) Release(size int64) { bodies.free.Release(size) }

// Read reads a whole body of at most limit bytes; announced is its length as the caller told, negative if it did not. Release must be
// called when the body is of no more use, also after an error.
func (bodies *Bodies) Read(source io.Reader, announced, limit int64) (body []byte, release func(), err error) {
	release = func() {}
	if limit <= 0 {
		limit = defaultBody
	}
	if announced > limit {
		return nil, release, ErrTooLarge
	}
	bounded := io.LimitReader(source, limit+1)
	body, err = io.ReadAll(io.LimitReader(bounded, SmallBody))
	if err == nil && len(body) == SmallBody {
		size := announced
		if size < 0 {
			size = limit
		}
		if !bodies.Reserve(size) {
			return nil, release, ErrMemory
		}
		release = func() { bodies.Release(size) }
		var rest []byte
		rest, err = io.ReadAll(bounded)
		body = append(body, rest...)
	}
	switch {
	case err != nil:
		return nil, release, errors.Mark(err, ErrNotRead)
	case int64(len(body)) > limit:
		return nil, release, ErrTooLarge
	}
	return body, release, nil
}
