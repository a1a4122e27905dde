package forwarding

import "golang.org/x/sync/semaphore"

const (
	// SmallBody is the size in bytes up to which a body needs no reservation.
	SmallBody = 64 << 10
	// bodyMemory bounds the bytes of larger bodies that a node holds at one time.
	bodyMemory = 96 << 20
)

// Bodies bounds the memory of large bodies. It is safe for concurrent use.
type Bodies struct{ free *semaphore.Weighted }

// NewBodies returns bodies of which none is held.
func NewBodies() *Bodies { return &Bodies{free: semaphore.NewWeighted(bodyMemory)} }

// Reserve reports whether a body of so many bytes may be read now. Release gives the bytes back.
func (bodies *Bodies) Reserve(size int64) bool { return bodies.free.TryAcquire(size) }

// Release gives back what Reserve took.
func (bodies *Bodies) Release(size int64) { bodies.free.Release(size) }
