package backend

import (
	"cmp"
	"context"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// maxMeasuredBody is the size in bytes up to which an answer is measured while its body is read. What is longer, and streams, are read at the
// pace of the caller.
const maxMeasuredBody = 1 << 20

// Sender returns a sender that measures the answers of plain services. It must enclose the sender that holds requests back.
func (balancer *Balancer) Sender(sender Sender) Sender {
	return &measuringSender{balancer: balancer, sender: sender}
}

type measuringSender struct {
	balancer *Balancer
	sender   Sender
}

// Send implements Sender.
func (measuring *measuringSender) Send(ctx context.Context, replica *catalog.Replica, request *Request) (*Response, error) {
	if len(replica.Models) > 0 {
		return measuring.sender.Send(ctx, replica, request)
	}
	measurement := measuring.balancer.begin(replica, request, time.Now())
	response, err := measuring.sender.Send(ctx, replica, request)
	if err != nil {
		measurement.end(endOfError(ctx, err), 0, time.Now())
		return response, err
	}
	end := endOfResponse(response)
	measurement.report(response.Load, time.Now())
	if end != endServed || request.Streamed || response.Length == 0 || response.Length > maxMeasuredBody {
		measurement.end(end, response.Length, time.Now())
		return response, nil
	}
	body := &measuredBody{ReadCloser: response.Body, ctx: ctx, measurement: measurement, left: response.Length}
	if response.Length < 0 { // a body without a declared length ends with its last chunk
		body.left = maxMeasuredBody
	}
	response.Body = body
	return response, nil
}

// measuredBody ends the measurement when the body has been read.
type measuredBody struct {
	io.ReadCloser
	ctx         context.Context
	measurement *measurement
	// read counts the bytes read; left is how many more are measured.
	read, left int64
	once       sync.Once
}

// Read implements io.Reader.
func (body *measuredBody) Read(buffer []byte) (int, error) {
	count, err := body.ReadCloser.Read(buffer)
	body.read += int64(count)
	body.left -= int64(count)
	switch {
	case body.left <= 0, errors.Is(err, io.EOF):
		body.end(endServed)
	case err != nil:
		body.end(endOfError(body.ctx, err))
	}
	return count, err
}

// Close implements io.Closer.
func (body *measuredBody) Close() error {
	// The number of bytes is not read here, since a Read may be under way.
	body.once.Do(func() { body.measurement.end(endAbandoned, 0, time.Now()) })
	return body.ReadCloser.Close()
}

func (body *measuredBody) end(end measuredEnd) {
	body.once.Do(func() { body.measurement.end(end, body.read, time.Now()) })
}

// measuredEnd classifies the end of a request by what it shows about the replica.
type measuredEnd int

const (
	endServed    measuredEnd = iota
	endFailed                // an error of the replica's own, or no usable answer
	endFull                  // not run, because the replica had no room
	endAbandoned             // the time limit, or another attempt or the caller ended it; it would have taken at least as long
	endOther                 // an answer that shows nothing of the pace
	endUnknown               // shows nothing
)

func endOfError(ctx context.Context, err error) measuredEnd {
	switch {
	case IsHeld(err):
		return endUnknown
	case ctx.Err() != nil:
		return endAbandoned
	}
	return endFailed
}

func endOfResponse(response *Response) measuredEnd {
	switch {
	case response.NotExecuted && (response.Status == http.StatusServiceUnavailable || response.Status == http.StatusTooManyRequests):
		return endFull
	case response.Misdirected():
		return endFailed
	case response.NotExecuted:
		return endUnknown
	case response.Status == http.StatusGatewayTimeout:
		return endAbandoned
	case response.Status >= http.StatusInternalServerError:
		return endFailed
	case response.Status >= http.StatusMultipleChoices:
		return endOther
	}
	return endServed
}

// measurement is a request in flight.
type measurement struct {
	balancer *Balancer
	service  *balancedService
	replica  *catalog.Replica
	state    *replicaState
	kind     int
	started  time.Time
}

// begin records that a request is sent to a replica.
func (balancer *Balancer) begin(replica *catalog.Replica, request *Request, now time.Time) *measurement {
	service := balancer.service(replica.Service)
	kind := kindOf(request)
	service.mu.Lock()
	defer service.mu.Unlock()
	state := service.state(replica, balancer.zone, now)
	if state.running == 0 {
		state.silentSince, state.expected = now, 0
	}
	state.running++
	state.lastUsed = now
	state.expected = max(state.expected, service.kinds[kind].seconds)
	return &measurement{balancer: balancer, service: service, replica: replica, state: state, kind: kind, started: now}
}

// report records the load that the replica reported with the answer's header.
func (measurement *measurement) report(load ReportedLoad, now time.Time) {
	if !load.Known {
		return
	}
	service, state := measurement.service, measurement.state
	service.mu.Lock()
	defer service.mu.Unlock()
	others := min(float64(max(0, load.Running+load.Waiting-state.running)), maxReportedOthers*float64(max(1, measurement.replica.Slots)))
	state.report = report{load: load, others: others, at: now}
	service.others.observe(others, now)
}

// end records the end of the request. bytes is the size of the answer's body, negative if unknown.
func (measurement *measurement) end(end measuredEnd, bytes int64, now time.Time) {
	service, state := measurement.service, measurement.state
	service.mu.Lock()
	defer service.mu.Unlock()
	service.compare(now)
	state.running--
	state.lastUsed = now
	switch end {
	case endServed:
		measurement.served(now, bytes)
	case endFailed:
		state.answered(now)
		measurement.failed(holdFailing, failureShareWeight, now)
	case endFull:
		state.answered(now)
		measurement.full(now)
	case endAbandoned:
		measurement.abandoned(now)
	case endOther:
		state.answered(now)
		measurement.usable(now)
	case endUnknown:
	}
	measurement.noteChange(now)
}

// answered records that the replica has shown that it works on requests.
func (state *replicaState) answered(now time.Time) {
	state.silentSince, state.lastAnswer = now, now
}

func (measurement *measurement) served(now time.Time, bytes int64) {
	service, state := measurement.service, measurement.state
	took, mean := now.Sub(measurement.started), &service.kinds[measurement.kind]
	state.answered(now)
	service.lastAnswer = now
	ratio := mean.ratio(took)
	state.pace.observe(ratio, now)
	measurement.planTrial(ratio, now)
	mean.observe(took, bytes)
	measurement.usable(now)
}

func (measurement *measurement) usable(now time.Time) {
	state := measurement.state
	state.failures.observe(false, failureShareWeight, now)
	if held := state.hold; held != nil && !measurement.started.Before(held.until) {
		if held.answered++; held.answered >= held.needed() {
			measurement.release(now)
		}
	}
}

// planTrial plans the next trial of a replica that is slow, after an answer that took ratio times as long as usual.
func (measurement *measurement) planTrial(ratio float64, now time.Time) {
	state := measurement.state
	typicalPace := measurement.service.typical.pace(state.local)
	if !state.pace.slow(typicalPace) {
		state.trials = trialPlan{}
		return
	}
	state.trials.observe(ratio >= slowPace*typicalPace, now)
}

// release ends the hold of the replica.
func (measurement *measurement) release(now time.Time) {
	state := measurement.state
	reason := state.hold.reason
	state.hold = nil
	if reason == holdFull {
		return
	}
	state.failures = failureShare{}
	measurement.balancer.metrics.ReplicaReturned()
	measurement.balancer.log("replica back", now, "replica", measurement.replica.ID, "service", measurement.replica.Service, "reason", reason)
}

// failed records a failure of the replica and holds it if its peers fail less.
func (measurement *measurement) failed(reason holdReason, weight float64, now time.Time) {
	service, state := measurement.service, measurement.state
	state.failures.observe(true, weight, now)
	share := state.failures.at(now)
	probing := state.hold != nil && state.hold.reason != holdFull
	switch {
	case share-service.typical.failing < failingShare && (!probing || service.typical.failing >= failingShare):
		return
	case state.hold != nil && now.Before(state.hold.until): // a request that began before the hold
		return
	}
	state.hold = nextHold(state.hold, reason, now)
	measurement.balancer.metrics.ReplicaHeld(reason.String())
	measurement.balancer.log("replica held", now, "replica", measurement.replica.ID, "service", measurement.replica.Service, "reason", reason, "failing", rounded(share),
		"peers_failing", rounded(service.typical.failing), "pause_ms", state.hold.pause.Milliseconds())
}

// full holds the replica until some of the requests that wait there have been worked off. That it is full says nothing about its health.
func (measurement *measurement) full(now time.Time) {
	service, state := measurement.service, measurement.state
	if state.hold != nil && (state.hold.reason != holdFull || now.Before(state.hold.until)) {
		return
	}
	typicalPace := service.typical.pace(state.local)
	slots, waiting := measurement.replica.Slots, 1
	if state.report.at.Equal(now) {
		slots, waiting = cmp.Or(state.report.load.Slots, slots), state.report.load.Waiting
	} else { // that it is full is a report as well
		state.report = report{load: ReportedLoad{Known: true, Running: slots, Waiting: waiting}, others: float64(max(0, slots+waiting-state.running)), at: now}
		service.others.observe(state.report.others, now)
	}
	state.report.full = true
	serviceTime := time.Duration(service.kinds[measurement.kind].seconds * state.pace.at(now, typicalPace) * float64(time.Second))
	pause := expectedDrain(waiting, slots, serviceTime)
	state.hold = &hold{reason: holdFull, until: now.Add(pause), pause: pause}
	measurement.balancer.metrics.ReplicaHeld(holdFull.String())
}

// abandoned records a request that was not answered for a time. It counts as an answer if it took longer than those known, and as a failure
// if the replica has answered nothing in the meantime while its peers have.
func (measurement *measurement) abandoned(now time.Time) {
	service, state := measurement.service, measurement.state
	mean := &service.kinds[measurement.kind]
	if mean.answers == 0 {
		return
	}
	ratio := mean.ratio(now.Sub(measurement.started))
	if ratio > state.pace.at(now, service.typical.pace(state.local)) {
		state.pace.observe(ratio, now)
		measurement.planTrial(ratio, now)
	}
	if ratio >= muteFactor && state.lastAnswer.Before(measurement.started) && service.lastAnswer.After(measurement.started) {
		measurement.failed(holdMute, muteWeight, now)
	}
}

// noteChange logs that the replica has become slower than its peers or fails more than they do, and thus gets fewer requests, or no longer.
func (measurement *measurement) noteChange(now time.Time) {
	service, state, balancer := measurement.service, measurement.state, measurement.balancer
	typicalPace := service.typical.pace(state.local)
	pace, failing := state.pace.at(now, typicalPace)/typicalPace, state.failures.at(now)-service.typical.failing
	isSlow := pace >= slowPace && state.pace.answers >= slowAnswers
	about := func(reason string) []any {
		return []any{"replica", measurement.replica.ID, "service", measurement.replica.Service, "reason", reason, "pace", rounded(pace), "failing", rounded(failing), "answers", state.pace.answers}
	}
	switch {
	case isSlow && !state.slow:
		balancer.metrics.ReplicaHeld("slow")
		balancer.log("replica slow", now, about("slow")...)
	case state.slow && pace <= notSlowPace:
		balancer.metrics.ReplicaReturned()
		balancer.log("replica back", now, about("slow")...)
	default:
		isSlow = state.slow
	}
	isFailing := failing >= someFailing
	switch {
	case isFailing && !state.failing:
		balancer.metrics.ReplicaHeld("errors")
		balancer.log("replica failing", now, about("errors")...)
	case state.failing && failing <= fewFailing:
		balancer.metrics.ReplicaReturned()
		balancer.log("replica back", now, about("errors")...)
	default:
		isFailing = state.failing
	}
	state.slow, state.failing = isSlow, isFailing
}

func rounded(value float64) float64 { return math.Round(100*value) / 100 }

func (balancer *Balancer) log(message string, now time.Time, pairs ...any) {
	if suppressed, ok := balancer.lines.Allow(now); ok {
		balancer.logger.Info(message, append(pairs, "lines_left_out", suppressed)...)
	}
}
