package quarantine_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// stubNetwork gives the same answer to each request and to each probe.
type stubNetwork struct {
	response *backend.Response
	err      error
	refuses  bool
	// hangs blocks each request until its context ends.
	hangs  bool
	probes atomic.Int64
}

// Send implements backend.Sender.
func (network *stubNetwork) Send(ctx context.Context, _ *catalog.Replica, _ *backend.Request) (*backend.Response, error) {
	if network.hangs {
		<-ctx.Done()
	}
	return network.response, network.err
}

// Refuses implements quarantine.Prober.
func (network *stubNetwork) Refuses(context.Context, *catalog.Replica) bool {
	network.probes.Add(1)
	time.Sleep(time.Millisecond)
	return network.refuses
}

var (
	errBroken  = errors.Mark(errors.New("connection closed"), backend.ErrBroken)
	errRefused = errors.Mark(backend.ErrConnectionRefused, backend.ErrNotSent)
)

func answerOf(status int, body io.Reader) *backend.Response {
	return &backend.Response{Status: status, Body: io.NopCloser(body)}
}

// fixture is a guard over a stub network.
type fixture struct {
	network *stubNetwork
	guard   *quarantine.Guard
	table   *catalog.Table
	last    int64
}

var target = catalog.Replica{ID: "r1", Service: service}

func newFixture(t *testing.T) *fixture {
	network, table := &stubNetwork{}, catalog.NewTable()
	fixture := &fixture{network: network, table: table, guard: &quarantine.Guard{
		Sender: network, Prober: network, Tracker: quarantine.NewTracker("node"), Catalog: table, Node: "node", Logger: log.New(io.Discard),
		IsDeputy: func(quarantine.Fingerprint) bool { return false },
	}}
	fixture.register(target)
	go fixture.guard.Run(t.Context())
	return fixture
}

func (fixture *fixture) register(list ...catalog.Replica) {
	fixture.last++
	fixture.table.SetReplicas(list, fixture.last)
	synctest.Wait()
}

var requested = &backend.Request{ID: "q1", Method: http.MethodPost, Target: "/book/1", Body: []byte("x")}

// send sends a request and reads its answer.
func (fixture *fixture) send(ctx context.Context) error {
	response, err := fixture.guard.Send(ctx, &target, requested)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func (fixture *fixture) crashes() int {
	return fixture.guard.Tracker.Suspected(quarantine.FingerprintOf(service, requested)).Crashes
}

// Only evidence of a crash may count against a request: not planned exits, answers cut short by a live replica, or
// requests that were never sent.
func TestEvidence(t *testing.T) {
	leavingAfter := func(after time.Duration) context.Context {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(after, cancel)
		return ctx
	}
	leaving := target
	leaving.Draining = true
	for _, check := range []struct {
		name    string
		run     func(*testing.T, *fixture)
		crashes int
	}{
		{"interrupted, connections refused", func(t *testing.T, fixture *fixture) {
			fixture.network.err, fixture.network.refuses = errBroken, true
			_ = fixture.send(t.Context())
		}, 1},
		{"interrupted twice by the same replica", func(t *testing.T, fixture *fixture) {
			fixture.network.err, fixture.network.refuses = errBroken, true
			_ = fixture.send(t.Context())
			_ = fixture.send(t.Context())
		}, 1},
		{"interrupted, connections accepted", func(t *testing.T, fixture *fixture) {
			fixture.network.err = errBroken
			_ = fixture.send(t.Context())
		}, 0},
		{"interrupted, deregistered soon after", func(t *testing.T, fixture *fixture) {
			fixture.network.err = errBroken
			_ = fixture.send(t.Context())
			time.Sleep(4 * time.Second)
			fixture.register()
		}, 1},
		{"interrupted, deregistered long after", func(t *testing.T, fixture *fixture) {
			fixture.network.err = errBroken
			_ = fixture.send(t.Context())
			time.Sleep(10 * time.Second)
			fixture.register()
		}, 0},
		{"interrupted, then drained and deregistered", func(t *testing.T, fixture *fixture) {
			fixture.network.err = errBroken
			_ = fixture.send(t.Context())
			fixture.register(leaving)
			fixture.register()
		}, 0},
		{"interrupted by a draining replica", func(t *testing.T, fixture *fixture) {
			fixture.network.err, fixture.network.refuses = errBroken, true
			fixture.register(leaving)
			_ = fixture.send(t.Context())
		}, 0},
		{"interrupted by a deregistered replica", func(t *testing.T, fixture *fixture) {
			fixture.network.err, fixture.network.refuses = errBroken, true
			fixture.register()
			_ = fixture.send(t.Context())
		}, 0},
		{"interrupted, then answered", func(t *testing.T, fixture *fixture) {
			fixture.network.err, fixture.network.refuses = errBroken, true
			_ = fixture.send(t.Context())
			fixture.network.response, fixture.network.err = answerOf(http.StatusOK, strings.NewReader("whole")), nil
			_ = fixture.send(t.Context())
		}, 0},
		{"not sent", func(t *testing.T, fixture *fixture) {
			fixture.network.err, fixture.network.refuses = errRefused, true
			_ = fixture.send(t.Context())
		}, 0},
		{"caller left, another request is refused", func(t *testing.T, fixture *fixture) {
			fixture.network.err, fixture.network.refuses = errBroken, true
			fixture.network.hangs = true
			_ = fixture.send(leavingAfter(time.Second))
			fixture.network.err, fixture.network.hangs = errRefused, false
			_ = fixture.send(t.Context())
		}, 1},
		{"caller left, no other evidence", func(t *testing.T, fixture *fixture) {
			fixture.network.err, fixture.network.refuses, fixture.network.hangs = errBroken, true, true
			_ = fixture.send(leavingAfter(time.Second))
		}, 0},
		{"caller left just before the crash", func(t *testing.T, fixture *fixture) {
			fixture.network.err, fixture.network.refuses = errBroken, true
			_ = fixture.send(leavingAfter(0))
		}, 1},
		{"truncated answer", func(t *testing.T, fixture *fixture) {
			fixture.network.response, fixture.network.refuses = answerOf(http.StatusOK, io.MultiReader(strings.NewReader("ev"), iotest.ErrReader(io.ErrUnexpectedEOF))), true
			_ = fixture.send(t.Context())
		}, 1},
		{"complete answer", func(t *testing.T, fixture *fixture) {
			fixture.network.response, fixture.network.refuses = answerOf(http.StatusOK, strings.NewReader("whole")), true
			_ = fixture.send(t.Context())
		}, 0},
	} {
		t.Run(check.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(t)
				check.run(t, fixture)
				time.Sleep(time.Second) // longer than the delay before the first probe
				must.Eq(t, check.crashes, fixture.crashes())
			})
		})
	}
}

// A request whose caller has left must run long enough to detect a crash, but not beyond. It ends at once if another
// replica has answered it.
func TestRequestsLinger(t *testing.T) {
	for _, check := range []struct {
		name        string
		leavesAfter time.Duration
		cause       error
		duration    time.Duration
	}{
		{"caller leaves early", 30 * time.Millisecond, nil, 200 * time.Millisecond},
		{"caller leaves late", 400 * time.Millisecond, nil, 400 * time.Millisecond},
		{"answered by another replica", 30 * time.Millisecond, backend.ErrSuperseded, 30 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.network.hangs, fixture.network.err = true, errBroken
			ctx, cancel := context.WithCancelCause(t.Context())
			begun := time.Now()
			time.AfterFunc(check.leavesAfter, func() { cancel(check.cause) })
			_, err := fixture.guard.Send(ctx, &target, requested)
			must.ErrorContains(t, err, "connection")
			must.Eq(t, check.duration, time.Since(begun), must.Sprint(check.name))
		})
	}
}

// Only a complete answer that is not a failure of the replica may clear a request.
func TestAnswersClear(t *testing.T) {
	refusal := answerOf(http.StatusServiceUnavailable, strings.NewReader(""))
	refusal.NotExecuted = true
	for _, check := range []struct {
		name     string
		response *backend.Response
		cleared  bool
	}{
		{"an answer", answerOf(http.StatusOK, strings.NewReader("whole")), true},
		{"client error", answerOf(http.StatusNotFound, strings.NewReader("")), true},
		{"server error", answerOf(http.StatusInternalServerError, strings.NewReader("")), false},
		{"not executed", refusal, false},
		{"truncated answer", answerOf(http.StatusOK, iotest.ErrReader(io.ErrUnexpectedEOF)), false},
	} {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(t)
			fingerprint := quarantine.FingerprintOf(service, requested)
			fixture.guard.Tracker.RecordCrash(fingerprint, "r0", "other", time.Now(), time.Now())
			fixture.network.response = check.response
			_ = fixture.send(t.Context())
			must.Eq(t, check.cleared, fixture.crashes() == 0, must.Sprint(check.name))
		})
	}
}

// A held request counts as not sent and carries a retry delay. Requests with other bodies must still be sent.
func TestHeldRequestIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fingerprint := quarantine.FingerprintOf(service, requested)
		for index, replica := range []string{"r7", "r8"} {
			fixture.guard.HandleNotice(quarantine.Notice{Reporter: "other", Crashes: []quarantine.CrashReport{{
				Fingerprint: fingerprint, CrashEvent: quarantine.CrashEvent{Replica: replica, InterruptedAt: time.Now().Add(time.Duration(index) * time.Second)},
			}}})
		}
		fixture.network.response = answerOf(http.StatusOK, strings.NewReader("whole"))
		err := fixture.send(t.Context())
		must.True(t, errors.Is(err, backend.ErrNotSent))
		must.True(t, backend.IsHeld(err))
		var held *backend.HeldError
		must.True(t, errors.As(err, &held))
		must.Eq(t, holdDuration, held.RetryAfter)
		other := *requested
		other.Body = []byte("y")
		_, err = fixture.guard.Send(t.Context(), &target, &other)
		must.NoError(t, err)
		fixture.guard.HandleNotice(quarantine.Notice{Reporter: "other", Cleared: []quarantine.Fingerprint{fingerprint}})
		must.NoError(t, fixture.send(t.Context()))
	})
}

// A replica that interrupts many requests at once must be probed only once.
func TestReplicaIsProbedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.network.err = errBroken
		for range 20 {
			go fixture.send(t.Context())
		}
		synctest.Wait()
		must.Eq(t, 0, fixture.network.probes.Load(), must.Sprint("no probe before another replica could have answered"))
		time.Sleep(time.Second)
		must.Eq(t, 1, fixture.network.probes.Load())
	})
}

// If a second replica interrupts a request, both must be probed at once. If another replica answers the request, none may
// be probed.
func TestProbesFollowDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.register(target, catalog.Replica{ID: "r2", Service: service})
		fixture.network.err, fixture.network.refuses = errBroken, true
		_ = fixture.send(t.Context())
		time.Sleep(60 * time.Millisecond)
		_, _ = fixture.guard.Send(t.Context(), &catalog.Replica{ID: "r2", Service: service}, requested)
		must.Eq(t, 2, fixture.network.probes.Load())
		must.Eq(t, 2, fixture.crashes())
	})
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.network.err = errBroken
		_ = fixture.send(t.Context())
		fixture.network.response, fixture.network.err = answerOf(http.StatusOK, strings.NewReader("whole")), nil
		must.NoError(t, fixture.send(t.Context()))
		time.Sleep(time.Second)
		must.Eq(t, 0, fixture.network.probes.Load())
	})
}
