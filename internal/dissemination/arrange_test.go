package dissemination

import (
	"io"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// Who serves whom is worked out when nodes or relays change, and not in the rounds between: these cost the same in a fleet of any size.
func TestArrangementsFollowChanges(t *testing.T) {
	publisher, nodes, now := &Publisher{Logger: log.New(io.Discard)}, fleetOf(300), time.Now()
	publisher.prepare()
	first := publisher.arrange(nodes, now)
	must.Greater(t, 0, len(first.groups))
	must.True(t, sameGroups(first, publisher.arrange(nodes, now)))
	must.Eq(t, 0.0, testing.AllocsPerRun(10, func() { publisher.arrange(nodes, now) }))

	fewer := slices.Clone(nodes)[:299]
	changed := publisher.arrange(fewer, now)
	must.False(t, sameGroups(first, changed), must.Sprint("a node has left"))

	relay := changed.groups[0].relay
	publisher.receiver[processOf(relay)].lanes[prompt].failed = true
	alone := publisher.arrange(fewer, now)
	must.False(t, sameGroups(changed, alone), must.Sprint("a relay is not reached"))
	must.False(t, slices.ContainsFunc(alone.groups, func(group group) bool { return group.relay == relay }))
	must.True(t, slices.Contains(alone.direct, relay))

	later := now.Add(aloneFor + time.Millisecond)
	for _, state := range publisher.receiver {
		state.lanes[prompt].failed, state.relay.taken, state.relay.reported = false, 1, later
	}
	again := publisher.arrange(fewer, later)
	must.True(t, slices.ContainsFunc(again.groups, func(group group) bool { return group.relay == relay }), must.Sprint("it relays again"))
}

func sameGroups(a, b arrangement) bool { return &a.groups[0] == &b.groups[0] }

// A node of a build that knows no relays is served directly and relays nothing: it would be found silent, and its nodes be served late.
func TestNodesWithoutRelaysAreServedDirectly(t *testing.T) {
	publisher, nodes := &Publisher{Logger: log.New(io.Discard)}, fleetOf(300)
	publisher.prepare()
	for index := range 150 {
		nodes[2*index].Capabilities = nil
	}
	arranged := publisher.arrange(nodes, time.Now())
	must.Positive(t, len(arranged.groups))
	for index, node := range nodes {
		former := index%2 == 0
		must.Eq(t, former, former && slices.Contains(arranged.direct, node))
		must.False(t, former && slices.ContainsFunc(arranged.groups, func(group group) bool { return group.relay == node }))
	}
}
