package quarantine

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

// Prober detects whether the process of a replica has ended.
type Prober interface {
	// Refuses reports whether connections to the replica's address are refused, which means that no process listens there.
	Refuses(ctx context.Context, replica *catalog.Replica) bool
}

// Broadcaster broadcasts notices of this node to all other nodes.
type Broadcaster interface {
	Broadcast(Notice)
}

// Persister stores quarantined requests durably.
type Persister interface {
	// Persist stores the record of a request as it is in the tracker; Lift deletes it.
	Persist(Fingerprint)
	Lift(Fingerprint)
}

// Guard sends the requests of callers to replicas and withholds those that crash them. It implements backend.Sender. Retries
// and hedges pass through the guard as well. Items of batch jobs and their scores do not: they never crash replicas by
// themselves, and stay owed however many replicas crash while they run.
type Guard struct {
	Sender  backend.Sender
	Prober  Prober
	Tracker *Tracker
	Catalog *catalog.Table
	// Broadcaster and Persister may be nil.
	Broadcaster Broadcaster
	Persister   Persister
	// IsDeputy reports whether this node ranks first for a request among the running nodes.
	IsDeputy func(Fingerprint) bool
	Node     string
	Logger   *log.Logger
	Metrics  *telemetry.Metrics

	probes     probeCache
	unanswered unanswered
	outbox     outbox
	reconciler reconciler
}

// Run broadcasts the crashes that this node detects. On each change of the list of replicas it records a crash for each
// unanswered request whose replica is no longer registered. It returns when the context ends.
func (guard *Guard) Run(ctx context.Context) {
	defer guard.reconciler.stop()
	go guard.runBroadcast(ctx)
	for {
		changed := guard.Catalog.Changed()
		guard.checkUnanswered(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Send implements backend.Sender. It returns a *backend.HeldError for a request that is withheld.
func (guard *Guard) Send(ctx context.Context, replica *catalog.Replica, request *backend.Request) (*backend.Response, error) {
	trial, err := guard.admit(replica, request)
	if err != nil {
		return nil, err
	}
	runCtx, release := withLinger(ctx)
	response, err := guard.Sender.Send(runCtx, replica, request)
	switch {
	case errors.Is(err, backend.ErrConnectionRefused):
		guard.connectionRefused(replica)
	case err != nil && !errors.Is(err, backend.ErrNotSent):
		guard.answerLost(runCtx, replica, request)
	}
	if trial && trialIsOver(response, err) {
		guard.endTrial(replica, request)
	}
	if err != nil {
		release()
		return nil, err
	}
	response.Body = &watchedBody{
		ReadCloser: response.Body, ctx: runCtx, release: release, guard: guard, replica: replica, request: request, status: response.Status,
		trial: trial, done: response.NotExecuted,
	}
	return response, nil
}

// lingerDuration is how long after its start a request keeps running if its caller leaves. A request that crashes a
// replica does so sooner, and without the connection the crash would not be detected until the replica's registration
// expires. It is less than the 500 ms within which work for such callers has to end.
const lingerDuration = 200 * time.Millisecond

// withLinger returns a context for a request that ends with the caller's, but not before lingerDuration after the start
// unless another replica has answered the request. Release must be called when the request ends.
func withLinger(ctx context.Context) (run context.Context, release func()) {
	begun := time.Now()
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		left := lingerDuration - time.Since(begun)
		if left <= 0 || errors.Is(context.Cause(ctx), backend.ErrSuperseded) {
			cancel()
			return
		}
		time.AfterFunc(left, cancel)
	})
	return run, func() {
		stop()
		cancel()
	}
}

// admit returns an error if a request must not be sent now. trial is true if it is sent as a trial.
func (guard *Guard) admit(replica *catalog.Replica, request *backend.Request) (trial bool, err error) {
	if !guard.Tracker.MayBeSuspected(replica.Service, request) {
		return false, nil
	}
	fingerprint := FingerprintOf(replica.Service, request)
	decision := guard.Tracker.Admit(fingerprint, Claim{Deputy: guard.IsDeputy(fingerprint)}, time.Now())
	if decision.Reservation.Duration > 0 {
		guard.announceReservation(decision.Reservation)
	}
	switch {
	case !decision.Allowed:
		guard.Metrics.RequestHeld()
		guard.Logger.Info("request held", "request", request.ID, "service", replica.Service, "fingerprint", fingerprint, "crashes", decision.Crashes,
			"retry_after_ms", decision.RetryAfter.Milliseconds(), "reason", decision.Reason, "since_crash_ms", decision.SinceCrash.Milliseconds(),
			"since_trial_ms", decision.SinceTrial.Milliseconds(), "put_down_to", decision.attributedTo(), "coincidental", decision.Coincidental, "blocking", decision.Blocking)
		return false, errors.Mark(&backend.HeldError{RetryAfter: decision.RetryAfter}, backend.ErrNotSent)
	case decision.Crashes > 0:
		guard.Logger.Info("suspected request sent", "request", request.ID, "service", replica.Service, "replica", replica.ID, "fingerprint", fingerprint,
			"crashes", decision.Crashes, "trial", decision.Trial, "put_down_to", decision.attributedTo(), "coincidental", decision.Coincidental)
	}
	return decision.Trial, nil
}

// trialIsOver reports whether a trial has ended without running, so that no crash can follow.
func trialIsOver(response *backend.Response, err error) bool {
	if err != nil {
		return errors.Is(err, backend.ErrNotSent)
	}
	return response.NotExecuted
}

// endTrial lets other requests be tried after a trial that no replica has run, or one that failed without a crash.
func (guard *Guard) endTrial(replica *catalog.Replica, request *backend.Request) {
	fingerprint := FingerprintOf(replica.Service, request)
	guard.Logger.Info("trial without result", "request", request.ID, "service", replica.Service, "replica", replica.ID, "fingerprint", fingerprint)
	guard.announceReservation(guard.Tracker.EndTrial(fingerprint))
}

// answerLost records that a request was sent but its answer was not received in full. The replica crashed if it refuses
// connections. Otherwise, or if this node itself cancelled the request, a crash is detected when the replica is no longer
// registered. The exit of a draining replica is planned: the replica announces it or is deregistered before it exits,
// whereas the registration of a crashed replica lasts for several more heartbeats.
func (guard *Guard) answerLost(ctx context.Context, replica *catalog.Replica, request *backend.Request) {
	if !guard.isServing(replica.ID) {
		return
	}
	fingerprint := FingerprintOf(replica.Service, request)
	lost := unansweredRequest{fingerprint: fingerprint, request: request.ID, service: replica.Service, replica: replica.ID, at: time.Now()}
	again := guard.unanswered.add(lost)
	switch {
	case ctx.Err() != nil:
	case again || guard.Tracker.Suspected(fingerprint).Crashes > 0:
		guard.probeReplicas(ctx, fingerprint)
	default:
		time.AfterFunc(probeDelay, func() { guard.probeReplicas(context.Background(), fingerprint) })
	}
}

// probeReplicas checks whether the replicas that left a request unanswered have crashed. It checks none if another replica
// has answered the request meanwhile.
func (guard *Guard) probeReplicas(ctx context.Context, fingerprint Fingerprint) {
	for _, id := range guard.unanswered.replicasOf(fingerprint) {
		replica := guard.Catalog.Replicas().Find(id)
		if replica != nil && guard.probes.refuses(ctx, guard.Prober, replica) {
			guard.connectionRefused(replica)
		}
	}
}

// connectionRefused records that no process listens at a replica's address: the replica crashed under the requests that it
// has recently left unanswered.
func (guard *Guard) connectionRefused(replica *catalog.Replica) {
	if !guard.isServing(replica.ID) {
		return
	}
	for _, lost := range guard.unanswered.takeReplica(replica.ID, time.Now()) {
		guard.recordCrash(lost, evidenceRefused)
	}
}

// isServing reports whether a replica is registered and not draining.
func (guard *Guard) isServing(replica string) bool {
	registered := guard.Catalog.Replicas().Find(replica)
	return registered != nil && !registered.Draining
}

// Values of the log key evidence.
const (
	evidenceRefused      = "connection refused"
	evidenceUnregistered = "no longer registered"
)

// recordCrash records a crash that this node has detected.
func (guard *Guard) recordCrash(lost unansweredRequest, evidence string) {
	crashes, added := guard.Tracker.RecordCrash(lost.fingerprint, lost.replica, guard.Node, lost.at, time.Now())
	if !added {
		return
	}
	guard.Metrics.ReplicaCrashed()
	guard.Metrics.Quarantined(guard.Tracker.Quarantined())
	guard.Logger.Warn("replica crashed while running a request", "request", lost.request, "service", lost.service, "replica", lost.replica,
		"fingerprint", lost.fingerprint, "crashes", crashes, "evidence", evidence, "after_ms", time.Since(lost.at).Milliseconds())
	guard.announceCrashes(lost.fingerprint)
	guard.persistIfQuarantined(lost.fingerprint, crashes)
}

// persistIfQuarantined stores the record of a request once it is quarantined.
func (guard *Guard) persistIfQuarantined(fingerprint Fingerprint, crashes int) {
	if crashes >= quarantineThreshold && guard.Persister != nil {
		guard.Persister.Persist(fingerprint)
		guard.verifyRecord(fingerprint)
	}
}

// answerCompleted clears a request that a replica has answered in full, unless the replica reported a failure of its own.
func (guard *Guard) answerCompleted(replica *catalog.Replica, request *backend.Request, status int) {
	if status >= http.StatusInternalServerError || !(guard.unanswered.mayContain(replica.Service, request) || guard.Tracker.MayBeSuspected(replica.Service, request)) {
		return
	}
	fingerprint := FingerprintOf(replica.Service, request)
	guard.unanswered.drop(fingerprint)
	crashes := guard.Tracker.Suspected(fingerprint).Crashes
	now := time.Now()
	if !guard.Tracker.ClearAnswered(fingerprint, now) {
		return
	}
	guard.Metrics.SuspicionCleared()
	guard.Metrics.Quarantined(guard.Tracker.Quarantined())
	guard.Logger.Info("suspicion cleared", "request", request.ID, "service", replica.Service, "replica", replica.ID, "fingerprint", fingerprint,
		"crashes", crashes, "status", status)
	guard.announceAnswer(fingerprint, now)
	guard.liftIfQuarantined(fingerprint, crashes)
}

// liftIfQuarantined deletes the record of a request that was quarantined.
func (guard *Guard) liftIfQuarantined(fingerprint Fingerprint, crashes int) {
	if crashes >= quarantineThreshold && guard.Persister != nil {
		guard.Persister.Lift(fingerprint)
	}
}

// watchedBody detects whether an answer is read to its end.
type watchedBody struct {
	io.ReadCloser
	ctx     context.Context
	release func()
	guard   *Guard
	replica *catalog.Replica
	request *backend.Request
	status  int
	trial   bool
	// done is true if the end of the answer was handled or carries no evidence.
	done bool
}

// Close implements io.Closer.
func (body *watchedBody) Close() error {
	defer body.release()
	return body.ReadCloser.Close()
}

// Read implements io.Reader.
func (body *watchedBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err == nil || body.done {
		return count, err
	}
	body.done = true
	if errors.Is(err, io.EOF) {
		body.guard.answerCompleted(body.replica, body.request, body.status)
		if body.trial && body.status >= http.StatusInternalServerError {
			body.guard.endTrial(body.replica, body.request)
		}
		return count, err
	}
	body.guard.answerLost(body.ctx, body.replica, body.request)
	return count, err
}
