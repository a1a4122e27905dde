package forwarding

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/admission"
)

// demand describes the request to admission. The time of full value counts from the caller's first attempt, as far as its deadline tells
// when that was: a request that came back is worth little more than a late one, and must not go before new ones as if it were new.
func (run *run) demand() admission.Demand {
	now := time.Now()
	demand := admission.Demand{
		Service: run.service, Class: admission.Interactive, Flow: run.call.Request.Tenant, Priority: run.priority(),
		Deadline: now.Add(run.remaining()), Size: len(run.call.Request.Body), Repeated: run.attempts > 0,
	}
	if run.route.Objective > 0 {
		run.elapsed = run.usualDeadline().elapsed(run.givenDeadline())
		demand.Useful = run.started.Add(run.route.Objective - run.elapsed)
	}
	return demand
}

func (run *run) usualDeadline() *usualDeadline {
	return run.forwarder.deadlines.of(callers{route: run.route.Name, tenant: run.call.Request.Tenant})
}

// givenDeadline returns the caller's deadline, as far as the route's timeout does not end the call before.
func (run *run) givenDeadline() time.Duration {
	if run.route.Timeout > 0 {
		return min(run.call.Deadline, run.route.Timeout)
	}
	return run.call.Deadline
}

// priority returns the rank of the request: that of its tenant, or else of its route.
func (run *run) priority() int {
	if configuration := run.forwarder.Catalog.Configuration(); configuration != nil {
		if tenant := configuration.FindTenant(run.call.Request.Tenant); tenant != nil {
			return tenant.Priority
		}
	}
	return run.route.Priority
}

// admit waits for a place at the service, and reports whether the request got one. It takes no place if there is no replica to send to.
func (run *run) admit(ctx context.Context) (admission.Grant, bool) {
	controller := run.forwarder.Admission
	if controller == nil {
		return admission.Grant{}, true
	}
	if run.forwarder.Catalog.Replicas().Service(run.service).Len() == 0 {
		return admission.Grant{}, false
	}
	began := time.Now()
	grant, err := controller.Admit(ctx, run.demand())
	run.waited += time.Since(began)
	if err != nil {
		run.refusal = admission.IsRefused(err)
		if run.refusal != nil && run.position == 0 {
			run.position = run.refusal.Position
		}
		return admission.Grant{}, false
	}
	waited, position := grant.Waited()
	if run.position == 0 {
		run.position = position
	}
	if waited == 0 && run.attempts == 0 && run.call.Deadline > 0 {
		run.usualDeadline().learn(run.givenDeadline())
	}
	return grant, true
}

// mayRetry reports whether admission allows a further attempt. Only one that could start takes from the budget of retries.
func (run *run) mayRetry() bool {
	controller := run.forwarder.Admission
	if controller == nil {
		return true
	}
	if !run.mayStart() || run.mayHaveRun && run.pick() == nil {
		return false
	}
	return controller.AllowRetry(run.service, run.mayHaveRun)
}

// notStarted returns the result of a call whose first attempt did not start.
func (run *run) notStarted(ctx context.Context) Result {
	switch {
	case run.revoked():
		return run.unauthorized()
	case run.refusal != nil:
		return run.refuseNoRoom()
	case run.waited > 0 && (ctx.Err() != nil || run.remaining() < minAttempt):
		return run.refuse(reasonNoRoom)
	}
	return run.refuse("no_replica")
}

const reasonNoRoom = "no_room"

func (run *run) refuseNoRoom() Result {
	refused := run.refuse(reasonNoRoom)
	refused.RetryAfter = run.refusal.RetryAfter
	return refused
}

// admissionFields are the fields of the log line of a call that tell how it was admitted.
func (run *run) admissionFields() []any {
	if run.forwarder.Admission == nil {
		return nil
	}
	refused := ""
	if run.refusal != nil {
		refused = run.refusal.Reason
	}
	return []any{"waited_ms", run.waited.Milliseconds(), "position", run.position, "elapsed_ms", run.elapsed.Milliseconds(), "not_admitted", refused}
}

// place is the grant of one attempt, released once. A nil place holds nothing.
type place struct {
	grant   admission.Grant
	started time.Time
	once    sync.Once
	outcome admission.Outcome
	// What the time until the release tells: that is the service time if served, and a lower bound of it if cutOff.
	served, cutOff atomic.Bool
}

// ended records what the end of the attempt tells about the service.
func (place *place) ended(result *attemptResult) {
	switch {
	case result.err == nil && result.response.NotExecuted:
		place.outcome.Full = result.response.Status == http.StatusServiceUnavailable || result.response.Status == http.StatusTooManyRequests
	case result.hasNotRun():
	case result.err != nil || result.rest != nil || result.response.Status >= http.StatusInternalServerError:
		place.cutOff.Store(true)
	default:
		place.served.Store(true)
	}
}

func (place *place) release() {
	if place == nil {
		return
	}
	place.once.Do(func() {
		switch took := time.Since(place.started); {
		case place.served.Load():
			place.outcome.ServiceTime = took
		case place.cutOff.Load():
			place.outcome.AtLeast = took
		}
		place.grant.Release(place.outcome)
	})
}

// until returns a reader of the rest of an answer of the given status that releases the place when it is closed, or at the latest when the
// context ends. The answer counts as served once it has been read to its end; otherwise its caller left, or the replica broke off.
func (place *place) until(ctx context.Context, rest io.ReadCloser, status int) io.ReadCloser {
	return &placeHolder{ReadCloser: rest, place: place, status: status, stop: context.AfterFunc(ctx, place.release)}
}

// placeHolder is the rest of an answer whose place is released when it is closed.
type placeHolder struct {
	io.ReadCloser
	place  *place
	status int
	stop   func() bool
}

// Read implements io.Reader.
func (holder *placeHolder) Read(buffer []byte) (int, error) {
	count, err := holder.ReadCloser.Read(buffer)
	if err == io.EOF && holder.status < http.StatusInternalServerError {
		holder.place.served.Store(true)
	}
	return count, err
}

// Close implements io.Closer.
func (holder *placeHolder) Close() error {
	defer holder.place.release()
	holder.stop()
	return holder.ReadCloser.Close()
}
