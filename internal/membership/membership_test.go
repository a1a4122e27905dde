package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var testSettings = Settings{SuspicionTime: 4 * time.Second, ForgetTime: time.Hour, RetransmitFactor: 3, ChangesPerMessage: 12}

// simulatedMember is a member of a simulated cluster in which probes are function calls that may fail.
type simulatedMember struct {
	table  *Table
	up     bool
	starts uint64
}

// Members crash, restart, are partitioned and suspect each other. Once the failures end, each running member must see
// exactly the running members as alive.
func TestMembersAgreeOnceFailuresEnd(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		count := rapid.IntRange(2, 6).Draw(draw, "members")
		random := rand.New(rand.NewPCG(uint64(count), 1))
		now := time.Unix(0, 0)
		members := make([]*simulatedMember, count)
		start := func(index int, starts uint64) *simulatedMember {
			self := Member{NodeID: fmt.Sprint(index), Address: fmt.Sprint(index), Zone: fmt.Sprint(index % 2), Incarnation: starts << 20}
			return &simulatedMember{table: NewTable(self, testSettings, now), up: true, starts: starts}
		}
		for index := range members {
			members[index] = start(index, 1)
		}
		cutOff := -1
		reachable := func(from, to int) bool { return members[to].up && from != cutOff && to != cutOff }
		probe := func(from int, to Member) {
			var index int
			_, _ = fmt.Sscan(to.NodeID, &index)
			if !reachable(from, index) {
				members[from].table.Suspect(to.NodeID, to.Incarnation, now)
				return
			}
			updates := append(members[from].table.Changes(), members[from].table.Self(), to)
			members[index].table.Merge(updates, now)
			answer := append(members[index].table.Changes(), members[index].table.Self())
			members[from].table.Merge(answer, now)
		}
		round := func() {
			now = now.Add(time.Second)
			for from := range members {
				if !members[from].up {
					continue
				}
				members[from].table.Expire(now, 1)
				if target, ok := members[from].table.NextTarget(random); ok {
					probe(from, target)
				}
				// Join or rejoin: exchange full lists with a random member.
				other := random.IntN(count)
				if other != from && reachable(from, other) {
					members[from].table.Merge(members[other].table.View().All, now)
					members[other].table.Merge(members[from].table.View().All, now)
				}
			}
		}
		for range rapid.IntRange(0, 40).Draw(draw, "rounds") {
			index := rapid.IntRange(0, count-1).Draw(draw, "member")
			switch rapid.IntRange(0, 5).Draw(draw, "event") {
			case 0:
				members[index].up = false
			case 1:
				if !members[index].up {
					members[index] = start(index, members[index].starts+1)
				}
			case 2:
				cutOff = index
			case 3:
				cutOff = -1
			}
			round()
		}
		cutOff = -1
		for range 60 {
			round()
		}
		for from, member := range members {
			if !member.up {
				continue
			}
			for to, other := range members {
				seen := false
				for _, live := range member.table.View().Live {
					seen = seen || live.NodeID == fmt.Sprint(to) && live.State == StateAlive
				}
				must.Eq(draw, other.up, seen, must.Sprintf("member %d's view of member %d", from, to))
			}
		}
	})
}

func TestASuspectRefutesAndAnOldLifeDoesNotWin(t *testing.T) {
	now := time.Unix(0, 0)
	own := NewTable(Member{NodeID: "a", Address: "a", Incarnation: 5}, testSettings, now)
	own.Merge([]Member{{NodeID: "a", Address: "a", Incarnation: 5, State: StateSuspect}}, now)
	must.Eq(t, 6, own.Self().Incarnation)
	must.Eq(t, StateAlive, own.Self().State)

	other := NewTable(Member{NodeID: "b", Address: "b"}, testSettings, now)
	other.Merge([]Member{{NodeID: "a", Address: "a", Incarnation: 5, State: StateDead}}, now)
	other.Merge([]Member{{NodeID: "a", Address: "a", Incarnation: 4, State: StateAlive}}, now)
	must.Len(t, 1, other.View().Live)
	other.Merge([]Member{own.Self()}, now)
	must.Len(t, 2, other.View().Live)
}

func TestALeavingMemberIsNotRevived(t *testing.T) {
	now := time.Unix(0, 0)
	own := NewTable(Member{NodeID: "a", Address: "a", Incarnation: 5}, testSettings, now)
	own.Leave(now)
	own.Merge([]Member{{NodeID: "a", Address: "a", Incarnation: 5, State: StateDead}}, now)
	must.Eq(t, StateLeft, own.Self().State)
}

func TestANodeInDoubtIsPatient(t *testing.T) {
	var local health
	must.Eq(t, time.Second, local.scale(time.Second))
	local.record(false)
	local.record(false)
	must.Eq(t, 3*time.Second, local.scale(time.Second))
	var probed int
	for range 9 {
		if local.shouldProbe() {
			probed++
		}
	}
	must.Eq(t, 3, probed, must.Sprint("a score of 2 probes in every third tick"))
	for range 20 {
		local.record(false)
	}
	must.Eq(t, (1+maxHealthScore)*time.Second, local.scale(time.Second))
	for range maxHealthScore {
		local.record(true)
	}
	must.Eq(t, time.Second, local.scale(time.Second))
}
