package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Kind is a kind of fault.
type Kind string

// The kinds of faults.
const (
	KindKill         Kind = "kill"         // a process is killed and restarted
	KindLeader       Kind = "leader"       // the process that sent the last order is killed, frozen, stopped or cut off
	KindFreeze       Kind = "freeze"       // a process is paused
	KindStop         Kind = "stop"         // a process is shut down gracefully and restarted
	KindKillMany     Kind = "kill-many"    // half of the processes are killed at the same time
	KindKillAll      Kind = "kill-all"     // all processes are killed at the same time
	KindStoreDown    Kind = "store-down"   // the metadata store refuses all requests
	KindStoreSilent  Kind = "store-silent" // the metadata store does not answer
	KindStoreSlow    Kind = "store-slow"   // the links to the metadata store are slow
	KindStoreLost    Kind = "store-lost"   // answers to writes are lost, and the writes may be applied late
	KindCompact      Kind = "compact"      // the metadata store compacts its history
	KindCut          Kind = "cut"          // a node is partitioned from the metadata store
	KindCutOneWay    Kind = "cut-one-way"  // the metadata store's answers to a node are held
	KindReset        Kind = "reset"        // a node's connections to the metadata store are reset
	KindReplicaCrash Kind = "replica"      // a replica crashes and restarts
	KindReplicaLink  Kind = "replica-link" // the link to a replica passes one direction only, is slow, or refuses connections
	KindReplicaBad   Kind = "replica-bad"  // a replica refuses requests, breaks off answers, or answers for another request
	KindDrain        Kind = "drain"        // a replica drains, stops and restarts
	KindSettings     Kind = "settings"     // a settings file is truncated and later restored
	KindConfigure    Kind = "configure"    // the operator applies a new configuration
	KindCloudDown    Kind = "cloud-down"   // the platform refuses usage reports
	KindCloudLost    Kind = "cloud-lost"   // the platform accepts usage reports without answering
	KindSignalSeries Kind = "series"       // a process receives signals in quick succession, some of which shut it down gracefully
	KindSilence      Kind = "silence"      // the open connections of a link go silent for good; new ones work
	KindCrashRequest Kind = "ending"       // a request that crashes replicas is sent repeatedly
	KindUnluckyItems Kind = "unlucky"      // replicas crash one after the other while they run the same items
	KindAcceptKill   Kind = "accept-kill"  // the process that has just accepted a job is killed, or all processes are
	KindUpgrade      Kind = "upgrade"      // a process is shut down gracefully and restarted on another build
)

// kindWeights are the relative frequencies at which Draw draws the kinds.
var kindWeights = []struct {
	kind   Kind
	weight int
}{
	{KindKill, 4}, {KindLeader, 3}, {KindFreeze, 3}, {KindStop, 3}, {KindKillMany, 1}, {KindKillAll, 1}, {KindStoreDown, 2}, {KindStoreSilent, 2}, {KindStoreSlow, 2},
	{KindStoreLost, 2}, {KindCompact, 1}, {KindCut, 2}, {KindCutOneWay, 2}, {KindReset, 2}, {KindReplicaCrash, 3}, {KindReplicaLink, 3}, {KindReplicaBad, 3},
	{KindDrain, 2}, {KindSettings, 1}, {KindConfigure, 3},
}

// Event is a fault of a plan.
type Event struct {
	Kind Kind
	At   time.Duration
	For  time.Duration
	// Target selects the node or replica, and Variant the form of the fault, each modulo the number of choices.
	Target, Variant int
	// Build is the build that an upgrade starts.
	Build Build
}

// String describes the event in one line.
func (event Event) String() string {
	if event.Kind == KindUpgrade {
		return fmt.Sprintf("%6.2fs %s target %d to %s", event.At.Seconds(), event.Kind, event.Target, event.Build)
	}
	return fmt.Sprintf("%6.2fs for %.2fs %s target %d variant %d", event.At.Seconds(), event.For.Seconds(), event.Kind, event.Target, event.Variant)
}

// Plan is a sequence of faults drawn from a seed.
type Plan struct {
	Seed   uint64
	Length time.Duration
	Events []Event
	// Builds are the builds on which the nodes start, by index; empty if all start on the current one.
	Builds []Build
	// Resubmits makes trainers bring the incomplete groups of a step back in the next one and wait for them, and engines queue requests.
	Resubmits bool
}

// String returns a summary line and a line for each event.
func (plan Plan) String() string {
	lines := []string{fmt.Sprintf("seed %d, %s, %d faults", plan.Seed, plan.Length, len(plan.Events))}
	if len(plan.Builds) > 0 {
		lines = append(lines, fmt.Sprint("begins on ", plan.Builds))
	}
	for _, event := range plan.Events {
		lines = append(lines, event.String())
	}
	return strings.Join(lines, "\n")
}

// Times of a plan.
const (
	// firstFaultAt leaves the processes time to start and become ready.
	firstFaultAt     = 2500 * time.Millisecond
	maxFaultGap      = 1800 * time.Millisecond
	minFaultDuration = 400 * time.Millisecond
	maxFaultDuration = 5 * time.Second
	targetRange      = 1000
	// maxCloudFaultGap bounds the random part of the gap between two faults of the platform's usage reporting.
	maxCloudFaultGap = 8 * time.Second
	// cloudStream is the random stream of these faults. A stream of its own leaves the other faults of a seed unchanged.
	cloudStream = 0xc10d
	// overlapStream is the random stream of the faults that DrawOverlapping adds.
	overlapStream = 0x5e71
	// silenceDuration is how long a link counts as faulty after its connections went silent. By then, a timeout has detected each of them.
	silenceDuration = 3 * time.Second
	// maxSeriesGap bounds the random part of the gap between two signal series or two silences. crashRequestsPerPlan is the number of requests
	// in a plan that crash replicas.
	maxSeriesGap         = 12 * time.Second
	crashRequestsPerPlan = 2
	// unluckyStream is the random stream of the crashes under items. unluckyDuration is how long they go on, the last time at the end of a plan:
	// jobs that are open then have to be completed.
	unluckyStream   = 0x17e3
	unluckyDuration = 4 * time.Second
)

// Draw returns the plan of a seed. The gaps between faults are short enough for faults to overlap.
func Draw(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, seed))
	plan := Plan{Seed: seed, Length: length}
	for at := firstFaultAt; at < length; at += time.Duration(random.Int64N(int64(maxFaultGap))) {
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		plan.Events = append(plan.Events, Event{
			Kind: drawKind(random), At: at, For: min(duration, length-at), Target: random.IntN(targetRange), Variant: random.IntN(targetRange),
		})
	}
	plan.Events = append(plan.Events, drawCloudFaults(seed, length)...)
	slices.SortStableFunc(plan.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// DrawOverlapping returns the plan that Draw returns for the seed, and adds signal series, silent connections, requests that crash replicas and
// crashes under items, which overlap the other faults.
func DrawOverlapping(seed uint64, length time.Duration) Plan {
	plan := Draw(seed, length)
	random := rand.New(rand.NewPCG(seed, overlapStream))
	for at := firstFaultAt; at < length; at += maxFaultDuration/2 + time.Duration(random.Int64N(int64(maxSeriesGap))) {
		plan.Events = append(plan.Events, Event{Kind: KindSignalSeries, At: at, For: min(maxFaultDuration, length-at), Target: random.IntN(targetRange), Variant: random.IntN(targetRange)})
	}
	for at := firstFaultAt; at < length; at += maxFaultDuration/2 + time.Duration(random.Int64N(int64(maxSeriesGap))) {
		plan.Events = append(plan.Events, Event{Kind: KindSilence, At: at, For: min(silenceDuration, length-at), Target: random.IntN(targetRange), Variant: random.IntN(targetRange)})
	}
	for range crashRequestsPerPlan {
		at := firstFaultAt + time.Duration(random.Int64N(int64(max(1, length/2))))
		plan.Events = append(plan.Events, Event{Kind: KindCrashRequest, At: at, For: max(0, length-at), Target: random.IntN(targetRange), Variant: random.IntN(targetRange)})
	}
	plan.Events = append(plan.Events, drawUnluckyItems(seed, length)...)
	slices.SortStableFunc(plan.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// drawUnluckyItems returns crashes under items at a random time and at the end of the plan.
func drawUnluckyItems(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, unluckyStream))
	var events []Event
	for _, at := range []time.Duration{firstFaultAt + time.Duration(random.Int64N(int64(max(1, length/2)))), length - unluckyDuration} {
		events = append(events, Event{Kind: KindUnluckyItems, At: max(0, at), For: min(unluckyDuration, length-max(0, at)), Variant: random.IntN(targetRange)})
	}
	return events
}

// drawCloudFaults returns the faults of the platform's usage reporting.
func drawCloudFaults(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, cloudStream))
	var events []Event
	for at := firstFaultAt; at < length; at += maxFaultDuration/2 + time.Duration(random.Int64N(int64(maxCloudFaultGap))) {
		kind := []Kind{KindCloudDown, KindCloudLost}[random.IntN(2)]
		duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
		events = append(events, Event{Kind: kind, At: at, For: min(duration, length-at)})
	}
	return events
}

func drawKind(random *rand.Rand) Kind {
	total := 0
	for _, entry := range kindWeights {
		total += entry.weight
	}
	drawn := random.IntN(total)
	for _, entry := range kindWeights {
		drawn -= entry.weight
		if drawn < 0 {
			return entry.kind
		}
	}
	return KindKill
}
