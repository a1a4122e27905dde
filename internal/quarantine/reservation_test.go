package quarantine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// interruption describes requests that three crashes of replicas interrupt together.
type interruption struct {
	requests int
	// departed is how many of the callers never ask again.
	departed int
}

// sendOnce sends a request to one replica.
func (node *node) sendOnce(target *catalog.Replica, body string) error {
	ctx, cancel := context.WithTimeout(node.ctx, time.Second+node.world.work)
	defer cancel()
	response, err := node.guard.Send(ctx, target, callOf(body))
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
	}
	return err
}

// interrupt crashes a replica while it runs the requests of all callers.
func (interruption interruption) interrupt(world *world) {
	target := world.pick("")
	for number := range interruption.requests {
		go func() { _ = world.nodes[number%historyNodes].sendOnce(target, bodyOf(number)) }()
	}
	time.Sleep(workTime / 2)
	world.crash(target.ID)
}

// recover returns how long after the third crash each caller that asks again is served, up to a limit.
func (interruption interruption) recover(world *world, limit time.Duration) []time.Duration {
	const askInterval = 250 * time.Millisecond
	begun := time.Now()
	served := make([]time.Duration, interruption.requests-interruption.departed)
	for index := range served {
		served[index] = limit
		go func() {
			for ask := index; time.Since(begun) < limit; ask++ {
				node := world.nodes[ask%historyNodes]
				if target := world.pick(""); target != nil && node.sendOnce(target, bodyOf(index)) == nil {
					served[index] = time.Since(begun)
					return
				}
				time.Sleep(askInterval)
			}
		}()
	}
	time.Sleep(limit)
	synctest.Wait()
	return served
}

// Guards against requests that wait for others in quarantine whose callers have left: each costs the requests behind it a turn.
func TestDepartedCallersHoldUpNobody(t *testing.T) {
	for _, interruption := range []interruption{{16, 0}, {8, 4}, {16, 8}, {16, 15}, {32, 16}, {256, 240}} {
		t.Run(fmt.Sprintf("%d of %d departed", interruption.departed, interruption.requests), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld(5, 6, historyNodes)
				time.Sleep(longRunning)
				for crash := range 3 {
					if crash > 0 {
						time.Sleep(5 * time.Second)
					}
					interruption.interrupt(world)
				}
				served := interruption.recover(world, 3*recoveryTime)
				world.close()
				synctest.Wait()
				time.Sleep(time.Minute) // pending timers
				first, last := served[0], served[0]
				for _, after := range served {
					first, last = min(first, after), max(last, after)
				}
				t.Logf("served %s to %s after the third crash", first, last)
				must.LessEq(t, recoveryTime, last)
			})
		})
	}
}

// newPeers returns the trackers of two nodes that know of two harmless requests which the same three crashes interrupted, beside
// a request that had crashed another replica, in the order in which they are tried, and the time from which their reporter may
// try them.
func newPeers(t *testing.T) (trackers [2]*quarantine.Tracker, first, second quarantine.Fingerprint, due time.Time) {
	now := time.Now()
	first, second = fingerprintOf("first"), fingerprintOf("second")
	if first.String() < second.String() {
		first, second = second, first
	}
	for index := range trackers {
		trackers[index] = quarantine.NewTracker(fmt.Sprint("node-", index))
		recordCrashes(trackers[index], culprit, "other", now, "r0", "r1", "r2", "r3")
		for crash, replica := range []string{"r1", "r2", "r3"} {
			at := now.Add(time.Duration(crash-2) * time.Second)
			trackers[index].RecordCrash(first, replica, "node-0", at, at)
			trackers[index].RecordCrash(second, replica, "node-1", at, at)
		}
	}
	return trackers, first, second, now.Add(holdDuration)
}

// Guards against trials of two nodes that overlap at one replica, and against turns that nobody uses.
func TestReservationsOrderTrials(t *testing.T) {
	const settled, reservationTTL = 500 * time.Millisecond, 3 * time.Second
	tell := func(from quarantine.Decision, to *quarantine.Tracker, now time.Time) {
		to.RecordReservation(from.Reservation, now)
	}
	for _, check := range []struct {
		name string
		run  func(trackers [2]*quarantine.Tracker, first, second quarantine.Fingerprint, due time.Time) (got bool)
		want bool
	}{
		{"the first request goes first", func(trackers [2]*quarantine.Tracker, first, _ quarantine.Fingerprint, due time.Time) bool {
			return trackers[0].Admit(first, quarantine.Claim{}, due).Trial
		}, true},
		{"the second waits until its reservation is settled", func(trackers [2]*quarantine.Tracker, _, second quarantine.Fingerprint, due time.Time) bool {
			return trackers[1].Admit(second, quarantine.Claim{}, due).Trial
		}, false},
		{"the second goes if nobody asks for the first", func(trackers [2]*quarantine.Tracker, _, second quarantine.Fingerprint, due time.Time) bool {
			trackers[1].Admit(second, quarantine.Claim{}, due)
			return trackers[1].Admit(second, quarantine.Claim{}, due.Add(settled)).Trial
		}, true},
		{"the second waits while the first is asked for", func(trackers [2]*quarantine.Tracker, first, second quarantine.Fingerprint, due time.Time) bool {
			trackers[1].Admit(second, quarantine.Claim{}, due)
			trackers[1].RecordReservation(quarantine.Reservation{Fingerprint: first, Duration: time.Second}, due)
			return trackers[1].Admit(second, quarantine.Claim{}, due.Add(settled)).Trial
		}, false},
		{"the second goes once the first is asked for no more", func(trackers [2]*quarantine.Tracker, first, second quarantine.Fingerprint, due time.Time) bool {
			trackers[1].RecordReservation(quarantine.Reservation{Fingerprint: first, Duration: time.Second}, due)
			trackers[1].Admit(second, quarantine.Claim{}, due)
			return trackers[1].Admit(second, quarantine.Claim{}, due.Add(time.Second)).Trial
		}, true},
		{"the first waits while the second is tried", func(trackers [2]*quarantine.Tracker, first, second quarantine.Fingerprint, due time.Time) bool {
			trackers[1].Admit(second, quarantine.Claim{}, due)
			tell(trackers[1].Admit(second, quarantine.Claim{}, due.Add(settled)), trackers[0], due.Add(settled))
			return trackers[0].Admit(first, quarantine.Claim{}, due.Add(settled)).Trial
		}, false},
		{"the first settles if the second is reserved elsewhere", func(trackers [2]*quarantine.Tracker, first, second quarantine.Fingerprint, due time.Time) bool {
			tell(trackers[1].Admit(second, quarantine.Claim{}, due), trackers[0], due)
			return trackers[0].Admit(first, quarantine.Claim{}, due).Trial
		}, false},
		{"a trial that was not run makes room", func(trackers [2]*quarantine.Tracker, first, second quarantine.Fingerprint, due time.Time) bool {
			trackers[1].Admit(second, quarantine.Claim{}, due)
			tell(trackers[0].Admit(first, quarantine.Claim{}, due), trackers[1], due)
			trackers[1].RecordReservation(trackers[0].EndTrial(first), due)
			return trackers[1].Admit(second, quarantine.Claim{}, due.Add(settled)).Trial
		}, true},
		{"a trial that was not run makes room at its node", func(trackers [2]*quarantine.Tracker, first, second quarantine.Fingerprint, due time.Time) bool {
			due = due.Add(holdDuration) // from then on the deputy may try the requests of other reporters
			trackers[0].Admit(second, quarantine.Claim{Deputy: true}, due)
			trackers[0].Admit(first, quarantine.Claim{}, due)
			trackers[0].EndTrial(first)
			return trackers[0].Admit(second, quarantine.Claim{Deputy: true}, due.Add(reservationTTL)).Trial
		}, true},
		{"a reporter of an earlier build keeps its turn", func(trackers [2]*quarantine.Tracker, first, second quarantine.Fingerprint, due time.Time) bool {
			trackers[1].SetUnreserved(first)
			trackers[1].Admit(second, quarantine.Claim{}, due)
			return trackers[1].Admit(second, quarantine.Claim{}, due.Add(settled)).Trial
		}, false},
		{"no turn is longer than a trial of the reporter and of the deputy", func(trackers [2]*quarantine.Tracker, first, second quarantine.Fingerprint, due time.Time) bool {
			trackers[1].SetUnreserved(first)
			return trackers[1].Admit(second, quarantine.Claim{}, due.Add(2*holdDuration)).Trial
		}, true},
	} {
		trackers, first, second, due := newPeers(t)
		must.Eq(t, check.want, check.run(trackers, first, second, due), must.Sprint(check.name))
	}
}

// Guards against reservations that no other node learns of, and turns that a trial keeps which ended without a crash or an answer to the request.
func TestTrialWithoutResultMakesRoom(t *testing.T) {
	for _, check := range []struct {
		name     string
		response *backend.Response
		err      error
		ended    bool
	}{
		{"not sent", nil, errRefused, true},
		{"not run", &backend.Response{Status: http.StatusServiceUnavailable, NotExecuted: true, Body: io.NopCloser(strings.NewReader(""))}, nil, true},
		{"failed", answerOf(http.StatusInternalServerError, strings.NewReader("")), nil, true},
		{"broken off", nil, errBroken, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			fixture, recorder := newFixture(t), &recorder{}
			fixture.guard.Broadcaster = recorder
			fingerprint, other := quarantine.FingerprintOf(service, requested), fingerprintOf("other")
			for index, replica := range []string{"r7", "r8", "r9"} {
				at := time.Now().Add(time.Duration(index-2) * time.Second)
				fixture.guard.Tracker.RecordCrash(fingerprint, replica, "node", at, at)
				fixture.guard.Tracker.RecordCrash(other, replica, "node", at, at)
			}
			fixture.network.response, fixture.network.err = check.response, check.err
			recordCrashes(fixture.guard.Tracker, culprit, "node", time.Now(), "r6", "r7", "r8", "r9")
			time.Sleep(holdDuration)
			for range 3 { // the first ones reserve
				if response, err := fixture.guard.Send(t.Context(), &target, requested); err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
				}
				time.Sleep(300 * time.Millisecond)
			}
			told, ended := false, false
			for _, notice := range recorder.take() {
				for _, reservation := range notice.Reservations {
					told = told || (reservation.Fingerprint == fingerprint && reservation.Duration > 0)
					ended = ended || (reservation.Running && reservation.Duration == 0)
				}
			}
			must.True(t, told, must.Sprint(check.name))
			must.Eq(t, check.ended, ended, must.Sprint(check.name))
		})
	}
}

// persistentCaller sends requests one after the other, each until it is answered, and asks the next node each time.
type persistentCaller struct {
	world *world
	name  int
	// departure is when it leaves; zero for never.
	departure time.Time
	// waitingSince is when it first sent the request that is not answered yet, in Unix nanoseconds.
	waitingSince atomic.Int64
}

func (caller *persistentCaller) run(stop <-chan struct{}) {
	const askInterval, requestInterval = 250 * time.Millisecond, 100 * time.Millisecond
	for number := 0; ; number++ {
		body := fmt.Sprintf("caller %d request %d", caller.name, number)
		caller.waitingSince.Store(time.Now().UnixNano())
		for ask := caller.name; !caller.sent(body, ask); ask++ {
			select {
			case <-stop:
				return
			case <-time.After(askInterval):
			}
			if !caller.departure.IsZero() && time.Now().After(caller.departure) {
				return
			}
		}
		select {
		case <-stop:
			return
		case <-time.After(requestInterval):
		}
	}
}

// sent sends a request by one of the running nodes, if there are any.
func (caller *persistentCaller) sent(body string, ask int) bool {
	target := caller.world.pick("")
	running := caller.world.running()
	if target == nil || len(running) == 0 {
		return false
	}
	return running[ask%len(running)].sendOnce(target, body) == nil
}

// Guards against harmless requests that stay held, and further runs of the request that crashes replicas, whichever
// callers leave and whatever else fails meanwhile.
func TestDrawnHistoriesOfDepartures(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		drawnHistory := history{
			seed: rapid.Uint64().Draw(drawn, "seed"),
			faults: rapid.SliceOfN(rapid.SampledFrom([]string{
				noFault, noFault, noFault, crashReplica, crashAll, resetReplica, drainReplica, killNode, loseResponses, lossyLinks,
			}), 3, 6).Draw(drawn, "faults"),
			callerTimeout: time.Second,
			replicas:      rapid.IntRange(2, 6).Draw(drawn, "replicas"),
			uptime:        longRunning,
		}
		drawnHistory.runWithCallers(t, rapid.IntRange(4, 24).Draw(drawn, "callers"))
	})
}

// runWithCallers runs a history beside persistent callers, every second of which leaves, and checks that those who stay wait
// no longer than recoveryTime.
func (history *history) runWithCallers(t *testing.T, callers int) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(history.seed, history.replicas, historyNodes)
		time.Sleep(history.uptime)
		stop := make(chan struct{})
		go world.keepCalling(stop, 130*time.Millisecond, crashingBody, history.callerTimeout)
		var staying []*persistentCaller
		for name := range callers {
			caller := &persistentCaller{world: world, name: name}
			if name%2 == 0 {
				caller.departure = time.Now().Add(time.Duration(200*name) * time.Millisecond)
			} else {
				staying = append(staying, caller)
			}
			go caller.run(stop)
		}
		for index, fault := range history.faults {
			world.injectFault(fault, index)
		}
		world.store.SetFaults(memstore.Faults{})
		time.Sleep(recoveryTime)
		ended := time.Now()
		close(stop)
		time.Sleep(2 * time.Second)
		late, crashes := world.late()
		world.close()
		synctest.Wait()
		time.Sleep(time.Minute) // pending timers
		must.LessEq(t, 3, late, must.Sprintf("%+v, %d callers: %d crashes", history, callers, crashes))
		for _, caller := range staying {
			waited := ended.Sub(time.Unix(0, caller.waitingSince.Load()))
			must.Less(t, recoveryTime, waited, must.Sprintf("%+v, %d callers: caller %d", history, callers, caller.name))
		}
	})
}
