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

// scripted is a network with one answer to each request, and a fixed answer to whether connections are refused.
type scripted struct {
	answer  *backend.Answer
	err     error
	refuses bool
	// hangs has requests last until their contexts end.
	hangs  bool
	probes atomic.Int64
}

// Send implements backend.Sender.
func (script *scripted) Send(ctx context.Context, _ *catalog.Replica, _ *backend.Request) (*backend.Answer, error) {
	if script.hangs {
		<-ctx.Done()
	}
	return script.answer, script.err
}

// Refuses implements quarantine.Prober.
func (script *scripted) Refuses(context.Context, *catalog.Replica) bool {
	script.probes.Add(1)
	time.Sleep(time.Millisecond)
	return script.refuses
}

var (
	errBroken  = errors.Mark(errors.New("end of the connection"), backend.ErrBroken)
	errRefused = errors.Mark(backend.ErrRefused, backend.ErrNotSent)
)

func answerOf(status int, body io.Reader) *backend.Answer {
	return &backend.Answer{Status: status, Body: io.NopCloser(body)}
}

// fixture is one guard over a script.
type fixture struct {
	script *scripted
	guard  *quarantine.Guard
	table  *catalog.Table
	last   int64
}

var asked = catalog.Replica{ID: "r1", Service: service}

func newFixture(t *testing.T) *fixture {
	script, table := &scripted{}, catalog.NewTable()
	fixture := &fixture{script: script, table: table, guard: &quarantine.Guard{
		Sender: script, Prober: script, Book: quarantine.NewBook("node", time.Now()), Catalog: table, Node: "node", Logger: log.New(io.Discard),
		IsDeputy: func(quarantine.Fingerprint) bool { return false },
	}}
	fixture.register(asked)
	go fixture.guard.Run(t.Context())
	return fixture
}

// register replaces the list of replicas.
func (fixture *fixture) register(list ...catalog.Replica) {
	fixture.last++
	fixture.table.SetReplicas(list, fixture.last)
	synctest.Wait()
}

var requested = &backend.Request{ID: "q1", Method: http.MethodPost, Target: "/book/1", Body: []byte("x")}

// send sends a request and reads the answer.
func (fixture *fixture) send(ctx context.Context) error {
	answer, err := fixture.guard.Send(ctx, &asked, requested)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

func (fixture *fixture) crashes() int {
	return fixture.guard.Book.Suspected(quarantine.FingerprintOf(service, requested)).Crashes
}

// What counts as the end of a replica under a request, and what does not.
func TestEvidence(t *testing.T) {
	left := func(after time.Duration) context.Context {
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(after, cancel)
		return ctx
	}
	leaving := asked
	leaving.Draining = true
	for _, check := range []struct {
		name    string
		play    func(*testing.T, *fixture)
		crashes int
	}{
		{"broken off, and nobody listens", func(t *testing.T, fixture *fixture) {
			fixture.script.err, fixture.script.refuses = errBroken, true
			_ = fixture.send(t.Context())
		}, 1},
		{"told of twice", func(t *testing.T, fixture *fixture) {
			fixture.script.err, fixture.script.refuses = errBroken, true
			_ = fixture.send(t.Context())
			_ = fixture.send(t.Context())
		}, 1},
		{"broken off, and somebody listens", func(t *testing.T, fixture *fixture) {
			fixture.script.err = errBroken
			_ = fixture.send(t.Context())
		}, 0},
		{"broken off, and gone from the list soon after", func(t *testing.T, fixture *fixture) {
			fixture.script.err = errBroken
			_ = fixture.send(t.Context())
			time.Sleep(4 * time.Second)
			fixture.register()
		}, 1},
		{"broken off, and gone from the list long after", func(t *testing.T, fixture *fixture) {
			fixture.script.err = errBroken
			_ = fixture.send(t.Context())
			time.Sleep(10 * time.Second)
			fixture.register()
		}, 0},
		{"broken off, said to leave, and gone", func(t *testing.T, fixture *fixture) {
			fixture.script.err = errBroken
			_ = fixture.send(t.Context())
			fixture.register(leaving)
			fixture.register()
		}, 0},
		{"broken off by a replica that leaves", func(t *testing.T, fixture *fixture) {
			fixture.script.err, fixture.script.refuses = errBroken, true
			fixture.register(leaving)
			_ = fixture.send(t.Context())
		}, 0},
		{"broken off by a replica whose entry is gone", func(t *testing.T, fixture *fixture) {
			fixture.script.err, fixture.script.refuses = errBroken, true
			fixture.register()
			_ = fixture.send(t.Context())
		}, 0},
		{"broken off, and answered elsewhere soon after", func(t *testing.T, fixture *fixture) {
			fixture.script.err, fixture.script.refuses = errBroken, true
			_ = fixture.send(t.Context())
			fixture.script.answer, fixture.script.err = answerOf(http.StatusOK, strings.NewReader("whole")), nil
			_ = fixture.send(t.Context())
		}, 0},
		{"not sent", func(t *testing.T, fixture *fixture) {
			fixture.script.err, fixture.script.refuses = errRefused, true
			_ = fixture.send(t.Context())
		}, 0},
		{"the caller left, and another request is refused", func(t *testing.T, fixture *fixture) {
			fixture.script.err, fixture.script.refuses = errBroken, true
			fixture.script.hangs = true
			_ = fixture.send(left(time.Second))
			fixture.script.err, fixture.script.hangs = errRefused, false
			_ = fixture.send(t.Context())
		}, 1},
		{"the caller left, and nothing else is known", func(t *testing.T, fixture *fixture) {
			fixture.script.err, fixture.script.refuses, fixture.script.hangs = errBroken, true, true
			_ = fixture.send(left(time.Second))
		}, 0},
		{"the caller left just before the replica ended", func(t *testing.T, fixture *fixture) {
			fixture.script.err, fixture.script.refuses = errBroken, true
			_ = fixture.send(left(0))
		}, 1},
		{"an answer that breaks off", func(t *testing.T, fixture *fixture) {
			fixture.script.answer, fixture.script.refuses = answerOf(http.StatusOK, io.MultiReader(strings.NewReader("ev"), iotest.ErrReader(io.ErrUnexpectedEOF))), true
			_ = fixture.send(t.Context())
		}, 1},
		{"an answer that comes to its end", func(t *testing.T, fixture *fixture) {
			fixture.script.answer, fixture.script.refuses = answerOf(http.StatusOK, strings.NewReader("whole")), true
			_ = fixture.send(t.Context())
		}, 0},
	} {
		t.Run(check.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(t)
				check.play(t, fixture)
				time.Sleep(time.Second) // a request that broke off is not looked at before another replica could have answered it
				must.Eq(t, check.crashes, fixture.crashes())
			})
		})
	}
}

// A request whose caller has left goes on until it would have ended its replica, and not half a second longer; one that another replica has
// answered ends at once, as does one of a job.
func TestRequestsLinger(t *testing.T) {
	for _, check := range []struct {
		name      string
		left      time.Duration
		cause     error
		exclusive bool
		ended     time.Duration
	}{
		{"a caller that leaves soon", 30 * time.Millisecond, nil, false, 200 * time.Millisecond},
		{"a caller that leaves later", 400 * time.Millisecond, nil, false, 400 * time.Millisecond},
		{"answered by another replica", 30 * time.Millisecond, backend.ErrUnneeded, false, 30 * time.Millisecond},
		{"of a job", 30 * time.Millisecond, nil, true, 30 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.script.hangs, fixture.script.err = true, errBroken
			ctx, cancel := context.WithCancelCause(t.Context())
			begun := time.Now()
			time.AfterFunc(check.left, func() { cancel(check.cause) })
			request := *requested
			request.Exclusive = check.exclusive
			_, err := fixture.guard.Send(ctx, &asked, &request)
			must.ErrorContains(t, err, "connection")
			must.Eq(t, check.ended, time.Since(begun), must.Sprint(check.name))
		})
	}
}

// What clears a request, and what does not.
func TestAnswersClear(t *testing.T) {
	refusal := answerOf(http.StatusServiceUnavailable, strings.NewReader(""))
	refusal.NotExecuted = true
	for _, check := range []struct {
		name    string
		answer  *backend.Answer
		cleared bool
	}{
		{"an answer", answerOf(http.StatusOK, strings.NewReader("whole")), true},
		{"a failure of the caller's", answerOf(http.StatusNotFound, strings.NewReader("")), true},
		{"a failure of the replica", answerOf(http.StatusInternalServerError, strings.NewReader("")), false},
		{"a refusal", refusal, false},
		{"an answer that breaks off", answerOf(http.StatusOK, iotest.ErrReader(io.ErrUnexpectedEOF)), false},
	} {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(t)
			fingerprint := quarantine.FingerprintOf(service, requested)
			fixture.guard.Book.Note(fingerprint, "r0", "other", time.Now(), time.Now())
			fixture.script.answer = check.answer
			_ = fixture.send(t.Context())
			must.Eq(t, check.cleared, fixture.crashes() == 0, must.Sprint(check.name))
		})
	}
}

// A request that is held counts as not sent, and says when it may come again. Requests of other bodies are sent.
func TestHeldRequestIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fingerprint := quarantine.FingerprintOf(service, requested)
		for index, replica := range []string{"r7", "r8"} {
			fixture.guard.Heard(quarantine.Notice{Reporter: "other", Crashes: []quarantine.Crash{{
				Fingerprint: fingerprint, End: quarantine.End{Replica: replica, Broke: time.Now().Add(time.Duration(index) * time.Second)},
			}}})
		}
		fixture.script.answer = answerOf(http.StatusOK, strings.NewReader("whole"))
		err := fixture.send(t.Context())
		must.True(t, errors.Is(err, backend.ErrNotSent))
		must.True(t, backend.IsHeld(err))
		var held *backend.HeldError
		must.True(t, errors.As(err, &held))
		must.Eq(t, heldFor, held.After)
		other := *requested
		other.Body = []byte("y")
		_, err = fixture.guard.Send(t.Context(), &asked, &other)
		must.NoError(t, err)
		fixture.guard.Heard(quarantine.Notice{Reporter: "other", Cleared: []quarantine.Fingerprint{fingerprint}})
		must.NoError(t, fixture.send(t.Context()))
	})
}

// A replica that breaks many requests off at a time is asked once.
func TestReplicaIsProbedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.script.err = errBroken
		for range 20 {
			go fixture.send(t.Context())
		}
		synctest.Wait()
		must.Eq(t, 0, fixture.script.probes.Load(), must.Sprint("before another replica could have answered"))
		time.Sleep(time.Second)
		must.Eq(t, 1, fixture.script.probes.Load())
	})
}

// A request that a second replica breaks off has both asked at once; one that another replica answers has none asked.
func TestProbesFollowDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.register(asked, catalog.Replica{ID: "r2", Service: service})
		fixture.script.err, fixture.script.refuses = errBroken, true
		_ = fixture.send(t.Context())
		time.Sleep(60 * time.Millisecond)
		_, _ = fixture.guard.Send(t.Context(), &catalog.Replica{ID: "r2", Service: service}, requested)
		must.Eq(t, 2, fixture.script.probes.Load())
		must.Eq(t, 2, fixture.crashes())
	})
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(t)
		fixture.script.err = errBroken
		_ = fixture.send(t.Context())
		fixture.script.answer, fixture.script.err = answerOf(http.StatusOK, strings.NewReader("whole")), nil
		must.NoError(t, fixture.send(t.Context()))
		time.Sleep(time.Second)
		must.Eq(t, 0, fixture.script.probes.Load())
	})
}
