package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

const (
	// unansweredFor is how long a request that got no answer is remembered: an entry of a replica goes after three heartbeats of silence,
	// 3.6 s on the deployments measured, or when its successor registers.
	unansweredFor = 6 * time.Second
	// unansweredMost bounds them; the oldest are forgotten.
	unansweredMost = 512
)

// unansweredRequest is a request that was sent to a replica and not answered whole.
type unansweredRequest struct {
	fingerprint               Fingerprint
	request, service, replica string
	at                        time.Time
}

// unanswered are the requests of which it is open whether their replicas ended. The zero value is empty; it is safe for concurrent use.
type unanswered struct {
	mu   sync.Mutex
	list []unansweredRequest
}

func (unanswered *unanswered) add(left unansweredRequest) {
	unanswered.mu.Lock()
	defer unanswered.mu.Unlock()
	if len(unanswered.list) == unansweredMost {
		unanswered.list = slices.Delete(unanswered.list, 0, 1)
	}
	unanswered.list = append(unanswered.list, left)
}

// take removes and returns the requests whose replicas are gone, and forgets those that are too old or whose replicas are leaving.
func (unanswered *unanswered) take(replicas *catalog.ReplicaSet, now time.Time) []unansweredRequest {
	unanswered.mu.Lock()
	defer unanswered.mu.Unlock()
	var gone []unansweredRequest
	unanswered.list = slices.DeleteFunc(unanswered.list, func(left unansweredRequest) bool {
		if now.Sub(left.at) > unansweredFor {
			return true
		}
		registered := replicas.Find(left.replica)
		if registered == nil {
			gone = append(gone, left)
		}
		return registered == nil || registered.Draining
	})
	return gone
}

// takeOf removes and returns the requests that a replica left unanswered.
func (unanswered *unanswered) takeOf(replica string, now time.Time) []unansweredRequest {
	unanswered.mu.Lock()
	defer unanswered.mu.Unlock()
	var taken []unansweredRequest
	unanswered.list = slices.DeleteFunc(unanswered.list, func(left unansweredRequest) bool {
		if left.replica == replica && now.Sub(left.at) <= unansweredFor {
			taken = append(taken, left)
		}
		return left.replica == replica
	})
	return taken
}

// checkUnanswered finds out which replicas that left requests unanswered are registered no more.
func (guard *Guard) checkUnanswered(now time.Time) {
	for _, left := range guard.unanswered.take(guard.Catalog.Replicas(), now) {
		guard.crashed(left, evidenceUnregistered)
	}
}
