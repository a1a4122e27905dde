package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// pulseStream is the random stream of the plans that DrawPulses returns.
	pulseStream = 0x9a15
	// calmDuration is the time without faults between two pulses: a step that begins after recoveryTime ends within it.
	calmDuration     = recoveryTime + stepTimeout + 2*time.Second
	maxPulseDuration = 5 * time.Second
	minPulseEvents   = 3
	maxPulseEvents   = 11
	// pulseCrashDuration is how long engines crash under the same items in every second pulse: an item that is held after crashes is tried again
	// within that time.
	pulseCrashDuration = 10 * time.Second
)

// pulseKinds are the kinds that DrawPulses draws beside those of Draw: what ends many processes or loses many writes at one time.
var pulseKinds = []Kind{KindKillAll, KindKillMany, KindStoreLost, KindStoreDown, KindCut, KindStop, KindFreeze, KindSilence, KindSignalSeries, KindAcceptKill, KindAcceptKill}

// DrawPulses returns the plan of a seed in which overlapping faults come in short pulses. After each pulse nothing fails for calmDuration, so that what
// the faults left behind shows.
func DrawPulses(seed uint64, length time.Duration) Plan {
	random := rand.New(rand.NewPCG(seed, pulseStream))
	plan := Plan{Seed: seed, Length: length, Resubmits: true}
	for at := firstFaultAt; at < length; {
		end := at + minFaultDuration + time.Duration(random.Int64N(int64(maxPulseDuration)))
		for range minPulseEvents + random.IntN(maxPulseEvents-minPulseEvents) {
			plan.Events = append(plan.Events, drawPulseEvent(random, at, end))
		}
		if random.IntN(2) == 0 {
			plan.Events = append(plan.Events, Event{Kind: KindUnluckyItems, At: at, For: pulseCrashDuration, Variant: random.IntN(targetRange)})
			end = max(end, at+pulseCrashDuration)
		}
		at = end + calmDuration
	}
	slices.SortStableFunc(plan.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return plan
}

func drawPulseEvent(random *rand.Rand, from, until time.Duration) Event {
	kind := drawKind(random)
	if random.IntN(2) == 0 {
		kind = pulseKinds[random.IntN(len(pulseKinds))]
	}
	begin := from + time.Duration(random.Int64N(int64(until-from)))
	duration := minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration)))
	return Event{Kind: kind, At: begin, For: min(duration, until-begin+minFaultDuration), Target: random.IntN(targetRange), Variant: random.IntN(targetRange)}
}
