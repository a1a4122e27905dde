package quarantine_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// Faults of a history.
const (
	noFault       = "no fault"
	crashReplica  = "a replica crashes"
	crashAll      = "all replicas crash at once"
	resetReplica  = "a replica interrupts its requests"
	drainReplica  = "a replica is drained"
	killNode      = "a node is killed"
	killAll       = "all nodes are killed"
	storeDown     = "the store is down"
	loseResponses = "the store loses responses"
	compact       = "the store compacts its history"
	lossyLinks    = "datagrams are lost"
)

const (
	historyNodes = 4
	// recoveryTime is how long after the last fault a harmless request must be served again. It covers the delay before
	// its next trial and the restart of replicas.
	recoveryTime = 40 * time.Second
)

// Uptimes of nodes at the start of a history: just long enough for the bound on late runs to apply to them, or long enough
// for them to know of all earlier crashes.
const (
	justStarted = undisturbedTime + time.Second
	longRunning = 11 * time.Minute
)

// history describes a simulation run: a sequence of faults, and the timeout of the callers whose request crashes replicas.
type history struct {
	seed          uint64
	faults        []string
	callerTimeout time.Duration
	replicas      int
	// uptime is how long the nodes have been running before the first fault.
	uptime time.Duration
}

// Under any sequence of faults, a request that crashes replicas must reach few more after three crashes, and no other
// request may stay refused because of it.
func TestDrawnHistoriesOfEndingReplicas(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		drawnHistory := history{
			seed: rapid.Uint64().Draw(drawn, "seed"),
			faults: rapid.SliceOfN(rapid.SampledFrom([]string{
				noFault, noFault, crashReplica, crashAll, resetReplica, drainReplica, killNode, killAll, storeDown, loseResponses, compact, lossyLinks,
			}), 3, 12).Draw(drawn, "faults"),
			callerTimeout: rapid.SampledFrom([]time.Duration{time.Second, crashDelay / 2}).Draw(drawn, "caller timeout"),
			replicas:      rapid.IntRange(2, 9).Draw(drawn, "replicas"),
			uptime:        rapid.SampledFrom([]time.Duration{justStarted, longRunning}).Draw(drawn, "uptime"),
		}
		drawnHistory.run(t)
	})
}

// run simulates a history and checks its outcome.
func (history *history) run(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld(history.seed, history.replicas, historyNodes)
		time.Sleep(history.uptime)
		stop := make(chan struct{})
		go world.keepCalling(stop, 130*time.Millisecond, crashingBody, history.callerTimeout)
		go world.keepCalling(stop, 40*time.Millisecond, "usual", time.Second)
		for index, fault := range history.faults {
			world.injectFault(fault, index)
		}
		world.store.SetFaults(memstore.Faults{})
		time.Sleep(recoveryTime)
		close(stop)
		time.Sleep(2 * time.Second)
		late, crashes := world.late()
		must.LessEq(t, 3, late, must.Sprintf("%+v: %d runs later than %s after the third crash, %d crashes", history, late, undisturbedTime, crashes))
		for _, node := range world.running() {
			must.NoError(t, node.call("usual", time.Second), must.Sprintf("%+v: harmless request", history))
			must.NoError(t, node.call(fmt.Sprint("new at ", node.name), time.Second), must.Sprintf("%+v: new request", history))
		}
		world.close()
		synctest.Wait()
		time.Sleep(time.Minute) // pending timers
	})
}

// keepCalling sends a request at a fixed interval, to each node in turn.
func (world *world) keepCalling(stop <-chan struct{}, interval time.Duration, body string, timeout time.Duration) {
	for call := 0; ; call++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		if nodes := world.running(); len(nodes) > 0 {
			go nodes[call%len(nodes)].call(body, timeout)
		}
	}
}

// injectFault causes a fault, and waits for a short time.
func (world *world) injectFault(fault string, index int) {
	switch fault {
	case crashReplica:
		world.crash(world.anyReplica())
	case crashAll:
		for replica := range world.table.Replicas().All().Each() {
			world.crash(replica.ID)
		}
	case resetReplica:
		world.reset(world.anyReplica())
	case drainReplica:
		world.drain(world.anyReplica())
	case killNode:
		world.kill(index % historyNodes)
	case killAll:
		for node := range historyNodes {
			world.kill(node)
		}
	case storeDown:
		world.disturb(2 * time.Second)
		world.store.SetFaults(memstore.Faults{Down: true})
		time.Sleep(2 * time.Second)
		world.store.SetFaults(memstore.Faults{})
	case loseResponses:
		world.disturb(0)
		world.store.SetFaults(memstore.Faults{LoseResponses: 2, CommitDelay: time.Second})
	case compact:
		world.store.Compact()
	case lossyLinks:
		world.disturb(time.Second)
		world.setLossy(true)
		time.Sleep(time.Second)
		world.setLossy(false)
	}
	time.Sleep(time.Duration(300+(index*370)%900) * time.Millisecond)
}

func (world *world) setLossy(lossy bool) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.lossy = lossy
}

// Histories that have failed before must pass.
func TestFailedHistories(t *testing.T) {
	for _, failed := range []history{
		// Crashes whose callers had left were detected only when registrations expired, and all nodes tried a held request
		// again.
		{60, []string{loseResponses, crashReplica, killNode, drainReplica, killNode, noFault, compact, noFault, drainReplica, noFault, killAll, crashAll}, crashDelay / 2, 2, justStarted},
		{60, []string{loseResponses, killNode, noFault}, crashDelay / 2, 4, justStarted},
		{5, []string{crashReplica, storeDown, killNode, killNode, killAll, crashAll}, crashDelay / 2, 4, justStarted},
		// Harmless requests stayed held on nodes that missed the notice that they had been answered.
		{1792, []string{killNode, noFault, killNode, noFault, resetReplica, compact}, crashDelay / 2, 3, justStarted},
		{4672, []string{compact, noFault, drainReplica, killNode, noFault, killNode}, crashDelay / 2, 3, justStarted},
		// Crashes whose callers had left were detected too late, by refused connections of other requests.
		{1233, []string{compact, killAll, crashAll}, crashDelay / 2, 9, justStarted},
		// Nodes that had missed a datagram counted only their own crashes.
		{61234885, []string{lossyLinks, resetReplica, crashAll, compact, noFault, noFault, noFault, crashReplica}, crashDelay / 2, 4, justStarted},
		// The harmless request was quarantined for an hour.
		{231574170836, []string{lossyLinks, resetReplica, killNode, resetReplica}, time.Second, 4, longRunning},
		// All nodes were killed before a quarantine was stored, and the trial in the next quarantine was one run too many.
		{29097845, []string{loseResponses, killAll, storeDown, killNode, crashAll}, time.Second, 8, justStarted},
	} {
		failed.run(t)
	}
}
