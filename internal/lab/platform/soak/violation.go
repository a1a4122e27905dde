package soak

import (
	"fmt"
	"sync"
	"time"
)

// Promise is a guarantee of the product that the soak checks.
type Promise string

// Promises, as listed in docs/TESTING.md.
const (
	PromiseWholeAnswer   Promise = "a caller gets the whole answer to its own request"
	PromiseNotRun        Promise = "what was refused has not run"
	PromiseOnce          Promise = "what may not be repeated runs at most once"
	PromiseNotCut        Promise = "a planned stop cuts off no request"
	PromiseAccepted      Promise = "an accepted job and its positions last"
	PromiseText          Promise = "a result is the whole output of its item, under the versions that made it"
	PromiseScore         Promise = "a score is the signature of a call made after the text"
	PromiseEnded         Promise = "an ended job runs nothing more"
	PromiseFinished      Promise = "jobs become whole once faults are over"
	PromiseAtReplica     Promise = "an item of an open step is at a replica again in time"
	PromiseConfiguration Promise = "a configuration is in force in time and never reverts"
	PromiseOneOrders     Promise = "one node at a time orders a replica"
	PromiseTenant        Promise = "a request runs for the tenant of its key, and a tenant's jobs are its own"
	PromiseUsage         Promise = "each window's usage is reported in one way, by one node at a time"
	PromiseReplicaOrders Promise = "one node at a time orders replicas from the platform, within the bounds"
	PromiseContained     Promise = "a request under which three replicas have ended reaches few more"
	PromiseProcess       Promise = "a process does not end by itself"
)

// Violation is one observed breach of a promise.
type Violation struct {
	Promise Promise
	Subject string // the request, job or node
	Detail  string
	// After is the time since the start of the soak.
	After time.Duration
}

// String describes the violation in one line.
func (violation Violation) String() string {
	return fmt.Sprintf("%6.2fs %s: %s: %s", violation.After.Seconds(), violation.Promise, violation.Subject, violation.Detail)
}

// violations collects the violations of a run. It is safe for concurrent use.
type violations struct {
	began time.Time
	mu    sync.Mutex
	list  []Violation
}

func (found *violations) add(violation Violation) {
	found.mu.Lock()
	defer found.mu.Unlock()
	violation.After = time.Since(found.began)
	found.list = append(found.list, violation)
}

func (found *violations) all() []Violation {
	found.mu.Lock()
	defer found.mu.Unlock()
	return append([]Violation(nil), found.list...)
}
