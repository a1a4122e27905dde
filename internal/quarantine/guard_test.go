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
	probes  atomic.Int64
}

// Send implements backend.Sender.
func (script *scripted) Send(context.Context, *catalog.Replica, *backend.Request) (*backend.Answer, error) {
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

// bench is one guard over a script.
type bench struct {
	script *scripted
	guard  *quarantine.Guard
	table  *catalog.Table
	last   int64
}

var asked = catalog.Replica{ID: "r1", Service: service}

func newBench(t *testing.T) *bench {
	script, table := &scripted{}, catalog.NewTable()
	bench := &bench{script: script, table: table, guard: &quarantine.Guard{
		Sender: script, Prober: script, Book: quarantine.NewBook("node"), Catalog: table, Node: "node", Logger: log.New(io.Discard),
		IsDeputy: func(quarantine.Fingerprint) bool { return false },
	}}
	bench.register(asked)
	go bench.guard.Run(t.Context())
	return bench
}

// register replaces the list of replicas.
func (bench *bench) register(list ...catalog.Replica) {
	bench.last++
	bench.table.SetReplicas(list, bench.last)
	synctest.Wait()
}

var requested = &backend.Request{ID: "q1", Method: http.MethodPost, Target: "/book/1", Body: []byte("x")}

// send sends a request and reads the answer.
func (bench *bench) send(ctx context.Context) error {
	answer, err := bench.guard.Send(ctx, &asked, requested)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, answer.Body)
	return err
}

func (bench *bench) crashes() int {
	return bench.guard.Book.Suspected(quarantine.FingerprintOf(service, requested)).Crashes
}

// What counts as the end of a replica under a request, and what does not.
func TestEvidence(t *testing.T) {
	left := func() context.Context {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		return ctx
	}
	leaving := asked
	leaving.Draining = true
	for _, check := range []struct {
		name    string
		play    func(*bench)
		crashes int
	}{
		{"broken off, and nobody listens", func(bench *bench) {
			bench.script.err, bench.script.refuses = errBroken, true
			_ = bench.send(t.Context())
		}, 1},
		{"told of twice", func(bench *bench) {
			bench.script.err, bench.script.refuses = errBroken, true
			_ = bench.send(t.Context())
			_ = bench.send(t.Context())
		}, 1},
		{"broken off, and somebody listens", func(bench *bench) {
			bench.script.err = errBroken
			_ = bench.send(t.Context())
		}, 0},
		{"broken off, and gone from the list soon after", func(bench *bench) {
			bench.script.err = errBroken
			_ = bench.send(t.Context())
			time.Sleep(4 * time.Second)
			bench.register()
		}, 1},
		{"broken off, and gone from the list long after", func(bench *bench) {
			bench.script.err = errBroken
			_ = bench.send(t.Context())
			time.Sleep(10 * time.Second)
			bench.register()
		}, 0},
		{"broken off, said to leave, and gone", func(bench *bench) {
			bench.script.err = errBroken
			_ = bench.send(t.Context())
			bench.register(leaving)
			bench.register()
		}, 0},
		{"broken off by a replica that leaves", func(bench *bench) {
			bench.script.err, bench.script.refuses = errBroken, true
			bench.register(leaving)
			_ = bench.send(t.Context())
		}, 0},
		{"broken off by a replica whose entry is gone", func(bench *bench) {
			bench.script.err, bench.script.refuses = errBroken, true
			bench.register()
			_ = bench.send(t.Context())
		}, 0},
		{"not sent", func(bench *bench) {
			bench.script.err, bench.script.refuses = errRefused, true
			_ = bench.send(t.Context())
		}, 0},
		{"the caller left, and another request is refused", func(bench *bench) {
			bench.script.err, bench.script.refuses = errBroken, true
			_ = bench.send(left())
			bench.script.err = errRefused
			_ = bench.send(t.Context())
		}, 1},
		{"the caller left, and nothing else is known", func(bench *bench) {
			bench.script.err, bench.script.refuses = errBroken, true
			_ = bench.send(left())
		}, 0},
		{"an answer that breaks off", func(bench *bench) {
			bench.script.answer, bench.script.refuses = answerOf(http.StatusOK, io.MultiReader(strings.NewReader("ev"), iotest.ErrReader(io.ErrUnexpectedEOF))), true
			_ = bench.send(t.Context())
		}, 1},
		{"an answer that comes to its end", func(bench *bench) {
			bench.script.answer, bench.script.refuses = answerOf(http.StatusOK, strings.NewReader("whole")), true
			_ = bench.send(t.Context())
		}, 0},
	} {
		t.Run(check.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				bench := newBench(t)
				check.play(bench)
				synctest.Wait()
				must.Eq(t, check.crashes, bench.crashes())
			})
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
			bench := newBench(t)
			fingerprint := quarantine.FingerprintOf(service, requested)
			bench.guard.Book.Note(fingerprint, "r0", "other", time.Now(), time.Now())
			bench.script.answer = check.answer
			_ = bench.send(t.Context())
			must.Eq(t, check.cleared, bench.crashes() == 0, must.Sprint(check.name))
		})
	}
}

// A request that is held counts as not sent, and says when it may come again. Requests of other bodies are sent.
func TestHeldRequestIsNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		fingerprint := quarantine.FingerprintOf(service, requested)
		for index, replica := range []string{"r7", "r8"} {
			bench.guard.Heard(quarantine.Suspicions{Reporter: "other", Crashes: []quarantine.Crash{{
				Fingerprint: fingerprint, Replica: replica, Broke: time.Now().Add(time.Duration(index) * time.Second),
			}}})
		}
		bench.script.answer = answerOf(http.StatusOK, strings.NewReader("whole"))
		err := bench.send(t.Context())
		must.True(t, errors.Is(err, backend.ErrNotSent))
		must.True(t, backend.IsHeld(err))
		var held *backend.HeldError
		must.True(t, errors.As(err, &held))
		must.Eq(t, heldFor, held.After)
		other := *requested
		other.Body = []byte("y")
		_, err = bench.guard.Send(t.Context(), &asked, &other)
		must.NoError(t, err)
		bench.guard.Heard(quarantine.Suspicions{Reporter: "other", Cleared: []quarantine.Fingerprint{fingerprint}})
		must.NoError(t, bench.send(t.Context()))
	})
}

// A replica that breaks many requests off at a time is asked once.
func TestReplicaIsProbedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bench := newBench(t)
		bench.script.err = errBroken
		for range 20 {
			go bench.send(t.Context())
		}
		synctest.Wait()
		time.Sleep(50 * time.Millisecond)
		must.Eq(t, 1, bench.script.probes.Load())
		_ = bench.send(t.Context())
		must.Eq(t, 1, bench.script.probes.Load())
		time.Sleep(time.Second)
		_ = bench.send(t.Context())
		must.Eq(t, 2, bench.script.probes.Load())
	})
}
