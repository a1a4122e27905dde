package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/backend"
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

// add reports whether another replica left the same request unanswered just before.
func (unanswered *unanswered) add(left unansweredRequest) (again bool) {
	unanswered.mu.Lock()
	defer unanswered.mu.Unlock()
	again = slices.ContainsFunc(unanswered.list, func(other unansweredRequest) bool {
		return other.fingerprint == left.fingerprint && other.replica != left.replica && left.at.Sub(other.at) <= unansweredFor
	})
	if len(unanswered.list) == unansweredMost {
		unanswered.list = slices.Delete(unanswered.list, 0, 1)
	}
	unanswered.list = append(unanswered.list, left)
	return again
}

// mayHave reports whether a request may be among them, without reading its body.
func (unanswered *unanswered) mayHave(service string, request *backend.Request) bool {
	unanswered.mu.Lock()
	defer unanswered.mu.Unlock()
	if len(unanswered.list) == 0 {
		return false
	}
	wanted := headOf(service, request)
	return slices.ContainsFunc(unanswered.list, func(left unansweredRequest) bool { return left.fingerprint.head() == wanted })
}

// replicasOf returns the replicas that left a request unanswered.
func (unanswered *unanswered) replicasOf(fingerprint Fingerprint) []string {
	unanswered.mu.Lock()
	defer unanswered.mu.Unlock()
	var replicas []string
	for _, left := range unanswered.list {
		if left.fingerprint == fingerprint {
			replicas = append(replicas, left.replica)
		}
	}
	return replicas
}

// drop forgets a request, which another replica has answered.
func (unanswered *unanswered) drop(fingerprint Fingerprint) {
	unanswered.mu.Lock()
	defer unanswered.mu.Unlock()
	unanswered.list = slices.DeleteFunc(unanswered.list, func(left unansweredRequest) bool { return left.fingerprint == fingerprint })
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
