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
	KindKill        Kind = "kill"         // one process is killed and started again
	KindLeader      Kind = "leader"       // the process that gave the last order is killed, frozen or stopped
	KindFreeze      Kind = "freeze"       // one process stands still
	KindStop        Kind = "stop"         // one process is stopped as planned and started again
	KindKillMany    Kind = "kill-many"    // half of the processes are killed at the same moment
	KindKillAll     Kind = "kill-all"     // all processes are killed at the same moment
	KindStoreDown   Kind = "store-down"   // the store refuses everything
	KindStoreSilent Kind = "store-silent" // the store answers nothing
	KindStoreSlow   Kind = "store-slow"   // the store's answers come late
	KindStoreLost   Kind = "store-lost"   // answers of the store are lost, or writes are done late
	KindCompact     Kind = "compact"      // the store forgets its history
	KindCut         Kind = "cut"          // one node and the store are cut off
	KindCutOneWay   Kind = "cut-one-way"  // the store's answers to one node are held up
	KindReset       Kind = "reset"        // connections of one node to the store are reset
	KindReplica     Kind = "replica"      // a replica crashes and returns
	KindReplicaLink Kind = "replica-link" // the link to a replica is silent, one-way or slow
	KindReplicaBad  Kind = "replica-bad"  // a replica refuses, breaks off, or answers for another request
	KindDrain       Kind = "drain"        // a replica drains, leaves, and returns
	KindSettings    Kind = "settings"     // a settings file is damaged, and made right again
	KindConfigure   Kind = "configure"    // the operator changes the configuration
	KindCloudDown   Kind = "cloud-down"   // the platform refuses reports of usage
	KindCloudLost   Kind = "cloud-lost"   // the platform takes reports of usage and does not answer
	KindSeries      Kind = "series"       // signals to one process in quick succession, of which some stop it as planned, twice in a row
	KindSilence     Kind = "silence"      // the open connections of a link go silent for good, and new ones work
	KindEnding      Kind = "ending"       // a request comes again and again under which replicas end
	KindUpgrade     Kind = "upgrade"      // one process is stopped as planned and started again on a build
)

// weights is how often each kind is drawn.
var kindWeights = []struct {
	kind   Kind
	weight int
}{
	{KindKill, 4}, {KindLeader, 3}, {KindFreeze, 3}, {KindStop, 3}, {KindKillMany, 1}, {KindKillAll, 1}, {KindStoreDown, 2}, {KindStoreSilent, 2}, {KindStoreSlow, 2},
	{KindStoreLost, 2}, {KindCompact, 1}, {KindCut, 2}, {KindCutOneWay, 2}, {KindReset, 2}, {KindReplica, 3}, {KindReplicaLink, 3}, {KindReplicaBad, 3},
	{KindDrain, 2}, {KindSettings, 1}, {KindConfigure, 3},
}

// Event is one fault of a plan.
type Event struct {
	Kind Kind
	At   time.Duration
	For  time.Duration
	// Target picks the node or replica, Variant the way, by remainder.
	Target, Variant int
	// Build is what a process is started on by an upgrade.
	Build Build
}

// String returns one line.
func (event Event) String() string {
	if event.Kind == KindUpgrade {
		return fmt.Sprintf("%6.2fs %s target %d to %s", event.At.Seconds(), event.Kind, event.Target, event.Build)
	}
	return fmt.Sprintf("%6.2fs for %.2fs %s target %d variant %d", event.At.Seconds(), event.For.Seconds(), event.Kind, event.Target, event.Variant)
}

// Plan is a drawn sequence of faults.
type Plan struct {
	Seed   uint64
	Length time.Duration
	Events []Event
	// Builds are what the machines begin on; none where all run the current one.
	Builds []Build
}

// String returns a line for each event.
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
	// firstFault leaves the processes time to start and to serve.
	firstFault = 2500 * time.Millisecond
	longestGap = 1800 * time.Millisecond
	shortest   = 400 * time.Millisecond
	longest    = 5 * time.Second
	targets    = 1000
	// longestCloudGap is the longest time between two faults of the platform's calls for reports, of which there is one each usageWindow.
	longestCloudGap = 8 * time.Second
	// cloudStream is the stream of chance for these faults. They are drawn apart from the others, whose plans they leave as they were.
	cloudStream = 0xc10d
	// seriesStream is that of series of signals and of requests that end replicas.
	seriesStream = 0x5e71
	// silenceTime is how long a link counts as harmed whose connections went silent: until each has been noticed, by a time-out.
	silenceTime = 3 * time.Second
	// longestSeriesGap is the longest time between two series, and endingRequests is how many requests that end replicas a plan has.
	longestSeriesGap = 12 * time.Second
	endingRequests   = 2
)

// Draw returns the plan of a seed. Faults follow each other closely enough to overlap.
func Draw(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, seed))
	plan := Plan{Seed: seed, Length: length}
	for at := firstFault; at < length; at += time.Duration(random.Int64N(int64(longestGap))) {
		lasting := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
		plan.Events = append(plan.Events, Event{
			Kind: drawKind(random), At: at, For: min(lasting, length-at), Target: random.IntN(targets), Variant: random.IntN(targets),
		})
	}
	plan.Events = append(plan.Events, drawCloud(seed, length)...)
	slices.SortStableFunc(plan.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// DrawOverlapping returns the plan of a seed with series of signals, connections that go silent and requests that end replicas besides, which overlap
// the other faults.
func DrawOverlapping(seed uint64, length time.Duration) Plan {
	plan := Draw(seed, length)
	random := rand.New(rand.NewPCG(seed, seriesStream))
	for at := firstFault; at < length; at += longest/2 + time.Duration(random.Int64N(int64(longestSeriesGap))) {
		plan.Events = append(plan.Events, Event{Kind: KindSeries, At: at, For: min(longest, length-at), Target: random.IntN(targets), Variant: random.IntN(targets)})
	}
	for at := firstFault; at < length; at += longest/2 + time.Duration(random.Int64N(int64(longestSeriesGap))) {
		plan.Events = append(plan.Events, Event{Kind: KindSilence, At: at, For: min(silenceTime, length-at), Target: random.IntN(targets), Variant: random.IntN(targets)})
	}
	for range endingRequests {
		at := firstFault + time.Duration(random.Int64N(int64(max(1, length/2))))
		plan.Events = append(plan.Events, Event{Kind: KindEnding, At: at, For: max(0, length-at), Target: random.IntN(targets), Variant: random.IntN(targets)})
	}
	slices.SortStableFunc(plan.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// drawCloud returns the faults of the platform's calls for reports.
func drawCloud(seed uint64, length time.Duration) []Event {
	random := rand.New(rand.NewPCG(seed, cloudStream))
	var events []Event
	for at := firstFault; at < length; at += longest/2 + time.Duration(random.Int64N(int64(longestCloudGap))) {
		kind := []Kind{KindCloudDown, KindCloudLost}[random.IntN(2)]
		lasting := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
		events = append(events, Event{Kind: kind, At: at, For: min(lasting, length-at)})
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
