package room_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/room"
)

// manualClock is a clock that tests advance.
type manualClock struct{ now time.Duration }

func (manual *manualClock) clock() clock.Clock {
	return clock.Func(func() time.Duration { return manual.now })
}

// replicasOf returns replicas of a service with the given slots.
func replicasOf(service string, slots ...int) []catalog.Replica {
	var list []catalog.Replica
	for index, count := range slots {
		list = append(list, catalog.Replica{ID: fmt.Sprint(service, "-", index), Service: service, Slots: count})
	}
	return list
}

func newRoom(slots ...int) (*room.Room, *catalog.Table, *manualClock) {
	table, manual := catalog.NewTable(), &manualClock{}
	table.SetReplicas(replicasOf("s", slots...), 1)
	return room.New("front-1", table, manual.clock()), table, manual
}

func full(rooms *room.Room, limit int) {
	rooms.Observe("s", admission.Outcome{Full: true}, limit)
}

func served(rooms *room.Room, inFlight int) {
	rooms.Observe("s", admission.Outcome{ServiceTime: 500 * time.Millisecond}, inFlight)
}

// A node that knows nothing of others may use all slots, and no more than there are.
func TestLimitFollowsReplicas(t *testing.T) {
	rooms, table, _ := newRoom(8, 8, 8)
	must.Eq(t, 24, rooms.Limit("s"))
	table.ChangeReplicas([]catalog.ReplicaChange{{ID: "s-0"}, {ID: "s-1", Replica: &catalog.Replica{ID: "s-1", Service: "s", Slots: 8, Draining: true}}}, 2)
	must.Eq(t, 8, rooms.Limit("s"), must.Sprint("replicas that are gone or draining have no room"))
	table.SetReplicas(replicasOf("s", 8, 8, 8), 3)
	must.Eq(t, 24, rooms.Limit("s"))
	rooms.Refresh(nil, map[string]int{"s": 16})
	must.Eq(t, 8, rooms.Limit("s"), must.Sprint("ejected replicas have no room"))
	rooms.Refresh(nil, map[string]int{"s": 24})
	must.Eq(t, 24, rooms.Limit("s"), must.Sprint("if all are ejected, requests are still sent to them"))
	must.Eq(t, 1, rooms.Limit("unknown"))
}

// Refusals by replicas narrow the limit to what was in flight, by no more than half in the time of one request, and a single refusal
// among many answers changes nothing.
func TestRefusalsNarrowTheLimit(t *testing.T) {
	rooms, _, manual := newRoom(64)
	for range 40 {
		served(rooms, 10)
	}
	full(rooms, 64)
	must.Eq(t, 64, rooms.Limit("s"))
	for inFlight := 63; inFlight > 20; inFlight-- {
		full(rooms, inFlight)
	}
	must.Eq(t, 31, rooms.Limit("s"), must.Sprint("63 were in flight beside the first one refused"))
	manual.now += time.Second
	for range 100 {
		full(rooms, rooms.Limit("s"))
	}
	must.Eq(t, 15, rooms.Limit("s"))
	for range 20 {
		manual.now += time.Second
		full(rooms, rooms.Limit("s"))
	}
	must.Eq(t, 1, rooms.Limit("s"))
}

// narrow brings the limit down to a size by refusals.
func narrow(rooms *room.Room, manual *manualClock, size int) {
	for attempt := 0; rooms.Limit("s") > size && attempt < 1000; attempt++ {
		full(rooms, rooms.Limit("s"))
		manual.now += 100 * time.Millisecond
	}
}

// serveAtFullUse has the given number of service times pass, in which all requests that the limit allows succeed.
func serveAtFullUse(rooms *room.Room, manual *manualClock, times int) {
	for range times {
		limit := rooms.Limit("s")
		for range limit {
			served(rooms, rooms.Limit("s"))
		}
		manual.now += 500 * time.Millisecond
	}
}

// A limit that refusals have narrowed recovers by success at full use, within seconds after replicas are added, and at once if it has not
// been confirmed for long.
func TestLimitRecovers(t *testing.T) {
	rooms, table, manual := newRoom(32, 32)
	narrow(rooms, manual, 4)
	serveAtFullUse(rooms, manual, 14) // the first ones make up for the share of refusals
	must.GreaterEq(t, 32, rooms.Limit("s"))

	narrow(rooms, manual, 4)
	table.SetReplicas(replicasOf("s", 32, 32, 32, 32, 32, 32, 32, 32), 2)
	must.GreaterEq(t, 16, rooms.Limit("s"), must.Sprint("four times the slots allow four times the requests"))

	narrow(rooms, manual, 4)
	manual.now += 6 * time.Second
	must.Eq(t, 256, rooms.Limit("s"))
}

// Requests that tell nothing of replicas, such as those of callers that left, change nothing.
func TestUnknownOutcomesTellNothing(t *testing.T) {
	rooms, _, manual := newRoom(64)
	narrow(rooms, manual, 4)
	for range 100 {
		rooms.Observe("s", admission.Outcome{}, 4)
	}
	must.Eq(t, 4, rooms.Limit("s"))
}

func BenchmarkLimit(b *testing.B) {
	rooms, _, _ := newRoom(64)
	b.ReportAllocs()
	for b.Loop() {
		rooms.Limit("s")
	}
}

// One refusal among few requests, or long after the last ones, tells of one replica and changes nothing.
func TestSingleRefusalsDoNotBind(t *testing.T) {
	rooms, _, _ := newRoom(8)
	for range 100 {
		served(rooms, 2)
	}
	full(rooms, 2)
	must.Eq(t, 8, rooms.Limit("s"))
	full(rooms, 2)
	must.Eq(t, 1, rooms.Limit("s"), must.Sprint("a second one does"))

	rooms, _, manual := newRoom(64)
	narrow(rooms, manual, 8)
	manual.now += time.Hour
	full(rooms, 2)
	must.Eq(t, 64, rooms.Limit("s"), must.Sprint("an hour after a window"))
	manual.now += time.Hour
	full(rooms, 2)
	must.Eq(t, 64, rooms.Limit("s"), must.Sprint("an hour after another single one"))
}
