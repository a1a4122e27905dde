package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// answer is the outcome of a call.
type answer struct {
	status int
	header http.Header
	body   string
	// connectedAt is when the connection was ready and the request had not been sent; zero if there was no connection.
	connectedAt time.Time
	// written is true if the whole request was sent. err is set if no complete answer was received.
	written bool
	err     error
	// closing is true if the front asked the caller to close the connection.
	closing bool
}

// ingress selects a front for each connection, as the platform's load balancer does: a front that is healthy by its readiness probes, or any
// front if none is.
type ingress struct {
	deployment   *Deployment
	mu           sync.Mutex
	failedProbes map[*Node]int
}

func newIngress(deployment *Deployment) *ingress {
	return &ingress{deployment: deployment, failedProbes: make(map[*Node]int)}
}

const (
	probeInterval   = time.Second
	probeTimeout    = 800 * time.Millisecond
	maxFailedProbes = 2
)

// run probes the readiness of the fronts at each interval.
func (ingress *ingress) run(ctx context.Context) {
	for pause(ctx, probeInterval) {
		for _, node := range ingress.deployment.Fronts() {
			go ingress.probe(ctx, node)
		}
	}
}

func (ingress *ingress) probe(ctx context.Context, node *Node) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	ready := isReady(ctx, node)
	ingress.mu.Lock()
	defer ingress.mu.Unlock()
	if ready {
		ingress.failedProbes[node] = 0
	} else {
		ingress.failedProbes[node]++
	}
}

func isReady(ctx context.Context, node *Node) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+node.Ready+"/thistlewalk/ready", nil)
	if err != nil {
		return false
	}
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick returns a front for a new connection.
func (ingress *ingress) pick() *Node {
	all := ingress.deployment.Fronts()
	var healthy []*Node
	ingress.mu.Lock()
	for _, node := range all {
		if ingress.failedProbes[node] < maxFailedProbes {
			healthy = append(healthy, node)
		}
	}
	ingress.mu.Unlock()
	if len(healthy) == 0 {
		healthy = all
	}
	return healthy[rand.IntN(len(healthy))]
}

// callTimeout is the deadline of a call.
const callTimeout = 1500 * time.Millisecond

// call makes a call on a new connection.
func call(ctx context.Context, node *Node, method, target, id, body string, limit time.Duration, headers ...string) answer {
	return callOn(ctx, &http.Transport{DisableKeepAlives: true, DisableCompression: true}, node, method, target, id, body, limit, headers...)
}

// callOn makes a call through a transport.
func callOn(ctx context.Context, transport *http.Transport, node *Node, method, target, id, body string, limit time.Duration, headers ...string) answer {
	ctx, cancel := context.WithTimeout(ctx, limit+callMargin)
	defer cancel()
	written, connectedAt := atomic.Bool{}, atomic.Pointer[time.Time]{}
	trace := &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) {
			now := time.Now()
			connectedAt.CompareAndSwap(nil, &now)
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) { written.Store(info.Err == nil) },
	}
	result := func(got answer) answer {
		if at := connectedAt.Load(); at != nil {
			got.connectedAt = *at
		}
		return got
	}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+node.Front+target, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	request.Host = hostName
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return result(answer{written: written.Load(), err: err})
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return result(answer{status: response.StatusCode, header: response.Header, body: string(content), written: true, err: err, closing: response.Close})
}

// callMargin is how much longer than its deadline a call may take before it is abandoned.
const callMargin = 600 * time.Millisecond

// isTimeout reports whether a call failed because the caller cancelled it or its timeout expired.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) || (errors.As(err, &timeout) && timeout.Timeout())
}

// callers sends idempotent and non-idempotent requests, and records what the final checks need.
type callers struct {
	deployment *Deployment
	ingress    *ingress
	faults     *activeFaults
	report     func(Violation)

	mu            sync.Mutex
	lastNumber    int
	nonIdempotent []string             // identifiers of requests that may run at most once
	refused       []string             // identifiers of requests that were refused without a run
	tenants       map[string]string    // by identifier of the request
	sentAt        map[string]time.Time // when the caller began to send a request, by its identifier
	served        int
	failed        int
	persistent    int // calls on persistent connections
}

const (
	callInterval = 35 * time.Millisecond
	// Every longEvery-th call takes longWork, so that some calls are in progress at every fault.
	longEvery = 4
	longWork  = 600 * time.Millisecond
	// Every forgedEvery-th call names a tenant in its headers that its key does not belong to.
	forgedEvery = 5
)

func (callers *callers) run(ctx context.Context) {
	var running sync.WaitGroup
	for pause(ctx, callInterval) {
		running.Go(func() { callers.callOnce(ctx) })
	}
	running.Wait()
}

const (
	// persistentCallers is the number of callers that use one connection for all their calls, whether the front is ready or not, until a call
	// fails or the front asks them to close it. persistentCallInterval is the time between two calls.
	persistentCallers      = 6
	persistentCallInterval = 60 * time.Millisecond
)

// runPersistent runs the callers with persistent connections.
func (callers *callers) runPersistent(ctx context.Context) {
	var running sync.WaitGroup
	for range persistentCallers {
		running.Go(func() {
			for ctx.Err() == nil {
				callers.usePersistentConnection(ctx, callers.ingress.pick())
			}
		})
	}
	running.Wait()
}

// usePersistentConnection makes calls on one connection to a front until a call fails or the front closes it.
func (callers *callers) usePersistentConnection(ctx context.Context, node *Node) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for pause(ctx, persistentCallInterval) {
		got := callers.callOn(ctx, node, transport)
		callers.mu.Lock()
		callers.persistent++
		callers.mu.Unlock()
		if got.err != nil || got.closing {
			return
		}
	}
}

// callOnce makes a call on a new connection and checks its answer.
func (callers *callers) callOnce(ctx context.Context) {
	callers.callOn(ctx, callers.ingress.pick(), &http.Transport{DisableKeepAlives: true, DisableCompression: true})
}

// callOn makes a call through a transport and checks its answer.
func (callers *callers) callOn(ctx context.Context, node *Node, transport *http.Transport) answer {
	callers.mu.Lock()
	callers.lastNumber++
	id := fmt.Sprint("call-", callers.lastNumber)
	prefix := "/call/"
	if callers.lastNumber%3 == 0 {
		prefix = "/order/"
		callers.nonIdempotent = append(callers.nonIdempotent, id)
	}
	target := prefix + id + "?a=b%2F"
	if callers.lastNumber%longEvery == 0 {
		target += fmt.Sprint("&work-ms=", longWork.Milliseconds())
	}
	tenant := tenantOf(callers.lastNumber)
	callers.tenants[id] = tenant
	headers := authorization(keyOf(tenant))
	if callers.lastNumber%forgedEvery == 0 {
		headers = append(headers, "Tenant", tenantOf(callers.lastNumber+1))
	}
	callers.mu.Unlock()
	incarnation := node.Incarnation()
	sent := time.Now()
	got := callOn(ctx, transport, node, http.MethodPost, target, id, "body of "+id, callTimeout, headers...)
	callers.recordSending(id, got)
	if ctx.Err() != nil {
		return got
	}
	callers.record(id, got)
	callers.check(id, got)
	callers.checkPlannedStop(id, node, incarnation, sent, got)
	return got
}

func (callers *callers) recordSending(id string, got answer) {
	if got.connectedAt.IsZero() {
		return
	}
	callers.mu.Lock()
	defer callers.mu.Unlock()
	callers.sentAt[id] = got.connectedAt
}

func (callers *callers) record(id string, got answer) {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	if got.err == nil && got.status == http.StatusOK {
		callers.served++
		return
	}
	callers.failed++
	switch got.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		callers.refused = append(callers.refused, id)
	}
}

// check checks that a successful answer is the complete answer of a replica to this request.
func (callers *callers) check(id string, got answer) {
	if got.status == http.StatusUnauthorized {
		callers.report(Violation{Promise: PromiseTenant, Subject: id, Detail: "401 for a key that every configuration contains"})
	}
	if got.err != nil || got.status >= http.StatusMultipleChoices {
		return
	}
	if got.body != "answer to "+id || !strings.HasSuffix(got.header.Get("Server-Stamp"), "."+id) {
		callers.report(Violation{Promise: PromiseWholeAnswer, Subject: id, Detail: fmt.Sprintf("%d %q stamp %q", got.status, got.body, got.header.Get("Server-Stamp"))})
	}
}

// checkPlannedStop reports a request that reached a replica but was cut off by its front, if the front had no fault since the request was sent or
// is shutting down gracefully.
func (callers *callers) checkPlannedStop(id string, node *Node, incarnation int, sent time.Time, got answer) {
	if got.err == nil || !got.written || isTimeout(got.err) || len(callers.deployment.Executions.Of(id)) == 0 {
		return
	}
	if node.Incarnation() == incarnation && node.LastFault().Before(sent) {
		callers.report(Violation{Promise: PromiseNotCut, Subject: id, Detail: node.Name + " without a fault of its own: " + got.err.Error()})
	}
	if stopped := node.stopping.Load(); stopped {
		callers.report(Violation{Promise: PromiseNotCut, Subject: id, Detail: node.Name + " during its planned stop: " + got.err.Error()})
	}
}

// verify runs the checks that need the complete record of executions.
func (callers *callers) verify() {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	for _, id := range callers.nonIdempotent {
		if runs := callers.deployment.Executions.Of(id); len(runs) > 1 {
			callers.report(Violation{Promise: PromiseOnce, Subject: id, Detail: fmt.Sprintf("%d runs, at %s and %s", len(runs), runs[0].Replica, runs[1].Replica)})
		}
	}
	for id, tenant := range callers.tenants {
		if !callers.deployment.tenants {
			break
		}
		for _, violation := range checkCallers(callers.deployment.Executions, id, tenant) {
			callers.report(violation)
		}
	}
	for _, id := range callers.refused {
		if runs := callers.deployment.Executions.Of(id); len(runs) > 0 {
			callers.report(Violation{Promise: PromiseNotRun, Subject: id, Detail: "ran at " + runs[0].Replica})
		}
	}
}
