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

// Prober finds out whether a replica's process is gone.
type Prober interface {
	// Refuses reports whether connections to the replica's address are refused, so that nobody listens there.
	Refuses(ctx context.Context, replica *catalog.Replica) bool
}

// Teller tells all other nodes what this one has seen.
type Teller interface {
	Tell(Notice)
}

// Keeper keeps requests in quarantine where they outlive this process.
type Keeper interface {
	// Keep has a request kept as the book has it; Lift has it forgotten.
	Keep(Fingerprint)
	Lift(Fingerprint)
}

// Guard sends requests to replicas, and keeps those from them under which replicas end. Every path on which this node sends a request, an
// item or a scoring call goes through it, so that none can go round it: retries, hedges, and runs that are moved or resumed are sends as the
// first one is. It implements backend.Sender.
type Guard struct {
	Sender  backend.Sender
	Prober  Prober
	Book    *Book
	Catalog *catalog.Table
	// Teller and Keeper may be nil.
	Teller Teller
	Keeper Keeper
	// IsDeputy reports whether this node ranks first for a request, of those that run.
	IsDeputy func(Fingerprint) bool
	Node     string
	Logger   *log.Logger
	Metrics  *telemetry.Metrics

	probes     probes
	unanswered unanswered
	outbox     outbox
}

// Run looks until the context ends which replicas are gone that left requests unanswered, and tells others of those that ended.
func (guard *Guard) Run(ctx context.Context) {
	go guard.tell(ctx)
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

// Send implements backend.Sender. A request that is not to be sent gets a *HeldError.
func (guard *Guard) Send(ctx context.Context, replica *catalog.Replica, request *backend.Request) (*backend.Answer, error) {
	if err := guard.admit(replica, request); err != nil {
		return nil, err
	}
	runCtx, release := ctx, func() {}
	if !request.Exclusive {
		runCtx, release = lingering(ctx)
	}
	answer, err := guard.Sender.Send(runCtx, replica, request)
	switch {
	case errors.Is(err, backend.ErrRefused):
		guard.refused(replica)
	case err != nil && !errors.Is(err, backend.ErrNotSent):
		guard.brokeOff(runCtx, replica, request)
	}
	if err != nil {
		release()
		return nil, err
	}
	answer.Body = &watchedBody{
		ReadCloser: answer.Body, ctx: runCtx, release: release, guard: guard, replica: replica, request: request, status: answer.Status,
		over: answer.NotExecuted,
	}
	return answer, nil
}

// lingerFor is how long after its beginning a request goes on whose caller leaves before: a replica that ends by a request does so sooner, and whether
// one does is not known otherwise until its entry goes. It is less than the half second in which work for such callers has to end.
const lingerFor = 200 * time.Millisecond

// lingering returns a context for a request, which ends when the caller's does but not before the request has gone on for lingerFor, unless
// another replica has answered it. Release must be called at the end of the request.
func lingering(ctx context.Context) (run context.Context, release func()) {
	begun := time.Now()
	run, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		left := lingerFor - time.Since(begun)
		if left <= 0 || errors.Is(context.Cause(ctx), backend.ErrUnneeded) {
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

// admit returns why a request is not to be sent now; nil for one that is.
func (guard *Guard) admit(replica *catalog.Replica, request *backend.Request) error {
	if !guard.Book.MayKnow(replica.Service, request) {
		return nil
	}
	fingerprint := FingerprintOf(replica.Service, request)
	decision := guard.Book.Admit(fingerprint, Claim{Exclusive: request.Exclusive, Deputy: guard.IsDeputy(fingerprint)}, time.Now())
	switch {
	case !decision.Allowed:
		guard.Metrics.RequestHeld()
		guard.Logger.Info("request held", "request", request.ID, "service", replica.Service, "fingerprint", fingerprint, "crashes", decision.Crashes,
			"retry_after_ms", decision.After.Milliseconds(), "put_down_to", decision.putDownTo())
		return errors.Mark(&backend.HeldError{After: decision.After}, backend.ErrNotSent)
	case decision.Crashes > 0:
		guard.Logger.Info("suspected request sent", "request", request.ID, "service", replica.Service, "replica", replica.ID, "fingerprint", fingerprint,
			"crashes", decision.Crashes, "trial", decision.Trial, "put_down_to", decision.putDownTo())
	}
	return nil
}

// brokeOff notes a request that was sent and whose answer did not come, or not to its end. If the replica refuses connections, it ended. If
// not, or if this node itself cut the request off, the list of replicas tells later. The end of a replica that is leaving is planned: it
// says so, or its entry goes before it does, while that of one which ends by itself stays for some heartbeats.
func (guard *Guard) brokeOff(ctx context.Context, replica *catalog.Replica, request *backend.Request) {
	if !guard.serves(replica.ID) {
		return
	}
	fingerprint := FingerprintOf(replica.Service, request)
	left := unansweredRequest{fingerprint: fingerprint, request: request.ID, service: replica.Service, replica: replica.ID, at: time.Now()}
	again := guard.unanswered.add(left)
	switch {
	case ctx.Err() != nil:
	case again || guard.Book.Suspected(fingerprint).Crashes > 0:
		guard.probeOf(ctx, fingerprint)
	default:
		time.AfterFunc(probeAfter, func() { guard.probeOf(context.Background(), fingerprint) })
	}
}

// probeOf finds out whether the replicas ended that left a request unanswered, unless another has answered it meanwhile.
func (guard *Guard) probeOf(ctx context.Context, fingerprint Fingerprint) {
	for _, id := range guard.unanswered.replicasOf(fingerprint) {
		replica := guard.Catalog.Replicas().Find(id)
		if replica != nil && guard.probes.refuses(ctx, guard.Prober, replica) {
			guard.refused(replica)
		}
	}
}

// refused takes that nobody listens at a replica's address: it ended under the requests that it left unanswered just before.
func (guard *Guard) refused(replica *catalog.Replica) {
	if !guard.serves(replica.ID) {
		return
	}
	for _, left := range guard.unanswered.takeOf(replica.ID, time.Now()) {
		guard.crashed(left, evidenceRefused)
	}
}

// serves reports whether a replica is registered and not about to leave.
func (guard *Guard) serves(replica string) bool {
	registered := guard.Catalog.Replicas().Find(replica)
	return registered != nil && !registered.Draining
}

// Evidence that a replica has ended, as logs name it.
const (
	evidenceRefused      = "connection refused"
	evidenceUnregistered = "registered no more"
)

// crashed takes that a replica ended under a request, as this node saw.
func (guard *Guard) crashed(seen unansweredRequest, evidence string) {
	crashes, fresh := guard.Book.Note(seen.fingerprint, seen.replica, guard.Node, seen.at, time.Now())
	if !fresh {
		return
	}
	guard.Metrics.ReplicaEnded()
	guard.Metrics.Quarantined(guard.Book.Quarantined())
	guard.Logger.Warn("replica ended under a request", "request", seen.request, "service", seen.service, "replica", seen.replica,
		"fingerprint", seen.fingerprint, "crashes", crashes, "evidence", evidence, "after_ms", time.Since(seen.at).Milliseconds())
	guard.outbox.crashed(seen.fingerprint, guard.Book.Suspected(seen.fingerprint).Ends)
	guard.keep(seen.fingerprint, crashes)
}

// keep has a request kept once it is in quarantine.
func (guard *Guard) keep(fingerprint Fingerprint, crashes int) {
	if crashes >= quarantineAt && guard.Keeper != nil {
		guard.Keeper.Keep(fingerprint)
	}
}

// answered takes that a replica has answered a request whole: it does not end under it.
func (guard *Guard) answered(replica *catalog.Replica, request *backend.Request, status int) {
	if status >= http.StatusInternalServerError || !(guard.unanswered.mayHave(replica.Service, request) || guard.Book.MayKnow(replica.Service, request)) {
		return
	}
	fingerprint := FingerprintOf(replica.Service, request)
	guard.unanswered.drop(fingerprint)
	crashes := guard.Book.Suspected(fingerprint).Crashes
	if !guard.Book.Clear(fingerprint) {
		return
	}
	guard.Metrics.SuspicionCleared()
	guard.Metrics.Quarantined(guard.Book.Quarantined())
	guard.Logger.Info("suspicion cleared", "request", request.ID, "service", replica.Service, "replica", replica.ID, "fingerprint", fingerprint,
		"crashes", crashes, "status", status)
	guard.outbox.cleared(fingerprint)
	guard.lift(fingerprint, crashes)
}

// lift has a request forgotten that was kept.
func (guard *Guard) lift(fingerprint Fingerprint, crashes int) {
	if crashes >= quarantineAt && guard.Keeper != nil {
		guard.Keeper.Lift(fingerprint)
	}
}

// Heard takes what another node has seen.
func (guard *Guard) Heard(told Notice) {
	for _, crash := range told.Crashes {
		crashes, fresh := guard.Book.Note(crash.Fingerprint, crash.Replica, told.Reporter, crash.Broke, time.Now())
		if !fresh {
			continue
		}
		guard.Logger.Info("replica ended under a request elsewhere", "reporter", told.Reporter, "replica", crash.Replica, "fingerprint", crash.Fingerprint, "crashes", crashes)
		guard.keep(crash.Fingerprint, crashes)
	}
	for _, fingerprint := range told.Cleared {
		known := guard.Book.Suspected(fingerprint)
		if !guard.Book.Clear(fingerprint) {
			continue
		}
		guard.Logger.Info("suspicion cleared elsewhere", "reporter", told.Reporter, "fingerprint", fingerprint, "crashes", known.Crashes)
		if known.Reporter == guard.Node { // who may have kept it since
			guard.lift(fingerprint, known.Crashes)
		}
	}
	guard.Metrics.Quarantined(guard.Book.Quarantined())
}

// watchedBody notices whether an answer comes to its end.
type watchedBody struct {
	io.ReadCloser
	ctx     context.Context
	release func()
	guard   *Guard
	replica *catalog.Replica
	request *backend.Request
	status  int
	// over says that the end of the answer was noted, or tells nothing.
	over bool
}

// Close implements io.Closer.
func (body *watchedBody) Close() error {
	defer body.release()
	return body.ReadCloser.Close()
}

// Read implements io.Reader.
func (body *watchedBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	if err == nil || body.over {
		return count, err
	}
	body.over = true
	if errors.Is(err, io.EOF) {
		body.guard.answered(body.replica, body.request, body.status)
		return count, err
	}
	body.guard.brokeOff(body.ctx, body.replica, body.request)
	return count, err
}
