package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// chance describes crashes of replicas that no request causes: bursts in which a third of the replicas crash, five times in a row.
type chance struct {
	uptime   time.Duration // of the nodes before the first burst
	replicas int
	work     time.Duration // how long a request takes
}

// waits returns how long each of some callers has waited for an answer recoveryTime after the last crash.
func (chance chance) waits(t *testing.T, seed uint64) (waits []time.Duration) {
	const callers, bursts, crashesInBurst = 12, 3, 5
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(seed, chance.replicas, historyNodes)
		world.work = chance.work
		time.Sleep(chance.uptime)
		stop := make(chan struct{})
		waiting := make([]*persistentCaller, callers)
		for name := range waiting {
			waiting[name] = &persistentCaller{world: world, name: name}
			go waiting[name].run(stop)
		}
		for range bursts {
			for range crashesInBurst {
				for range (chance.replicas + 2) / 3 {
					world.crash(world.anyReplica())
				}
				time.Sleep(400 * time.Millisecond)
			}
			time.Sleep(holdDuration)
		}
		time.Sleep(recoveryTime)
		ended := time.Now()
		close(stop)
		time.Sleep(2*time.Second + 2*chance.work)
		for _, caller := range waiting {
			waits = append(waits, ended.Sub(time.Unix(0, caller.waitingSince.Load())))
		}
		world.close()
		synctest.Wait()
		time.Sleep(time.Minute) // pending timers
	})
	return waits
}

// check expects that no caller has waited since before the last crash.
func (chance chance) check(t *testing.T) {
	t.Helper()
	const seeds = 20
	held, callers := 0, 0
	for seed := range uint64(seeds) {
		for _, waited := range chance.waits(t, seed) {
			callers++
			if waited > recoveryTime {
				held++
			}
		}
	}
	must.Eq(t, 0, held, must.Sprintf("%d of %d callers wait %s after the last crash: %+v", held, callers, recoveryTime, chance))
}

// Guards against short requests of callers that stay refused after replicas crashed by chance.
func TestShortRequestsAreServedAfterChanceCrashes(t *testing.T) {
	for _, uptime := range []time.Duration{justStarted, longRunning} {
		for _, replicas := range []int{3, 9} {
			chance{uptime, replicas, workTime}.check(t)
		}
	}
}

// Guards against long requests of callers that stay refused after replicas crashed by chance.
func TestLongRequestsAreServedAfterChanceCrashes(t *testing.T) {
	for _, uptime := range []time.Duration{justStarted, longRunning} {
		for _, replicas := range []int{3, 9} {
			t.Run(fmt.Sprintf("%d replicas, nodes that run for %s", replicas, uptime), func(t *testing.T) {
				chance{uptime, replicas, 2 * time.Second}.check(t)
			})
		}
	}
}
