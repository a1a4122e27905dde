package forwarding

import (
	"sync"
	"time"
)

const (
	// deadlineTolerance is the part by which deadlines of first attempts differ.
	deadlineTolerance = 0.02
	// deadlineWeight is the weight of one call in the share of calls with the usual deadline.
	deadlineWeight = 1.0 / 64
	// uniformShare is the share of a tenant's calls on a route that must have the usual deadline for a shorter one to tell that a caller came back. It is
	// well over a half, so that callers of two kinds are not taken for one.
	uniformShare = 0.75
	// outlierShare is the share under which the longest deadline was given by so few that it is forgotten step by step.
	outlierShare = 0.1
	// maxUsualDeadlines bounds the routes and tenants with a known deadline. Beyond it all are forgotten.
	maxUsualDeadlines = 4096
)

// usualDeadline learns the deadline with which a tenant's callers first send a route's requests. A caller that comes back after a refusal gives only
// what remains of it, so that the difference is the time since its first attempt. It learns only from calls that found room at once: in a
// rush many calls are such returns.
type usualDeadline struct {
	mu      sync.Mutex
	longest time.Duration
	share   float64 // of calls with about the longest deadline
}

// learn records the deadline of a call that found room at once.
func (usual *usualDeadline) learn(deadline time.Duration) {
	usual.mu.Lock()
	defer usual.mu.Unlock()
	if float64(deadline) > (1+deadlineTolerance)*float64(usual.longest) {
		usual.longest, usual.share = deadline, 0
	}
	if usual.isFirst(deadline) {
		usual.share += deadlineWeight * (1 - usual.share)
		return
	}
	usual.share -= deadlineWeight * usual.share
	if usual.share < outlierShare {
		usual.longest -= time.Duration(deadlineWeight * float64(usual.longest-deadline))
	}
}

// isFirst must be called with mu held.
func (usual *usualDeadline) isFirst(deadline time.Duration) bool {
	return float64(deadline) >= (1-deadlineTolerance)*float64(usual.longest)
}

// elapsed returns how long ago the caller is taken to have sent the request first; zero if nothing tells that it came back.
func (usual *usualDeadline) elapsed(deadline time.Duration) time.Duration {
	usual.mu.Lock()
	defer usual.mu.Unlock()
	if deadline <= 0 || usual.share < uniformShare || usual.isFirst(deadline) {
		return 0
	}
	return usual.longest - deadline
}

// callers are the callers that are taken to give the same deadline. Tenants differ in theirs.
type callers struct{ route, tenant string }

// usualDeadlines are the usual deadlines by route and tenant. The zero value is empty. It is safe for concurrent use.
type usualDeadlines struct {
	mu    sync.RWMutex
	known map[callers]*usualDeadline
}

func (deadlines *usualDeadlines) of(key callers) *usualDeadline {
	deadlines.mu.RLock()
	own := deadlines.known[key]
	deadlines.mu.RUnlock()
	if own != nil {
		return own
	}
	deadlines.mu.Lock()
	defer deadlines.mu.Unlock()
	if own := deadlines.known[key]; own != nil {
		return own
	}
	if deadlines.known == nil || len(deadlines.known) >= maxUsualDeadlines {
		deadlines.known = make(map[callers]*usualDeadline)
	}
	own = &usualDeadline{}
	deadlines.known[key] = own
	return own
}
