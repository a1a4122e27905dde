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

// answer is what a caller got.
type answer struct {
	status int
	header http.Header
	body   string
	// written says that the whole request left the caller; broken that no whole answer came back.
	written bool
	broken  error
	// leaves says that the front wants the caller to leave the connection.
	leaves bool
}

// ingress picks the front of each call as the platform does: of those that were ready when last asked, else any.
type ingress struct {
	world  *World
	mu     sync.Mutex
	misses map[*Node]int
}

func newIngress(world *World) *ingress { return &ingress{world: world, misses: make(map[*Node]int)} }

const (
	readyInterval = time.Second
	readyLimit    = 800 * time.Millisecond
	missesOut     = 2
)

// run asks the fronts whether they are ready.
func (ingress *ingress) run(ctx context.Context) {
	for pause(ctx, readyInterval) {
		for _, node := range ingress.world.Fronts() {
			go ingress.ask(ctx, node)
		}
	}
}

func (ingress *ingress) ask(ctx context.Context, node *Node) {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	ready := isReady(ctx, node)
	ingress.mu.Lock()
	defer ingress.mu.Unlock()
	if ready {
		ingress.misses[node] = 0
	} else {
		ingress.misses[node]++
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
	all := ingress.world.Fronts()
	var in []*Node
	ingress.mu.Lock()
	for _, node := range all {
		if ingress.misses[node] < missesOut {
			in = append(in, node)
		}
	}
	ingress.mu.Unlock()
	if len(in) == 0 {
		in = all
	}
	return in[rand.IntN(len(in))]
}

// callTime is how long callers wait for an answer.
const callTime = 1500 * time.Millisecond

// call makes one call on a connection of its own.
func call(ctx context.Context, node *Node, method, target, id, body string, limit time.Duration, headers ...string) answer {
	return callOn(ctx, &http.Transport{DisableKeepAlives: true, DisableCompression: true}, node, method, target, id, body, limit, headers...)
}

// callOn makes one call on a connection of a transport.
func callOn(ctx context.Context, transport *http.Transport, node *Node, method, target, id, body string, limit time.Duration, headers ...string) answer {
	ctx, cancel := context.WithTimeout(ctx, limit+callMargin)
	defer cancel()
	written := atomic.Bool{}
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) { written.Store(info.Err == nil) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, "http://"+node.Front+target, strings.NewReader(body))
	if err != nil {
		return answer{broken: err}
	}
	request.Host = hostName
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	for index := 0; index+1 < len(headers); index += 2 {
		request.Header.Set(headers[index], headers[index+1])
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return answer{written: written.Load(), broken: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(content), written: true, broken: err, leaves: response.Close}
}

const callMargin = 600 * time.Millisecond

// isTimeout reports whether a call ended because the caller gave it up.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) || (errors.As(err, &timeout) && timeout.Timeout())
}

// calls sends requests that may and that may not be repeated, and keeps what is judged at the end.
type calls struct {
	world   *World
	ingress *ingress
	calm    *calm
	report  func(Violation)

	mu      sync.Mutex
	next    int
	once    []string          // identifiers of requests that may run once
	refused []string          // identifiers that were refused as not run
	tenants map[string]string // by identifier
	served  int
	failed  int
	kept    int // on connections that are kept
}

const (
	callInterval = 35 * time.Millisecond
	// longEvery is how many calls go by for each that takes longWork, so that some are in progress at every fault.
	longEvery = 4
	longWork  = 600 * time.Millisecond
	// forgedEvery is how many calls go by for each that names another tenant than that of its key.
	forgedEvery = 5
)

func (calls *calls) run(ctx context.Context) {
	var running sync.WaitGroup
	for pause(ctx, callInterval) {
		running.Go(func() { calls.one(ctx) })
	}
	running.Wait()
}

const (
	// keepers is how many callers keep their connection to a front, whether that is ready or not, until it is closed or the front asks them to
	// leave it; keptInterval is the time between two of their calls.
	keepers      = 6
	keptInterval = 60 * time.Millisecond
)

// keep has callers use the connections that they have until these are gone.
func (calls *calls) keep(ctx context.Context) {
	var running sync.WaitGroup
	for range keepers {
		running.Go(func() {
			for ctx.Err() == nil {
				calls.keepOne(ctx, calls.ingress.pick())
			}
		})
	}
	running.Wait()
}

// keepOne makes calls on one connection to a front until it is gone.
func (calls *calls) keepOne(ctx context.Context, node *Node) {
	transport := &http.Transport{MaxConnsPerHost: 1, DisableCompression: true}
	defer transport.CloseIdleConnections()
	for pause(ctx, keptInterval) {
		got := calls.oneOn(ctx, node, transport)
		calls.mu.Lock()
		calls.kept++
		calls.mu.Unlock()
		if got.broken != nil || got.leaves {
			return
		}
	}
}

// one makes a call on a connection of its own and judges its answer.
func (calls *calls) one(ctx context.Context) {
	calls.oneOn(ctx, calls.ingress.pick(), &http.Transport{DisableKeepAlives: true, DisableCompression: true})
}

// oneOn makes a call and judges its answer.
func (calls *calls) oneOn(ctx context.Context, node *Node, transport *http.Transport) answer {
	calls.mu.Lock()
	calls.next++
	id := fmt.Sprint("call-", calls.next)
	prefix := "/call/"
	if calls.next%3 == 0 {
		prefix = "/order/"
		calls.once = append(calls.once, id)
	}
	target := prefix + id + "?a=b%2F"
	if calls.next%longEvery == 0 {
		target += fmt.Sprint("&work-ms=", longWork.Milliseconds())
	}
	tenant := tenantOf(calls.next)
	calls.tenants[id] = tenant
	headers := authorization(keyOf(tenant))
	if calls.next%forgedEvery == 0 {
		headers = append(headers, "Tenant", tenantOf(calls.next+1))
	}
	calls.mu.Unlock()
	life := node.Life()
	sent := time.Now()
	got := callOn(ctx, transport, node, http.MethodPost, target, id, "body of "+id, callTime, headers...)
	if ctx.Err() != nil {
		return got
	}
	calls.count(id, got)
	calls.judge(id, got)
	calls.judgeStop(id, node, life, sent, got)
	return got
}

func (calls *calls) count(id string, got answer) {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	if got.broken == nil && got.status == http.StatusOK {
		calls.served++
		return
	}
	calls.failed++
	switch got.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		calls.refused = append(calls.refused, id)
	}
}

// judge checks that a success is the whole answer of a replica to this very request.
func (calls *calls) judge(id string, got answer) {
	if got.status == http.StatusUnauthorized {
		calls.report(Violation{Promise: PromiseTenant, Subject: id, Detail: "its key is in every configuration, and was refused"})
	}
	if got.broken != nil || got.status >= http.StatusMultipleChoices {
		return
	}
	if got.body != "answer to "+id || !strings.HasSuffix(got.header.Get("Server-Stamp"), "."+id) {
		calls.report(Violation{Promise: PromiseWholeAnswer, Subject: id, Detail: fmt.Sprintf("%d %q stamp %q", got.status, got.body, got.header.Get("Server-Stamp"))})
	}
}

// judgeStop checks that a front which stops as planned cuts off no request that it has passed on.
func (calls *calls) judgeStop(id string, node *Node, life int, sent time.Time, got answer) {
	if got.broken == nil || !got.written || isTimeout(got.broken) || len(calls.world.Executions.Of(id)) == 0 {
		return
	}
	if node.Life() == life && node.Faulted().Before(sent) {
		calls.report(Violation{Promise: PromiseNotCut, Subject: id, Detail: node.Name + " without a fault of its own: " + got.broken.Error()})
	}
	if stopped := node.stopping.Load(); stopped {
		calls.report(Violation{Promise: PromiseNotCut, Subject: id, Detail: node.Name + " during its planned stop: " + got.broken.Error()})
	}
}

// verify judges, once all is over, what can only be told then.
func (calls *calls) verify() {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	for _, id := range calls.once {
		if runs := calls.world.Executions.Of(id); len(runs) > 1 {
			calls.report(Violation{Promise: PromiseOnce, Subject: id, Detail: fmt.Sprintf("%d runs, at %s and %s", len(runs), runs[0].Replica, runs[1].Replica)})
		}
	}
	for id, tenant := range calls.tenants {
		if !calls.world.tenants {
			break
		}
		for _, violation := range judgeCallers(calls.world.Executions, id, tenant) {
			calls.report(violation)
		}
	}
	for _, id := range calls.refused {
		if runs := calls.world.Executions.Of(id); len(runs) > 0 {
			calls.report(Violation{Promise: PromiseNotRun, Subject: id, Detail: "ran at " + runs[0].Replica})
		}
	}
}
