package forwarding_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/forwarding"
)

// rooms is a Room with a fixed limit that records outcomes.
type rooms struct {
	limit    atomic.Int64
	mu       sync.Mutex
	outcomes []admission.Outcome
}

func (rooms *rooms) Limit(string) int { return int(rooms.limit.Load()) }

func (rooms *rooms) Observe(_ string, outcome admission.Outcome, _ int) {
	rooms.mu.Lock()
	defer rooms.mu.Unlock()
	rooms.outcomes = append(rooms.outcomes, outcome)
}

// admitted is a forwarder with admission to a service of three replicas.
type admitted struct {
	*forwarding.Forwarder
	room   *rooms
	sender *scripted
	lines  bytes.Buffer
}

func newAdmitted(limit int, script ...behaviour) *admitted {
	admitted := &admitted{room: &rooms{}, sender: &scripted{script: script}}
	admitted.room.limit.Store(int64(limit))
	table := catalog.NewTable()
	table.SetReplicas([]catalog.Replica{{ID: "r1", Service: "s", Slots: 6}, {ID: "r2", Service: "s", Slots: 6}, {ID: "r3", Service: "s", Slots: 6}}, 1)
	admitted.Forwarder = &forwarding.Forwarder{
		Catalog: table, Loads: backend.NewLoads(), Sender: admitted.sender, Logger: log.NewWithOptions(&admitted.lines, log.Options{Formatter: log.LogfmtFormatter}),
		Admission: admission.NewController(admitted.room),
	}
	return admitted
}

func (admitted *admitted) call(ctx context.Context, kind catalog.Kind, valid func() bool) forwarding.Result {
	route := &catalog.Route{Kind: kind, Targets: []catalog.RouteTarget{{Service: "s", Weight: 1}}, Timeout: time.Second, Objective: 150 * time.Millisecond, MaxAttempts: 3}
	return admitted.Forward(ctx, route, &forwarding.Call{Request: backend.Request{ID: "q"}, Deadline: 900 * time.Millisecond, KeyValid: valid})
}

// occupy takes a place of the service.
func (admitted *admitted) occupy(t *testing.T) admission.Grant {
	t.Helper()
	grant, err := admitted.Admission.Admit(t.Context(), admission.Demand{Service: "s"})
	must.NoError(t, err)
	return grant
}

// load returns the requests in flight and waiting.
func (admitted *admitted) load() (inFlight, waiting int) {
	for _, load := range admitted.Admission.Loads() {
		inFlight, waiting = inFlight+load.InFlight, waiting+load.Waiting
	}
	return inFlight, waiting
}

// Every way in which a call ends gives back the places of all its attempts, and tells the service's room what it saw.
func TestPlacesAreReleased(t *testing.T) {
	served := behaviour{after: 20 * time.Millisecond, status: http.StatusOK}
	full := behaviour{after: time.Millisecond, status: http.StatusServiceUnavailable, notExecuted: true}
	for _, check := range []struct {
		name         string
		script       []behaviour
		status, ends int
		full, timed  int
		cutOff       int // outcomes that tell a lower bound of the service time
	}{
		{"served", []behaviour{served}, 200, 1, 0, 1, 0},
		{"full, then served", []behaviour{full, served}, 200, 2, 1, 1, 0},
		{"full everywhere", []behaviour{full}, 503, 3, 3, 0, 0},
		{"moved on, then served", []behaviour{{status: http.StatusMisdirectedRequest, notExecuted: true}, served}, 200, 2, 0, 1, 0},
		{"not sent, then served", []behaviour{{notSent: true}, served}, 200, 2, 0, 1, 0},
		{"broken, then served", []behaviour{{after: time.Millisecond, broken: true}, served}, 200, 2, 0, 1, 1},
		{"failed, then served", []behaviour{{after: time.Millisecond, status: 500}, served}, 200, 2, 0, 1, 1},
		{"held", []behaviour{{held: true}}, 503, 1, 0, 0, 0},
		{"hedged", []behaviour{{after: time.Hour}, served}, 200, 2, 0, 1, 1},
		{"no answer", []behaviour{{after: time.Hour}}, 504, 2, 0, 0, 2},
	} {
		synctest.Test(t, func(t *testing.T) {
			admitted := newAdmitted(4, check.script...)
			result := admitted.call(t.Context(), catalog.Safe, nil)
			synctest.Wait()
			must.Eq(t, check.status, result.Status, must.Sprint(check.name))
			if check.status == http.StatusServiceUnavailable {
				must.GreaterEq(t, 100*time.Millisecond, result.RetryAfter, must.Sprint(check.name, ": not back before the replicas can have room"))
			} else {
				must.Eq(t, 0, result.RetryAfter, must.Sprint(check.name))
			}
			inFlight, waiting := admitted.load()
			must.Eq(t, 0, inFlight+waiting, must.Sprint(check.name))
			var full, timed, cutOff int
			for _, outcome := range admitted.room.outcomes {
				if outcome.Full {
					full++
				}
				if outcome.ServiceTime > 0 {
					timed++
				}
				if outcome.AtLeast > 0 {
					cutOff++
				}
			}
			must.Eq(t, []int{check.ends, check.full, check.timed, check.cutOff}, []int{len(admitted.room.outcomes), full, timed, cutOff}, must.Sprint(check.name))
		})
	}
}

// exiting is a sender whose goroutine ends without returning.
type exiting struct{}

func (exiting) Send(context.Context, *catalog.Replica, *backend.Request) (*backend.Response, error) {
	runtime.Goexit()
	return nil, nil
}

// The place of an attempt whose goroutine ends without a result is not lost. A panic there is not recovered and ends the process.
func TestPlaceOfAnAttemptThatExits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admitted := newAdmitted(1)
		admitted.Sender = exiting{}
		must.Eq(t, http.StatusGatewayTimeout, admitted.call(t.Context(), catalog.Unsafe, nil).Status)
		inFlight, _ := admitted.load()
		must.Eq(t, 0, inFlight)
	})
}

// A call without room waits, is sent when a place is free, and is refused with the time to return if it can't be served. Its log line tells
// how long it waited and why it was refused.
func TestCallsWaitForRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admitted := newAdmitted(1, behaviour{after: 20 * time.Millisecond, status: http.StatusOK})
		grant := admitted.occupy(t)
		time.AfterFunc(100*time.Millisecond, func() { grant.Release(admission.Outcome{ServiceTime: 100 * time.Millisecond}) })
		must.Eq(t, http.StatusOK, admitted.call(t.Context(), catalog.Safe, nil).Status)
		must.StrContains(t, admitted.lines.String(), "waited_ms=100 position=0")
		must.LessEq(t, 770*time.Millisecond, admitted.sender.deadlines[0], must.Sprint("the replica gets what remains after the wait"))

		// A place that stays occupied: refused before the deadline, nothing sent.
		grant = admitted.occupy(t)
		admitted.lines.Reset()
		began := time.Now()
		result := admitted.call(t.Context(), catalog.Unsafe, nil)
		must.Eq(t, http.StatusServiceUnavailable, result.Status)
		must.Eq(t, "no_room", result.Reason)
		must.True(t, result.Local)
		must.Positive(t, result.RetryAfter)
		must.Less(t, 860*time.Millisecond, time.Since(began))
		must.Len(t, 1, admitted.sender.sent)
		must.StrContains(t, admitted.lines.String(), "attempts=0")
		must.StrContains(t, admitted.lines.String(), "status=503 own=true reason=no_room waited_ms=")
		must.StrContains(t, admitted.lines.String(), "not_admitted=expired")
		grant.Release(admission.Outcome{})
		inFlight, waiting := admitted.load()
		must.Eq(t, 0, inFlight+waiting)
	})
}

// A call that gets its place when too little time is left for an attempt had no room; replicas there were.
func TestPlaceInTheLastMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admitted := newAdmitted(1, behaviour{status: http.StatusOK})
		grant := admitted.occupy(t)
		time.AfterFunc(853*time.Millisecond, func() { grant.Release(admission.Outcome{}) })
		must.Eq(t, "no_room", admitted.call(t.Context(), catalog.Safe, nil).Reason)
		must.SliceEmpty(t, admitted.sender.sent)
		inFlight, _ := admitted.load()
		must.Eq(t, 0, inFlight)
	})
}

// A call whose caller disconnects leaves the queue at once, and one whose key was revoked while it waited is not sent.
func TestWaitingCallIsWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admitted := newAdmitted(1, behaviour{status: http.StatusOK})
		grant := admitted.occupy(t)
		ctx, disconnect := context.WithCancel(t.Context())
		began := time.Now()
		time.AfterFunc(50*time.Millisecond, disconnect)
		admitted.call(ctx, catalog.Safe, nil)
		must.Eq(t, 50*time.Millisecond, time.Since(began))
		_, waiting := admitted.load()
		must.Eq(t, 0, waiting)

		var revoked atomic.Bool
		time.AfterFunc(50*time.Millisecond, func() { revoked.Store(true) })
		time.AfterFunc(100*time.Millisecond, func() { grant.Release(admission.Outcome{}) })
		result := admitted.call(t.Context(), catalog.Safe, func() bool { return !revoked.Load() })
		must.Eq(t, http.StatusUnauthorized, result.Status)
		must.SliceEmpty(t, admitted.sender.sent)
		inFlight, _ := admitted.load()
		must.Eq(t, 0, inFlight)
	})
}

// A request that a full replica refused goes back to the queue, while one that may have run is not repeated and not hedged without room.
func TestRetriesAndHedgesWithoutRoom(t *testing.T) {
	for _, check := range []struct {
		name   string
		first  behaviour
		sent   int
		status int
	}{
		{"refused by a full replica", behaviour{after: 20 * time.Millisecond, status: http.StatusServiceUnavailable, notExecuted: true}, 2, http.StatusOK},
		{"failed", behaviour{after: 20 * time.Millisecond, status: http.StatusInternalServerError}, 1, http.StatusInternalServerError},
		{"broken", behaviour{after: 20 * time.Millisecond, broken: true}, 1, http.StatusBadGateway},
		{"slow", behaviour{after: 400 * time.Millisecond, status: http.StatusOK}, 1, http.StatusOK},
	} {
		synctest.Test(t, func(t *testing.T) {
			admitted := newAdmitted(1, check.first, behaviour{after: 20 * time.Millisecond, status: http.StatusOK})
			// Another request waits and takes the place when the first attempt ends. A second place is free later.
			time.AfterFunc(5*time.Millisecond, func() { admitted.occupy(t) })
			time.AfterFunc(500*time.Millisecond, func() {
				admitted.room.limit.Store(2)
				admitted.Admission.RoomChanged()
			})
			result := admitted.call(t.Context(), catalog.Safe, nil)
			must.Eq(t, check.status, result.Status, must.Sprint(check.name))
			must.Len(t, check.sent, admitted.sender.sent, must.Sprint(check.name))
			time.Sleep(time.Second)
			inFlight, waiting := admitted.load()
			must.Eq(t, []int{1, 0}, []int{inFlight, waiting}, must.Sprint(check.name))
		})
	}
}

// A retry or hedge that can't start takes nothing from the budgets, which other requests need.
func TestBudgetsPayOnlyForWhatIsSent(t *testing.T) {
	broken, slow := behaviour{broken: true}, behaviour{after: 700 * time.Millisecond, status: http.StatusOK}
	for _, check := range []struct {
		name     string
		first    behaviour
		kind     catalog.Kind
		attempts int
		replicas int
		valid    int // how often the key is found valid
	}{
		{"no attempt left", broken, catalog.Safe, 1, 3, 100},
		{"key revoked", broken, catalog.Safe, 3, 3, 2},
		{"no time left", behaviour{after: 853 * time.Millisecond, broken: true}, catalog.Batch, 3, 3, 100},
		{"no other replica for a retry", broken, catalog.Batch, 3, 1, 100},
		{"no other replica for a hedge", slow, catalog.Safe, 3, 1, 100},
	} {
		synctest.Test(t, func(t *testing.T) {
			admitted := newAdmitted(4, check.first)
			admitted.Catalog.SetReplicas([]catalog.Replica{{ID: "r1", Service: "s", Slots: 6}, {ID: "r2", Service: "s", Slots: 6}, {ID: "r3", Service: "s", Slots: 6}}[:check.replicas], 2)
			route := &catalog.Route{Kind: check.kind, Targets: []catalog.RouteTarget{{Service: "s", Weight: 1}}, Timeout: time.Second, Objective: 150 * time.Millisecond, MaxAttempts: check.attempts}
			const calls = 12
			for range calls {
				valid := check.valid
				admitted.Forward(t.Context(), route, &forwarding.Call{Request: backend.Request{ID: "q"}, Deadline: 900 * time.Millisecond, KeyValid: func() bool {
					valid--
					return valid >= 0
				}})
				synctest.Wait()
			}
			must.Len(t, calls, admitted.sender.sent, must.Sprint(check.name))
			retries, hedges := 0, 0
			for admitted.Admission.AllowRetry("s", true) {
				retries++
			}
			for {
				grant, ok := admitted.Admission.AdmitHedge(admission.Demand{Service: "s"})
				if !ok {
					break
				}
				grant.Release(admission.Outcome{})
				hedges++
			}
			must.Eq(t, []int{20, 10}, []int{retries, hedges}, must.Sprint(check.name, ": retries and hedges left"))
		})
	}
}

// streaming is a sender whose answers are streams.
type streaming struct{}

func (streaming) Send(context.Context, *catalog.Replica, *backend.Request) (*backend.Response, error) {
	return &backend.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("events")), Length: -1}, nil
}

// A stream keeps its place until it is closed, or until its caller has gone if nobody closes it.
func TestStreamKeepsItsPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admitted := newAdmitted(2)
		admitted.Sender = streaming{}
		ctx, disconnect := context.WithCancel(t.Context())
		first, second := admitted.call(ctx, catalog.Stream, nil), admitted.call(ctx, catalog.Stream, nil)
		inFlight, _ := admitted.load()
		must.Eq(t, 2, inFlight)
		time.Sleep(100 * time.Millisecond)
		_, err := io.Copy(io.Discard, first.Rest)
		must.NoError(t, err)
		must.NoError(t, first.Rest.Close())
		inFlight, _ = admitted.load()
		must.Eq(t, 1, inFlight)
		must.Eq(t, admission.Outcome{ServiceTime: 100 * time.Millisecond}, admitted.room.outcomes[0])
		disconnect()
		synctest.Wait()
		inFlight, _ = admitted.load()
		must.Eq(t, 0, inFlight)
		must.NoError(t, second.Rest.Close())
		must.Len(t, 2, admitted.room.outcomes)
		must.Eq(t, admission.Outcome{AtLeast: 100 * time.Millisecond}, admitted.room.outcomes[1], must.Sprint("its caller left"))
	})
}

// A caller that comes back after a refusal gives what remains of its deadline. If callers of a route agree on their deadlines, its request
// goes behind those that can still be in time, and otherwise nothing is concluded from a short deadline.
func TestReturningCallersAreNotTakenForNew(t *testing.T) {
	for _, check := range []struct {
		name   string
		usual  []time.Duration // deadlines of calls while there is room, in turn
		behind bool
	}{
		{"all alike", []time.Duration{800 * time.Millisecond}, true},
		{"a few came back", []time.Duration{800, 800, 800, 800, 800, 800, 800, 800, 800, 500}, true},
		{"callers of two kinds", []time.Duration{800 * time.Millisecond, 500 * time.Millisecond}, false},
		{"one patient caller long ago", append([]time.Duration{time.Hour}, make([]time.Duration, 2000)...), true},
	} {
		synctest.Test(t, func(t *testing.T) {
			admitted := newAdmitted(1, behaviour{after: 10 * time.Millisecond, status: http.StatusOK})
			route := &catalog.Route{Name: "r", Kind: catalog.Safe, Targets: []catalog.RouteTarget{{Service: "s", Weight: 1}}, Timeout: time.Second, Objective: 150 * time.Millisecond, MaxAttempts: 1}
			call := func(deadline time.Duration) {
				admitted.Forward(t.Context(), route, &forwarding.Call{Request: backend.Request{ID: "q"}, Deadline: deadline})
			}
			for turn := range max(200, len(check.usual)) {
				deadline := check.usual[turn%len(check.usual)]
				if deadline == 0 {
					deadline = 800 * time.Millisecond
				} else if deadline < time.Microsecond {
					deadline *= time.Millisecond
				}
				call(deadline)
			}
			time.Sleep(5 * time.Second) // until the load of these calls is forgotten
			grant := admitted.occupy(t)
			var mu sync.Mutex
			var order []time.Duration
			var waits sync.WaitGroup
			for _, deadline := range []time.Duration{500 * time.Millisecond, 800 * time.Millisecond} {
				waits.Go(func() {
					call(deadline)
					mu.Lock()
					defer mu.Unlock()
					order = append(order, deadline)
				})
				synctest.Wait()
			}
			grant.Release(admission.Outcome{ServiceTime: 10 * time.Millisecond})
			waits.Wait()
			must.Eq(t, check.behind, order[0] == 800*time.Millisecond, must.Sprint(check.name))
		})
	}
}

// A tenant that gives shorter deadlines than most is not taken to come back, and one whose deadlines differ beyond the route's timeout, which
// ends them all, still is.
func TestDeadlinesAreLearntByTenant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admitted := newAdmitted(1, behaviour{after: 10 * time.Millisecond, status: http.StatusOK})
		route := &catalog.Route{Name: "r", Kind: catalog.Safe, Targets: []catalog.RouteTarget{{Service: "s", Weight: 1}}, Timeout: time.Second, Objective: 150 * time.Millisecond, MaxAttempts: 1}
		elapsed := func(tenant string, deadline time.Duration) string {
			admitted.lines.Reset()
			admitted.Forward(t.Context(), route, &forwarding.Call{Request: backend.Request{ID: "q", Tenant: tenant}, Deadline: deadline})
			_, after, _ := strings.Cut(admitted.lines.String(), "elapsed_ms=")
			return strings.Fields(after)[0]
		}
		for turn := range 200 {
			for tenant := range 5 {
				elapsed(fmt.Sprint("long", tenant), 800*time.Millisecond)
			}
			must.Eq(t, "0", elapsed("short", 400*time.Millisecond))
			elapsed("patient", time.Duration(2+turn%7)*time.Second)
		}
		must.Eq(t, "100", elapsed("short", 300*time.Millisecond))
		must.Eq(t, "400", elapsed("long0", 400*time.Millisecond))
		must.Eq(t, "500", elapsed("patient", 500*time.Millisecond))
		must.Eq(t, "0", elapsed("patient", time.Minute))
	})
}

// The rank of a request is that of its tenant, and of its route only without a tenant.
func TestTenantsGoByTheirPriority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admitted := newAdmitted(1, behaviour{after: 10 * time.Millisecond, status: http.StatusOK})
		configuration := &catalog.Configuration{Version: 1, Tenants: []catalog.Tenant{{Name: "low", Priority: 5}, {Name: "high", Priority: 1}}}
		configuration.Index()
		must.True(t, admitted.Catalog.SetConfiguration(configuration))
		grant := admitted.occupy(t)
		var mu sync.Mutex
		var order []string
		var waits sync.WaitGroup
		for _, name := range []string{"low", "high", ""} {
			waits.Go(func() {
				route := &catalog.Route{Kind: catalog.Safe, Targets: []catalog.RouteTarget{{Service: "s", Weight: 1}}, Timeout: time.Second, Priority: 3, MaxAttempts: 1}
				admitted.Forward(t.Context(), route, &forwarding.Call{Request: backend.Request{ID: "q", Tenant: name}})
				mu.Lock()
				defer mu.Unlock()
				order = append(order, fmt.Sprintf("%q", name))
			})
			synctest.Wait()
		}
		grant.Release(admission.Outcome{})
		waits.Wait()
		must.Eq(t, []string{`"high"`, `""`, `"low"`}, order)
	})
}
