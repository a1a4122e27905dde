package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

const (
	// unansweredRetention is how long an unanswered request is kept. It is longer than the registration of a crashed
	// replica lasts, which ends after three missed heartbeats or when the restarted replica registers. Three heartbeats are 3.6 s
	// on the known deployments.
	unansweredRetention = 6 * time.Second
	// maxUnanswered bounds the unanswered requests; the oldest is dropped first.
	maxUnanswered = 512
)

// unansweredRequest is a request that was sent to a replica and not answered in full.
type unansweredRequest struct {
	fingerprint               Fingerprint
	request, service, replica string
	at                        time.Time
}

// unanswered holds the requests for which it is not yet known whether the replica crashed. The zero value is empty; it is
// safe for concurrent use.
type unanswered struct {
	mu   sync.Mutex
	list []unansweredRequest
}

// add records a request, and reports whether another replica has recently left the same request unanswered.
func (unanswered *unanswered) add(added unansweredRequest) (again bool) {
	unanswered.mu.Lock()
	defer unanswered.mu.Unlock()
	again = slices.ContainsFunc(unanswered.list, func(other unansweredRequest) bool {
		return other.fingerprint == added.fingerprint && other.replica != added.replica && added.at.Sub(other.at) <= unansweredRetention
	})
	if len(unanswered.list) == maxUnanswered {
		unanswered.list = slices.Delete(unanswered.list, 0, 1)
	}
	unanswered.list = append(unanswered.list, added)
	return again
}

// mayContain reports whether a request may be recorded, without reading its body.
func (unanswered *unanswered) mayContain(service string, request *backend.Request) bool {
	unanswered.mu.Lock()
	defer unanswered.mu.Unlock()
	if len(unanswered.list) == 0 {
		return false
	}
	wanted := headOf(service, request)
	return slices.ContainsFunc(unanswered.list, func(lost unansweredRequest) bool { return lost.fingerprint.head() == wanted })
}

// replicasOf returns the replicas that left a request unanswered.
func (unanswered *unanswered) replicasOf(fingerprint Fingerprint) []string {
	unanswered.mu.Lock()
	defer unanswered.mu.Unlock()
	var replicas []string
	for _, lost := range unanswered.list {
		if lost.fingerprint == fingerprint {
			replicas = append(replicas, lost.replica)
		}
	}
	return replicas
}

// drop removes a request that another replica has answered.
func (unanswered *unanswered) drop(fingerprint Fingerprint) {
	unanswered.mu.Lock()
	defer unanswered.mu.Unlock()
	unanswered.list = slices.DeleteFunc(unanswered.list, func(lost unansweredRequest) bool { return lost.fingerprint == fingerprint })
}

// takeUnregistered removes and returns the requests whose replicas are no longer registered. It also drops requests that
// are too old or whose replicas are draining.
func (unanswered *unanswered) takeUnregistered(replicas *catalog.ReplicaSet, now time.Time) []unansweredRequest {
	unanswered.mu.Lock()
	defer unanswered.mu.Unlock()
	var unregistered []unansweredRequest
	unanswered.list = slices.DeleteFunc(unanswered.list, func(lost unansweredRequest) bool {
		if now.Sub(lost.at) > unansweredRetention {
			return true
		}
		registered := replicas.Find(lost.replica)
		if registered == nil {
			unregistered = append(unregistered, lost)
		}
		return registered == nil || registered.Draining
	})
	return unregistered
}

// takeReplica removes the requests that a replica left unanswered and returns those that are recent enough.
func (unanswered *unanswered) takeReplica(replica string, now time.Time) []unansweredRequest {
	unanswered.mu.Lock()
	defer unanswered.mu.Unlock()
	var recent []unansweredRequest
	unanswered.list = slices.DeleteFunc(unanswered.list, func(lost unansweredRequest) bool {
		if lost.replica == replica && now.Sub(lost.at) <= unansweredRetention {
			recent = append(recent, lost)
		}
		return lost.replica == replica
	})
	return recent
}

// checkUnanswered records a crash for each unanswered request whose replica is no longer registered.
func (guard *Guard) checkUnanswered(now time.Time) {
	for _, lost := range guard.unanswered.takeUnregistered(guard.Catalog.Replicas(), now) {
		guard.recordCrash(lost, evidenceUnregistered)
	}
}
