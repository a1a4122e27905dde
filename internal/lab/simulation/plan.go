// Package simulation runs several nodes and a simulated platform over an in-memory network, injects a plan of failures,
// and checks the result with the oracle of package bench. It runs in a testing/synctest bubble, so that a simulated hour
// takes little real time.
package simulation

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// Kind is the type of an event.
type Kind string

// The kinds of events. Event.Target selects the node, engine or zone that is affected.
const (
	CrashNode      Kind = "crash-node"      // a node is killed and restarts with its data
	LoseNode       Kind = "lose-node"       // a node is killed and restarts; the first such event also erases its disk
	StopNode       Kind = "stop-node"       // a node shuts down gracefully and restarts
	CutNode        Kind = "cut-node"        // a node is partitioned from all other hosts
	CutZone        Kind = "cut-zone"        // the nodes and engines of a zone are partitioned from all other hosts
	CutService     Kind = "cut-service"     // a node is partitioned from the key-value service
	CrashEngine    Kind = "crash-engine"    // an engine crashes and a new engine replaces it
	LeaveEngine    Kind = "leave-engine"    // an engine announces that it leaves and a new engine replaces it
	KeepVersion    Kind = "keep-version"    // an engine acknowledges weight swaps but keeps serving its old version
	FreezeEngine   Kind = "freeze-engine"   // an engine is paused and later resumes
	CutStream      Kind = "cut-stream"      // an engine aborts its next stream midway
	ServiceDown    Kind = "service-down"    // the key-value service is unavailable
	ServiceSlow    Kind = "service-slow"    // the key-value service answers slowly
	LoseAnswers    Kind = "lose-answers"    // the key-value service applies the next writes but does not answer them
	ScorerDown     Kind = "scorer-down"     // the scorer is unavailable
	Publish        Kind = "publish"         // the trainer publishes a new version and an operator swaps to it
	RaceOperators  Kind = "race-operators"  // two operators send conflicting commands to two nodes concurrently
	CallOnce       Kind = "call-once"       // a caller sends one not-repeatable request to two nodes concurrently, and again later
	CallRepeatable Kind = "call-repeatable" // a caller sends a repeatable request
	CallBurst      Kind = "call-burst"      // callers send many repeatable requests concurrently
)

// kinds lists the kinds to draw from. A kind that is listed several times is drawn more often.
var kinds = []Kind{
	CrashNode, CrashNode, LoseNode, StopNode, CutNode, CutNode, CutZone, CutService, CrashEngine, LeaveEngine, KeepVersion, FreezeEngine, CutStream,
	ServiceDown, ServiceSlow, LoseAnswers, ScorerDown, Publish, Publish, RaceOperators, CallOnce, CallOnce, CallOnce, CallRepeatable, CallBurst,
}

// Event is a failure or a client action of a plan.
type Event struct {
	// After is the delay since the previous event began.
	After time.Duration
	Kind  Kind
	// Target selects the node, engine or zone, modulo their number.
	Target int
	// Length is the duration of the failure. Kinds without a duration ignore it.
	Length time.Duration
}

// Plan describes one simulated run.
type Plan struct {
	Slots  int // samples that the trainer requests
	Bound  int // staleness bound of the experiment, in versions
	Events []Event
}

// String returns a readable form of the plan with one event per line.
func (plan Plan) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d slots, bound of %d versions\n", plan.Slots, plan.Bound)
	for _, event := range plan.Events {
		fmt.Fprintf(&text, "  after %-8s %-16s target %d for %s\n", event.After, event.Kind, event.Target, event.Length)
	}
	return text.String()
}

// Limits of a drawn plan.
const (
	maxEvents   = 14
	maxGapMS    = 9000
	maxLengthMS = 25000
	minSlots    = 4
	maxSlots    = 24
	maxBound    = 2
	targetCount = 12
)

// Draw draws a random plan.
func Draw(t *rapid.T) Plan {
	event := rapid.Custom(func(t *rapid.T) Event {
		return Event{
			After:  time.Duration(rapid.IntRange(0, maxGapMS).Draw(t, "after")) * time.Millisecond,
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			Target: rapid.IntRange(0, targetCount-1).Draw(t, "target"),
			Length: time.Duration(rapid.IntRange(100, maxLengthMS).Draw(t, "length")) * time.Millisecond,
		}
	})
	return Plan{
		Slots:  rapid.IntRange(minSlots, maxSlots).Draw(t, "slots"),
		Bound:  rapid.IntRange(0, maxBound).Draw(t, "bound"),
		Events: rapid.SliceOfN(event, 1, maxEvents).Draw(t, "events"),
	}
}
