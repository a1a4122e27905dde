// Package simulation runs the assembled system, several nodes and the platform over a network in memory, through a plan of
// failures, and judges it by the oracle. It is meant to run in a bubble of testing/synctest, where hours of modelled time
// pass in moments.
package simulation

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// Kind is what an event does.
type Kind string

// The kinds of events. The number of an event picks what it happens to.
const (
	CrashNode      Kind = "crash-node"      // it comes back after a while with its data
	LoseNode       Kind = "lose-node"       // it comes back with an empty disk
	StopNode       Kind = "stop-node"       // a planned stop and a new start
	CutNode        Kind = "cut-node"        // nothing reaches it or leaves it for a while, as if it were paused
	CutZone        Kind = "cut-zone"        // a zone's nodes and engines lose all others for a while
	CutService     Kind = "cut-service"     // one node loses the key-value service for a while
	CrashEngine    Kind = "crash-engine"    // for good; a new one takes its place
	LeaveEngine    Kind = "leave-engine"    // it reports that it leaves; a new one takes its place
	KeepVersion    Kind = "keep-version"    // an engine acknowledges swaps and does not do them, for a while
	FreezeEngine   Kind = "freeze-engine"   // an engine stops for a while and goes on
	CutStream      Kind = "cut-stream"      // an engine cuts its next stream in the middle
	ServiceDown    Kind = "service-down"    // the key-value service is down for a while
	ServiceSlow    Kind = "service-slow"    // the key-value service is slow for a while
	LoseAnswers    Kind = "lose-answers"    // the next writes take effect and are not answered
	ScorerDown     Kind = "scorer-down"     // scores fail for a while
	Publish        Kind = "publish"         // a new version is published, and swapped to
	RaceOperators  Kind = "race-operators"  // two operators send commands to two nodes at one time
	CallOnce       Kind = "call-once"       // a not-repeatable request to two nodes at one time, and again later
	CallRepeatable Kind = "call-repeatable" // a repeatable request
	CallBurst      Kind = "call-burst"      // many repeatable requests at once
)

// kinds lists all kinds; those that are drawn more often stand more than once.
var kinds = []Kind{
	CrashNode, CrashNode, LoseNode, StopNode, CutNode, CutNode, CutZone, CutService, CrashEngine, LeaveEngine, KeepVersion, FreezeEngine, CutStream,
	ServiceDown, ServiceSlow, LoseAnswers, ScorerDown, Publish, Publish, RaceOperators, CallOnce, CallOnce, CallOnce, CallRepeatable, CallBurst,
}

// Event is one thing that happens.
type Event struct {
	// After is the time since the event before it.
	After time.Duration
	Kind  Kind
	// Target picks the node, engine or zone, modulo their number.
	Target int
	// Length is how long it lasts, for kinds that last.
	Length time.Duration
}

// Plan is one history of failures.
type Plan struct {
	Slots  int
	Bound  int
	Events []Event
}

// String returns the plan in words, one event a line.
func (plan Plan) String() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d slots, bound of %d versions\n", plan.Slots, plan.Bound)
	for _, event := range plan.Events {
		fmt.Fprintf(&text, "  after %-8s %-16s target %d for %s\n", event.After, event.Kind, event.Target, event.Length)
	}
	return text.String()
}

// Bounds of a drawn plan.
const (
	maximumEvents = 14
	maximumGapMS  = 9000
	maximumLastMS = 25000
	leastSlots    = 4
	mostSlots     = 24
	mostBound     = 2
	targets       = 12
)

// Draw draws a plan.
func Draw(t *rapid.T) Plan {
	event := rapid.Custom(func(t *rapid.T) Event {
		return Event{
			After:  time.Duration(rapid.IntRange(0, maximumGapMS).Draw(t, "after")) * time.Millisecond,
			Kind:   rapid.SampledFrom(kinds).Draw(t, "kind"),
			Target: rapid.IntRange(0, targets-1).Draw(t, "target"),
			Length: time.Duration(rapid.IntRange(100, maximumLastMS).Draw(t, "length")) * time.Millisecond,
		}
	})
	return Plan{
		Slots:  rapid.IntRange(leastSlots, mostSlots).Draw(t, "slots"),
		Bound:  rapid.IntRange(0, mostBound).Draw(t, "bound"),
		Events: rapid.SliceOfN(event, 1, maximumEvents).Draw(t, "events"),
	}
}
