package quarantine

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxReplyDelay bounds the random delay before a node replies to a notice that lacks crashes which it knows. One reply
	// reaches all nodes, so that the others need not send theirs.
	maxReplyDelay = 200 * time.Millisecond
	// replyRetention is how long a crash that is not in the stored record is told to nodes that lack it. It covers the hold
	// and the trials of a request; after it, a node has more likely missed that the request was answered.
	replyRetention = time.Minute
	// recordCheckDelay is when a node first checks whether the record of a quarantined request has been stored with the
	// crashes that it knows: later than the reporter and the deputy store it. The delay doubles up to maxRecordCheckDelay.
	recordCheckDelay    = 2500 * time.Millisecond
	maxRecordCheckDelay = 30 * time.Second
)

// reconciler makes what the nodes know of a request converge. Whether a request is tried is decided by one node, from the
// crashes that it has counted; that node may have missed the notices of others. A node that finds crashes missing, in a
// notice or in the stored record, therefore broadcasts those that it knows. The zero value is ready for use; it is safe for
// concurrent use.
type reconciler struct {
	mu      sync.Mutex
	stopped bool
	replies map[Fingerprint]*reply
	checks  map[Fingerprint]bool
}

// reply is a pending reply. It holds what other notices mention meanwhile, which need not be repeated.
type reply struct {
	crashes  map[string]bool // by replica
	answered bool
}

func (reconciler *reconciler) stop() {
	reconciler.mu.Lock()
	defer reconciler.mu.Unlock()
	reconciler.stopped = true
}

// recordMentions notes what a notice that was sent or received tells all nodes.
func (reconciler *reconciler) recordMentions(notice Notice) {
	reconciler.mu.Lock()
	defer reconciler.mu.Unlock()
	for _, crash := range notice.Crashes {
		if pending := reconciler.replies[crash.Fingerprint]; pending != nil {
			pending.crashes[crash.Replica] = true
		}
	}
	for _, fingerprint := range notice.Cleared {
		if pending := reconciler.replies[fingerprint]; pending != nil {
			pending.answered = true
		}
	}
}

// beginReply returns false if a reply about the request is pending already.
func (reconciler *reconciler) beginReply(fingerprint Fingerprint, mentioned map[string]bool) bool {
	reconciler.mu.Lock()
	defer reconciler.mu.Unlock()
	if reconciler.stopped || reconciler.replies[fingerprint] != nil {
		return false
	}
	if reconciler.replies == nil {
		reconciler.replies = make(map[Fingerprint]*reply)
	}
	reconciler.replies[fingerprint] = &reply{crashes: mentioned}
	return true
}

// endReply returns nil if the guard has stopped.
func (reconciler *reconciler) endReply(fingerprint Fingerprint) *reply {
	reconciler.mu.Lock()
	defer reconciler.mu.Unlock()
	pending := reconciler.replies[fingerprint]
	delete(reconciler.replies, fingerprint)
	if reconciler.stopped {
		return nil
	}
	return pending
}

// beginCheck returns false if the record of the request is being checked already.
func (reconciler *reconciler) beginCheck(fingerprint Fingerprint) bool {
	reconciler.mu.Lock()
	defer reconciler.mu.Unlock()
	if reconciler.stopped || reconciler.checks[fingerprint] {
		return false
	}
	if reconciler.checks == nil {
		reconciler.checks = make(map[Fingerprint]bool)
	}
	reconciler.checks[fingerprint] = true
	return true
}

func (reconciler *reconciler) endCheck(fingerprint Fingerprint) {
	reconciler.mu.Lock()
	defer reconciler.mu.Unlock()
	delete(reconciler.checks, fingerprint)
}

// running reports whether the guard has not stopped.
func (reconciler *reconciler) running() bool {
	reconciler.mu.Lock()
	defer reconciler.mu.Unlock()
	return !reconciler.stopped
}

// reconcileWith replies to a notice if its reporter lacks crashes that this node knows, or reports crashes that an answer
// has disproved.
func (guard *Guard) reconcileWith(notice Notice) {
	mentioned := make(map[Fingerprint]map[string]bool)
	disproved := make(map[Fingerprint]bool)
	for _, crash := range notice.Crashes {
		if mentioned[crash.Fingerprint] == nil {
			mentioned[crash.Fingerprint] = make(map[string]bool)
		}
		mentioned[crash.Fingerprint][crash.Replica] = true
		if answeredAt := guard.Tracker.AnsweredAt(crash.Fingerprint); !answeredAt.IsZero() && !crash.InterruptedAt.After(answeredAt) {
			disproved[crash.Fingerprint] = true
		}
	}
	for fingerprint, replicas := range mentioned {
		lacking := len(replicas) <= trialLimit && len(guard.missing(fingerprint, replicas)) > 0
		if lacking || disproved[fingerprint] {
			guard.replyLater(fingerprint, replicas)
		}
	}
}

// missing returns the recent crashes under a request that are known here and not mentioned. Crashes that are known from the
// stored record only have no time; other nodes have that record too.
func (guard *Guard) missing(fingerprint Fingerprint, mentioned map[string]bool) []CrashEvent {
	var missing []CrashEvent
	for _, event := range guard.Tracker.Suspected(fingerprint).Events {
		if !mentioned[event.Replica] && time.Since(event.InterruptedAt) < replyRetention {
			missing = append(missing, event)
		}
	}
	return missing
}

func (guard *Guard) replyLater(fingerprint Fingerprint, mentioned map[string]bool) {
	if guard.reconciler.beginReply(fingerprint, mentioned) {
		time.AfterFunc(rand.N(maxReplyDelay), func() { guard.sendReply(fingerprint) })
	}
}

// sendReply broadcasts what no notice has mentioned since the reply was scheduled.
func (guard *Guard) sendReply(fingerprint Fingerprint) {
	pending := guard.reconciler.endReply(fingerprint)
	if pending == nil {
		return
	}
	if answeredAt := guard.Tracker.AnsweredAt(fingerprint); !answeredAt.IsZero() && !pending.answered {
		guard.Logger.Info("answer reported again", "fingerprint", fingerprint, "ago_ms", time.Since(answeredAt).Milliseconds())
		guard.outbox.addCleared(fingerprint, answeredAt)
	}
	if missing := guard.missing(fingerprint, pending.crashes); len(missing) > 0 {
		known := guard.Tracker.Suspected(fingerprint)
		guard.Logger.Info("crashes reported again", "fingerprint", fingerprint, "crashes", known.Crashes, "stored", known.StoredCrashes, "missing", len(missing))
		guard.outbox.addCrashes(fingerprint, known.Events)
	}
}

// verifyRecord checks, until it holds, that the stored record of a quarantined request counts the crashes that are known
// here as far as they decide on a trial. The reporter or the deputy stores the record; it may lack crashes, be cut off from
// the store, or have stopped. All nodes then broadcast what they know.
func (guard *Guard) verifyRecord(fingerprint Fingerprint) {
	if guard.reconciler.beginCheck(fingerprint) {
		guard.checkRecordAfter(fingerprint, recordCheckDelay)
	}
}

func (guard *Guard) checkRecordAfter(fingerprint Fingerprint, delay time.Duration) {
	time.AfterFunc(delay, func() {
		known := guard.Tracker.Suspected(fingerprint)
		if !guard.reconciler.running() || known.Crashes < quarantineThreshold || known.StoredCrashes >= min(known.Crashes, trialLimit+1) {
			guard.reconciler.endCheck(fingerprint)
			return
		}
		guard.Persister.Persist(fingerprint)
		guard.replyLater(fingerprint, make(map[string]bool))
		guard.checkRecordAfter(fingerprint, min(2*delay, maxRecordCheckDelay))
	})
}
