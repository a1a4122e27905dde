package hollow

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"slices"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/lab/bench"
)

// Delays summarizes how long a change or a failure took to reach each observer.
type Delays struct {
	P50, P99, Max time.Duration
	// Missed is the number of observers that it did not reach within the time limit.
	Missed int
}

func summarizeDelays(times []time.Duration, missed int) Delays {
	if len(times) == 0 {
		return Delays{Missed: missed}
	}
	slices.Sort(times)
	at := func(share float64) time.Duration { return times[min(len(times)-1, int(share*float64(len(times))))] }
	return Delays{P50: at(0.5), P99: at(0.99), Max: times[len(times)-1], Missed: missed}
}

// String implements fmt.Stringer.
func (delays Delays) String() string {
	return fmt.Sprintf("p50 %.2f s, p99 %.2f s, max %.2f s, missed %d", delays.P50.Seconds(), delays.P99.Seconds(), delays.Max.Seconds(), delays.Missed)
}

// Figures are the measured costs and propagation times of a fleet.
type Figures struct {
	Nodes, Replicas int
	SettleTime      time.Duration // time until the fleet was settled
	// Costs of a fleet without requests of callers; ControlCalls to CPUShare are per node and second.
	ControlCalls         float64 // control calls answered
	ControlBytes         float64 // to and from other nodes
	PlatformBytes        float64 // to and from engines and the platform's services
	CPUShare             float64 // share of a core, including the simulated platform
	HeapBytes            float64 // heap and stacks in use per node, including the simulated platform
	KeyValueCalls        float64 // calls per second of the whole fleet
	KeyValueRejected     uint64
	ChangeDelays         Delays
	ActivationDelays     Delays
	NodeFailureDelays    Delays
	ReplicaFailureDelays Delays
	FalseSuspicions      int
	FalseDeaths          int
	MostPartitions       int
	UnownedPartition     bool
}

// Measure waits until the fleet has settled and measures it. began is the time at which the fleet was started. Costs are
// averaged over window.
func (fleet *Fleet) Measure(ctx context.Context, began time.Time, window time.Duration, output io.Writer) (Figures, error) {
	figures := Figures{Nodes: fleet.options.Nodes, Replicas: fleet.options.Replicas}
	if !Await(ctx, settleTimeout, fleet.Settled) {
		return figures, errors.Newf("the fleet did not settle within %s: %s", settleTimeout, fleet.describeProgress())
	}
	figures.SettleTime = time.Since(began)
	if err := fleet.configure(ctx); err != nil {
		return figures, err
	}
	fmt.Fprintf(output, "  settled after %.1f s\n", figures.SettleTime.Seconds())
	fleet.measureCosts(&figures, window)
	var err error
	if figures.ChangeDelays, err = fleet.measureChange(ctx); err != nil {
		return figures, err
	}
	if figures.ActivationDelays, err = fleet.measureActivation(ctx); err != nil {
		return figures, err
	}
	for _, running := range fleet.Nodes() {
		suspicions, deaths := running.SuspicionsAndRefutations()
		figures.FalseSuspicions += suspicions
		figures.FalseDeaths += deaths
		figures.MostPartitions = max(figures.MostPartitions, running.OwnedPartitions())
	}
	figures.NodeFailureDelays = fleet.measureNodeFailure(ctx)
	figures.ReplicaFailureDelays = fleet.measureReplicaFailure(ctx)
	return figures, nil
}

const (
	settleTimeout      = 40 * time.Second
	propagationTimeout = 15 * time.Second
	// warmUp keeps the traffic of the start out of the measured costs.
	warmUp         = 4 * time.Second
	changeCount    = 5
	changeInterval = 300 * time.Millisecond
)

// describeProgress reports the smallest numbers of nodes and replicas that any node knows.
func (fleet *Fleet) describeProgress() string {
	nodes := fleet.Nodes()
	members, replicas := len(nodes), fleet.options.Replicas
	for _, running := range nodes {
		members = min(members, running.LiveMembers())
		replicas = min(replicas, running.KnownReplicas())
	}
	return fmt.Sprintf("smallest membership known to a node: %d of %d nodes; smallest number of replicas known to a node: %d", members, len(nodes), replicas)
}

// anyNode returns a random running node.
func (fleet *Fleet) anyNode() *bench.RunningNode {
	for _, running := range fleet.Nodes() {
		return running
	}
	return nil
}

// configure adds a policy and waits until every engine runs it.
func (fleet *Fleet) configure(ctx context.Context) error {
	_, err := fleet.client.Execute(ctx, fleet.anyNode().API(), "add policy main version 1; create experiment main with main share 100 staleness 2 versions")
	if err != nil {
		return errors.Wrap(err, "configure")
	}
	if !Await(ctx, settleTimeout, func() bool { return fleet.countActive(1) == fleet.options.Replicas }) {
		return errors.Newf("%d of %d engines run the first version", fleet.countActive(1), fleet.options.Replicas)
	}
	return nil
}

func (fleet *Fleet) countActive(version uint64) int {
	count := 0
	for _, engine := range fleet.site.Engines() {
		if engine.Model.Active("main") == version {
			count++
		}
	}
	return count
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureCosts measures an idle fleet for the length of window.
func (fleet *Fleet) measureCosts(figures *Figures, window time.Duration) {
	time.Sleep(warmUp)
	calls := fleet.controlCalls()
	sent, received := fleet.controlTraffic.Sent.Load(), fleet.controlTraffic.Received.Load()
	dataSent, dataReceived := fleet.dataTraffic.Sent.Load(), fleet.dataTraffic.Received.Load()
	serviceCalls, _ := fleet.site.KeyValue.Calls()
	cpu := cpuTime()
	began := time.Now()
	time.Sleep(window)
	passed := time.Since(began).Seconds()
	cpu = cpuTime() - cpu
	perNode := 1 / (passed * float64(figures.Nodes))
	figures.ControlCalls = float64(fleet.controlCalls()-calls) * perNode
	figures.ControlBytes = float64(fleet.controlTraffic.Sent.Load()-sent+fleet.controlTraffic.Received.Load()-received) * perNode
	figures.PlatformBytes = float64(fleet.dataTraffic.Sent.Load()-dataSent+fleet.dataTraffic.Received.Load()-dataReceived) * perNode
	figures.CPUShare = cpu.Seconds() * perNode
	after, refused := fleet.site.KeyValue.Calls()
	figures.KeyValueCalls = float64(after-serviceCalls) / passed
	figures.KeyValueRejected = refused
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	figures.HeapBytes = float64(memory.HeapInuse+memory.StackInuse) / float64(figures.Nodes)
}

func (fleet *Fleet) controlCalls() int64 {
	total := int64(0)
	for _, running := range fleet.Nodes() {
		total += running.ControlCalls()
	}
	return total
}

// measureChange makes several configuration changes and measures how long each takes to reach each node.
func (fleet *Fleet) measureChange(ctx context.Context) (Delays, error) {
	var times []time.Duration
	missed := 0
	for index := range changeCount {
		before := fleet.anyNode().Revision()
		began := time.Now()
		command := fmt.Sprintf("alter experiment main staleness %d versions", 3+index)
		if _, err := fleet.client.Execute(ctx, fleet.anyNode().API(), command); err != nil {
			return Delays{}, errors.Wrap(err, "change")
		}
		delays, unreached := measureDelays(fleet.Nodes(), began, func(running *bench.RunningNode) bool { return running.Revision() > before })
		times = append(times, delays...)
		missed += unreached
		time.Sleep(changeInterval)
	}
	return summarizeDelays(times, missed), nil
}

// measureDelays measures how long after began each item first meets a condition. It returns these delays and the number of
// items that did not meet the condition within propagationTimeout.
func measureDelays[Item any](items map[string]Item, began time.Time, condition func(Item) bool) ([]time.Duration, int) {
	waiting := make(map[string]Item, len(items))
	for id, item := range items {
		waiting[id] = item
	}
	var times []time.Duration
	for len(waiting) > 0 && time.Since(began) < propagationTimeout {
		for id, item := range waiting {
			if condition(item) {
				times = append(times, time.Since(began))
				delete(waiting, id)
			}
		}
		time.Sleep(pollInterval)
	}
	return times, len(waiting)
}

// measureActivation publishes a version, waits until every engine has staged it, and measures how long after the swap command
// each engine activates it.
func (fleet *Fleet) measureActivation(ctx context.Context) (Delays, error) {
	api := fleet.anyNode().API()
	if _, err := fleet.client.Execute(ctx, api, "publish policy main version 2"); err != nil {
		return Delays{}, errors.Wrap(err, "publish")
	}
	staged := func() bool {
		for _, engine := range fleet.site.Engines() {
			if engine.Model.Staged("main") != 2 {
				return false
			}
		}
		return true
	}
	if !Await(ctx, settleTimeout, staged) {
		return Delays{}, errors.New("the version was not staged everywhere")
	}
	began := time.Now()
	if _, err := fleet.client.Execute(ctx, api, "swap policy main to 2"); err != nil {
		return Delays{}, errors.Wrap(err, "swap")
	}
	engines := make(map[string]*bench.RunningEngine)
	for _, engine := range fleet.site.Engines() {
		engines[engine.ID] = engine
	}
	times, missed := measureDelays(engines, began, func(engine *bench.RunningEngine) bool { return engine.Model.Active("main") == 2 })
	return summarizeDelays(times, missed), nil
}

// measureNodeFailure crashes a node and measures how long each other node takes to declare it dead.
func (fleet *Fleet) measureNodeFailure(ctx context.Context) Delays {
	victim := fleet.anyNode().Settings.Node.ID
	began := time.Now()
	fleet.KillNode(victim)
	times, missed := measureDelays(fleet.Nodes(), began, func(running *bench.RunningNode) bool { return !running.MemberLive(victim) })
	return summarizeDelays(times, missed)
}

// measureReplicaFailure crashes an engine and measures how long each node that dispatches to it takes to stop doing so.
func (fleet *Fleet) measureReplicaFailure(ctx context.Context) Delays {
	victim := fleet.site.Engines()[0]
	observers := make(map[string]*bench.RunningNode)
	for id, running := range fleet.Nodes() {
		if running.ReplicaServing(victim.ID) {
			observers[id] = running
		}
	}
	began := time.Now()
	victim.Crash()
	times, missed := measureDelays(observers, began, func(running *bench.RunningNode) bool { return !running.ReplicaServing(victim.ID) })
	return summarizeDelays(times, missed)
}
