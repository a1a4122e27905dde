package forwarding_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/forwarding"
)

// behaviour describes how a replica answers one request.
type behaviour struct {
	after       time.Duration
	status      int
	notExecuted bool
	notSent     bool
	broken      bool
	held        bool
}

// scripted is a sender that answers the n-th request with the n-th behaviour, and later requests with the last one.
type scripted struct {
	mu        sync.Mutex
	script    []behaviour
	sent      []string
	deadlines []time.Duration
}

func (script *scripted) Send(ctx context.Context, replica *catalog.Replica, request *backend.Request) (*backend.Response, error) {
	script.mu.Lock()
	behaviour := script.script[min(len(script.sent), len(script.script)-1)]
	script.sent = append(script.sent, replica.ID)
	script.deadlines = append(script.deadlines, request.Deadline)
	script.mu.Unlock()
	if behaviour.notSent {
		return nil, backend.ErrNotSent
	}
	if behaviour.held {
		return nil, errors.Mark(&backend.HeldError{RetryAfter: holdTime}, backend.ErrNotSent)
	}
	select {
	case <-ctx.Done():
		return nil, backend.ErrBroken
	case <-time.After(behaviour.after):
	}
	if behaviour.broken {
		return nil, backend.ErrBroken
	}
	return &backend.Response{
		Status: behaviour.status, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("body")), Length: 4, NotExecuted: behaviour.notExecuted,
	}, nil
}

func forward(t *testing.T, kind catalog.Kind, attempts int, script ...behaviour) (forwarding.Result, *scripted) {
	t.Helper()
	sender := &scripted{script: script}
	var result forwarding.Result
	synctest.Test(t, func(t *testing.T) {
		table := catalog.NewTable()
		table.SetReplicas([]catalog.Replica{{ID: "r1", Service: "s", Slots: 6}, {ID: "r2", Service: "s", Slots: 6}, {ID: "r3", Service: "s", Slots: 6}}, 1)
		forwarder := &forwarding.Forwarder{Catalog: table, Loads: backend.NewLoads(), Sender: sender, Logger: log.New(io.Discard)}
		route := &catalog.Route{
			Kind: kind, Targets: []catalog.RouteTarget{{Service: "s", Weight: 1}}, Timeout: time.Second, Objective: 150 * time.Millisecond, MaxAttempts: attempts,
		}
		result = forwarder.Forward(t.Context(), route, &forwarding.Call{Request: backend.Request{ID: "q"}, Deadline: 900 * time.Millisecond})
		synctest.Wait()
	})
	return result, sender
}

// holdTime is the RetryAfter of a held request.
const holdTime = 4 * time.Second

// A held request is refused at once with a retry time, but only if it has not run. If an earlier attempt has run or may have run, the caller
// gets the outcome of that attempt.
func TestHeldRequests(t *testing.T) {
	held := behaviour{held: true}
	for _, check := range []struct {
		name   string
		kind   catalog.Kind
		script []behaviour
		status int
		sent   int
		after  time.Duration
	}{
		{"before its first run", catalog.Safe, []behaviour{held}, 503, 1, holdTime},
		{"after a refusal", catalog.Unsafe, []behaviour{{status: 503, notExecuted: true}, held}, 503, 2, holdTime},
		{"after a broken connection", catalog.Safe, []behaviour{{broken: true}, held}, 502, 2, 0},
		{"after a failed run", catalog.Safe, []behaviour{{status: 500}, held}, 500, 2, 0},
		{"beside a slow run", catalog.Safe, []behaviour{{after: 300 * time.Millisecond, status: 200}, held}, 200, 2, 0},
	} {
		result, sender := forward(t, check.kind, 4, check.script...)
		must.Eq(t, check.status, result.Status, must.Sprint(check.name))
		must.Eq(t, check.sent, len(sender.sent), must.Sprint(check.name))
		must.Eq(t, check.after, result.RetryAfter, must.Sprint(check.name))
	}
}

func TestForward(t *testing.T) {
	served := behaviour{after: 20 * time.Millisecond, status: http.StatusOK}
	refused := behaviour{status: http.StatusServiceUnavailable, notExecuted: true}
	failed := behaviour{status: http.StatusInternalServerError}
	unresponsive := behaviour{after: time.Hour}
	cases := []struct {
		name     string
		kind     catalog.Kind
		attempts int
		script   []behaviour
		status   int
		own      bool
		sent     int
		retry    bool
	}{
		{"served", catalog.Safe, 2, []behaviour{served}, 200, false, 1, false},
		{"refused then served", catalog.Safe, 2, []behaviour{refused, served}, 200, false, 2, false},
		{"refused in every allowed attempt", catalog.Safe, 2, []behaviour{refused}, 503, true, 2, true},
		{"unsafe refused then served", catalog.Unsafe, 2, []behaviour{refused, served}, 200, false, 2, false},
		{"unsafe that may have run is not retried", catalog.Unsafe, 3, []behaviour{{broken: true}, served}, 502, true, 1, false},
		{"unsafe that was not sent is retried", catalog.Unsafe, 3, []behaviour{{notSent: true}, served}, 200, false, 2, false},
		{"unsafe failure is delivered", catalog.Unsafe, 3, []behaviour{failed, served}, 500, false, 1, false},
		{"safe failure is retried", catalog.Safe, 2, []behaviour{failed, served}, 200, false, 2, false},
		{"safe failure is delivered if the retry is refused", catalog.Safe, 2, []behaviour{failed, refused}, 500, false, 2, false},
		{"broken connection then served", catalog.Safe, 2, []behaviour{{broken: true}, served}, 200, false, 2, false},
		{"an unresponsive replica is hedged", catalog.Safe, 2, []behaviour{unresponsive, served}, 200, false, 2, false},
		{"no hedge beyond one attempt", catalog.Safe, 1, []behaviour{unresponsive}, 504, true, 1, false},
		{"no replica answers before the deadline", catalog.Safe, 2, []behaviour{unresponsive}, 504, true, 2, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			result, sender := forward(t, c.kind, c.attempts, c.script...)
			must.Eq(t, c.status, result.Status)
			must.Eq(t, c.own, result.Local)
			must.Eq(t, c.sent, len(sender.sent))
			must.Eq(t, c.retry, result.RetryAfter > 0)
			for index, deadline := range sender.deadlines {
				must.LessEq(t, 900*time.Millisecond, deadline)
				must.True(t, index == 0 || sender.sent[index] != sender.sent[index-1], must.Sprint("two attempts in a row at the same replica"))
			}
		})
	}
}

// Time during which the machine is suspended counts against the caller's deadline: a retry gets only what remains of it.
func TestSuspendedCallIsNotRetried(t *testing.T) {
	for _, check := range []struct {
		suspended time.Duration
		sent      int
		status    int
	}{
		{0, 2, http.StatusOK},
		{500 * time.Millisecond, 2, http.StatusOK},
		{5 * time.Second, 1, http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			var suspended atomic.Int64 // nanoseconds
			steady := clock.Monotonic()
			sender := &scripted{script: []behaviour{{after: 20 * time.Millisecond, status: http.StatusServiceUnavailable, notExecuted: true}, {status: http.StatusOK}}}
			table := catalog.NewTable()
			table.SetReplicas([]catalog.Replica{{ID: "r1", Service: "s", Slots: 6}, {ID: "r2", Service: "s", Slots: 6}}, 1)
			forwarder := &forwarding.Forwarder{
				Catalog: table, Loads: backend.NewLoads(), Sender: sender, Logger: log.New(io.Discard),
				Clock: clock.Func(func() time.Duration { return steady.Elapsed() + time.Duration(suspended.Load()) }),
			}
			route := &catalog.Route{Kind: catalog.Safe, Targets: []catalog.RouteTarget{{Service: "s", Weight: 1}}, Timeout: time.Second, Objective: 150 * time.Millisecond, MaxAttempts: 3}
			time.AfterFunc(10*time.Millisecond, func() { suspended.Store(int64(check.suspended)) })
			result := forwarder.Forward(t.Context(), route, &forwarding.Call{Request: backend.Request{ID: "q"}, Deadline: 900 * time.Millisecond})
			synctest.Wait()
			must.Eq(t, check.status, result.Status)
			must.Eq(t, check.sent, len(sender.sent))
			if check.sent > 1 {
				must.LessEq(t, 900*time.Millisecond-20*time.Millisecond-check.suspended, sender.deadlines[1])
			}
		})
	}
}

// PickTarget distributes requests over the targets of a route in proportion to their weights.
func TestPickPart(t *testing.T) {
	targets := []catalog.RouteTarget{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}
	counts := make(map[string]int)
	for range 10000 {
		counts[forwarding.PickTarget(targets)]++
	}
	must.Between(t, 8800, counts["a"], 9200)
	must.Eq(t, 0, counts["c"])
	must.Eq(t, "", forwarding.PickTarget(nil))
}

// Guards against requests that fail at a service whose replicas are gone or have all just failed, while another target of their route serves.
func TestRequestsLeaveAServiceThatDoesNotServe(t *testing.T) {
	for name, replicas := range map[string][]catalog.Replica{
		"without replicas":       nil,
		"whose replica drains":   {{ID: "b1", Service: "b", Slots: 6, Draining: true}},
		"whose replica is stuck": {{ID: "b1", Service: "b", Slots: 6}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table, loads, now := catalog.NewTable(), backend.NewLoads(), time.Now()
				table.SetReplicas(append(replicas, catalog.Replica{ID: "a1", Service: "a", Slots: 6}), 1)
				for range 2 {
					loads.Begin("b1", now)
					loads.End("b1", backend.Failed, now)
				}
				sender := &scripted{script: []behaviour{{status: http.StatusOK}}}
				forwarder := &forwarding.Forwarder{Catalog: table, Loads: loads, Sender: sender, Logger: log.New(io.Discard)}
				route := &catalog.Route{Kind: catalog.Unsafe, Targets: []catalog.RouteTarget{{Service: "a", Weight: 1}, {Service: "b", Weight: 99}}, Timeout: time.Second, MaxAttempts: 2}
				for range 20 {
					result := forwarder.Forward(t.Context(), route, &forwarding.Call{Request: backend.Request{ID: "q"}})
					must.Eq(t, http.StatusOK, result.Status)
				}
				must.SliceNotContains(t, sender.sent, "b1")
			})
		})
	}
}

// outdated is a sender whose replicas without a sound process answer at once that they are not the expected ones.
type outdated struct{ sound string }

func (sender outdated) Send(_ context.Context, replica *catalog.Replica, _ *backend.Request) (*backend.Response, error) {
	response := &backend.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("body")), Length: 4}
	if replica.ID != sender.sound {
		response.Status, response.NotExecuted = http.StatusMisdirectedRequest, true
	}
	return response, nil
}

// Guards against requests that go to outdated entries for good, since these answer at once and have open connections, while a sound replica waits.
func TestOutdatedEntriesAreLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls, mayFail = 20, 2 // one call finds both outdated entries, and one more may meet a trial of each
		table, loads := catalog.NewTable(), backend.NewLoads()
		table.SetReplicas([]catalog.Replica{{ID: "r1", Service: "s", Slots: 6}, {ID: "r2", Service: "s", Slots: 6}, {ID: "r3", Service: "s", Slots: 6}}, 1)
		for _, used := range []string{"r1", "r2"} {
			loads.Begin(used, time.Now())
			loads.End(used, backend.Served, time.Now())
		}
		forwarder := &forwarding.Forwarder{Catalog: table, Loads: loads, Sender: outdated{sound: "r3"}, Logger: log.New(io.Discard)}
		route := &catalog.Route{Kind: catalog.Safe, Targets: []catalog.RouteTarget{{Service: "s", Weight: 1}}, Timeout: time.Second, Objective: 150 * time.Millisecond, MaxAttempts: 2}
		served := 0
		for range calls {
			if result := forwarder.Forward(t.Context(), route, &forwarding.Call{Request: backend.Request{ID: "q"}}); result.Status == http.StatusOK {
				served++
			}
			time.Sleep(200 * time.Millisecond)
		}
		must.GreaterEq(t, calls-mayFail, served)
	})
}

// No attempt starts after the API key was revoked, and a request that has not run is then refused as unauthorized.
func TestRevokedWhileHeld(t *testing.T) {
	refused := behaviour{after: 20 * time.Millisecond, status: http.StatusServiceUnavailable, notExecuted: true}
	broken := behaviour{after: 20 * time.Millisecond, broken: true}
	slow := behaviour{after: 400 * time.Millisecond, status: http.StatusOK}
	for _, check := range []struct {
		name   string
		first  behaviour
		after  time.Duration
		sent   int
		status int
	}{
		{"before the first attempt", refused, 0, 0, http.StatusUnauthorized},
		{"before a retry of what has not run", refused, 10 * time.Millisecond, 1, http.StatusUnauthorized},
		{"before a retry of what may have run", broken, 10 * time.Millisecond, 1, http.StatusBadGateway},
		{"before a hedge: the running attempt may finish", slow, 30 * time.Millisecond, 1, http.StatusOK},
		{"after the last attempt", refused, time.Second, 3, http.StatusServiceUnavailable},
	} {
		sender := &scripted{script: []behaviour{check.first}}
		var result forwarding.Result
		synctest.Test(t, func(t *testing.T) {
			table := catalog.NewTable()
			table.SetReplicas([]catalog.Replica{{ID: "r1", Service: "s", Slots: 6}, {ID: "r2", Service: "s", Slots: 6}, {ID: "r3", Service: "s", Slots: 6}}, 1)
			forwarder := &forwarding.Forwarder{Catalog: table, Loads: backend.NewLoads(), Sender: sender, Logger: log.New(io.Discard)}
			route := &catalog.Route{Kind: catalog.Safe, Targets: []catalog.RouteTarget{{Service: "s", Weight: 1}}, Timeout: time.Second, Objective: 150 * time.Millisecond, MaxAttempts: 3}
			started := time.Now()
			result = forwarder.Forward(t.Context(), route, &forwarding.Call{
				Request: backend.Request{ID: "q"}, Deadline: 900 * time.Millisecond,
				KeyValid: func() bool { return time.Since(started) < check.after },
			})
			synctest.Wait()
		})
		must.Eq(t, check.status, result.Status, must.Sprint(check.name))
		must.Eq(t, check.sent, len(sender.sent), must.Sprint(check.name))
	}
}

// tallies is a Meter that counts runs by tenant.
type tallies struct {
	mu    sync.Mutex
	count map[string]int
}

func (tallies *tallies) CountStarted(tenant string) func() {
	add := func(change int) {
		tallies.mu.Lock()
		defer tallies.mu.Unlock()
		tallies.count[tenant] += change
	}
	add(1)
	return func() { add(-1) }
}

// Each run of a tenant's request is counted. A request that was refused or not sent is not, nor is a request without a tenant.
func TestRunsAreCounted(t *testing.T) {
	served := behaviour{after: 10 * time.Millisecond, status: http.StatusOK}
	refused := behaviour{after: 10 * time.Millisecond, status: http.StatusServiceUnavailable, notExecuted: true}
	failed := behaviour{after: 10 * time.Millisecond, status: http.StatusInternalServerError}
	for _, check := range []struct {
		name   string
		tenant string
		script []behaviour
		want   map[string]int
	}{
		{"served", "harbour", []behaviour{served}, map[string]int{"harbour": 1}},
		{"without a tenant", "", []behaviour{served}, map[string]int{}},
		{"refused, then served", "harbour", []behaviour{refused, served}, map[string]int{"harbour": 1}},
		{"not sent, then served", "harbour", []behaviour{{notSent: true}, served}, map[string]int{"harbour": 1}},
		{"failed, then served: two runs", "harbour", []behaviour{failed, served}, map[string]int{"harbour": 2}},
		{"broken connection, then served: possibly two runs", "harbour", []behaviour{{broken: true}, served}, map[string]int{"harbour": 2}},
		{"refused in every attempt", "harbour", []behaviour{refused}, map[string]int{"harbour": 0}},
	} {
		counted := &tallies{count: make(map[string]int)}
		synctest.Test(t, func(t *testing.T) {
			table := catalog.NewTable()
			table.SetReplicas([]catalog.Replica{{ID: "r1", Service: "s", Slots: 6}, {ID: "r2", Service: "s", Slots: 6}, {ID: "r3", Service: "s", Slots: 6}}, 1)
			forwarder := &forwarding.Forwarder{Catalog: table, Loads: backend.NewLoads(), Sender: &scripted{script: check.script}, Logger: log.New(io.Discard), Meter: counted}
			route := &catalog.Route{Kind: catalog.Safe, Targets: []catalog.RouteTarget{{Service: "s", Weight: 1}}, Timeout: time.Second, Objective: 150 * time.Millisecond, MaxAttempts: 3}
			forwarder.Forward(t.Context(), route, &forwarding.Call{Request: backend.Request{ID: "q", Tenant: check.tenant}, Deadline: 900 * time.Millisecond})
			synctest.Wait()
		})
		must.Eq(t, check.want, counted.count, must.Sprint(check.name))
	}
}
