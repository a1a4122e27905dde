// Package membership keeps the list of nodes by random probing with indirect probes, suspicion and incarnations.
// Table is the pure core; Prober runs it.
// Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", DSN 2002.
package membership

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what is believed of a member. At one incarnation the greater state wins.
type State int

// The states of a member.
const (
	StateAlive   State = 1
	StateSuspect State = 2
	StateLeft    State = 3
	StateDead    State = 4
)

// Member is one node as the others know it.
type Member struct {
	NodeID      string
	Address     string
	Zone        string
	Region      string
	Incarnation uint64
	State       State
	StoreID     string
}

// wins reports whether the news replaces what is known.
func (member Member) wins(known Member) bool {
	if member.Incarnation != known.Incarnation {
		return member.Incarnation > known.Incarnation
	}
	return member.State > known.State
}

// Live reports whether the member may be given work.
func (member Member) Live() bool { return member.State == StateAlive || member.State == StateSuspect }

// Settings of the core. Times are real time.
type Settings struct {
	// SuspicionTime is how long a suspect may refute before it is declared dead.
	SuspicionTime time.Duration
	// ForgetTime is how long a dead or left member is remembered, so that old news does not revive it.
	ForgetTime time.Duration
	// RetransmitFactor times the logarithm of the member count is how often each change is passed on.
	RetransmitFactor int
	// ChangesPerMessage bounds the changes on one message.
	ChangesPerMessage int
}

type entry struct {
	member  Member
	since   time.Time
	sent    int // how often the present news was passed on
	pending bool
}

// Table is one node's list of members. It is safe for concurrent use.
// Invariant: the own entry is alive at the greatest incarnation known of it, until Leave.
type Table struct {
	mu       sync.Mutex
	settings Settings
	self     Member
	leaving  bool
	entries  map[string]*entry
	zone     round // the others of the own zone
	far      round // the others of other zones
	probes   int
	view     *View // cached; nil after a change
	counters Counters
}

// NewTable returns a table that knows only self, whose incarnation must be greater than in any earlier life.
func NewTable(self Member, settings Settings, now time.Time) *Table {
	self.State = StateAlive
	table := &Table{settings: settings, self: self, entries: make(map[string]*entry)}
	table.entries[self.NodeID] = &entry{member: self, since: now, pending: true}
	return table
}

// Self returns the own entry.
func (table *Table) Self() Member {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.entries[table.self.NodeID].member
}

// Merge takes news. News that the own node is not alive is refuted with a greater incarnation.
func (table *Table) Merge(news []Member, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, member := range news {
		table.merge(member, now)
	}
}

// merge takes one piece of news; must hold mu.
func (table *Table) merge(member Member, now time.Time) {
	if member.NodeID == table.self.NodeID {
		table.refute(member, now)
		return
	}
	known, ok := table.entries[member.NodeID]
	if ok && !member.wins(known.member) {
		return
	}
	if !ok && !member.Live() {
		// Remember the death too: older news of the member may still be on its way.
		table.entries[member.NodeID] = &entry{member: member, since: now, pending: true}
		table.view = nil
		return
	}
	table.put(member, now)
}

// put stores news and makes it pending; must hold mu.
func (table *Table) put(member Member, now time.Time) {
	switch member.State {
	case StateSuspect:
		table.counters.Suspects++
	case StateDead:
		table.counters.Deaths++
	}
	table.entries[member.NodeID] = &entry{member: member, since: now, pending: true}
	table.view = nil
}

// refute answers news of the own node; must hold mu.
func (table *Table) refute(news Member, now time.Time) {
	own := table.entries[table.self.NodeID]
	if table.leaving || !news.wins(own.member) {
		return
	}
	if news.State == StateDead {
		table.counters.RefutedDeaths++
	}
	own.member.Incarnation = news.Incarnation + 1
	own.since, own.sent, own.pending = now, 0, true
	table.view = nil
}

// Suspect notes that a member did not answer.
func (table *Table) Suspect(nodeID string, incarnation uint64, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	known, ok := table.entries[nodeID]
	if !ok || known.member.State != StateAlive || known.member.Incarnation != incarnation {
		return
	}
	suspect := known.member
	suspect.State = StateSuspect
	table.put(suspect, now)
}

// Leave marks the own node as leaving as planned; the news is passed on like any other.
func (table *Table) Leave(now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.leaving = true
	own := table.entries[table.self.NodeID]
	own.member.State = StateLeft
	own.since, own.sent, own.pending = now, 0, true
	table.view = nil
}

// Expire declares suspects dead whose time is over, and forgets old deaths. It returns the newly dead. patience multiplies
// the time that suspects have; one is none.
func (table *Table) Expire(now time.Time, patience time.Duration) []Member {
	table.mu.Lock()
	defer table.mu.Unlock()
	var dead []Member
	for nodeID, known := range table.entries {
		age := now.Sub(known.since)
		switch {
		case known.member.State == StateSuspect && age >= patience*table.settings.SuspicionTime:
			member := known.member
			member.State = StateDead
			table.put(member, now)
			dead = append(dead, member)
		case !known.member.Live() && nodeID != table.self.NodeID && age >= table.settings.ForgetTime:
			delete(table.entries, nodeID)
			table.view = nil
		}
	}
	return dead
}

// Changes returns pending news for one message, least sent first, and counts it as sent.
func (table *Table) Changes() []Member {
	table.mu.Lock()
	defer table.mu.Unlock()
	var pending []*entry
	for _, known := range table.entries {
		if known.pending {
			pending = append(pending, known)
		}
	}
	slices.SortFunc(pending, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), strings.Compare(a.member.NodeID, b.member.NodeID))
	})
	limit := table.settings.RetransmitFactor * int(math.Ceil(math.Log2(float64(len(table.entries)+1))))
	changes := make([]Member, 0, min(len(pending), table.settings.ChangesPerMessage))
	for _, known := range pending[:min(len(pending), table.settings.ChangesPerMessage)] {
		changes = append(changes, known.member)
		known.sent++
		known.pending = known.sent < limit
	}
	return changes
}

// round is one pass over members in an order that is shuffled anew for each pass.
type round struct {
	order    []string
	position int
}

// farEvery is how many probes there are to one of a member in another zone. Probing stays inside the zone for the rest:
// its few connections are kept, and each zone's members watch each other.
const farEvery = 4

// NextTarget returns the member to probe next: each live other of the zone once a round, and now and then one of another
// zone.
func (table *Table) NextTarget(random *rand.Rand) (Member, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.probes++
	rounds := []*round{&table.zone, &table.far}
	if table.probes%farEvery == 0 {
		rounds = []*round{&table.far, &table.zone}
	}
	for _, current := range rounds {
		if member, ok := table.next(current, current == &table.zone, random); ok {
			return member, true
		}
	}
	return Member{}, false
}

// next returns the next live member of a round, starting it anew at its end; must hold mu.
func (table *Table) next(current *round, ownZone bool, random *rand.Rand) (Member, bool) {
	for range 2 {
		for current.position < len(current.order) {
			nodeID := current.order[current.position]
			current.position++
			if known, ok := table.entries[nodeID]; ok && known.member.Live() {
				return known.member, true
			}
		}
		table.shuffle(current, ownZone, random)
	}
	return Member{}, false
}

// shuffle starts a round; must hold mu.
func (table *Table) shuffle(current *round, ownZone bool, random *rand.Rand) {
	current.order = current.order[:0]
	current.position = 0
	for nodeID, known := range table.entries {
		inside := known.member.Zone == table.self.Zone
		if nodeID != table.self.NodeID && known.member.Live() && inside == ownZone {
			current.order = append(current.order, nodeID)
		}
	}
	slices.Sort(current.order)
	random.Shuffle(len(current.order), func(i, j int) { current.order[i], current.order[j] = current.order[j], current.order[i] })
}

// View is the list of members at one moment; it must not be changed.
type View struct {
	// All is every remembered member by identifier.
	All []Member
	// Live is those that may be given work, by identifier.
	Live []Member
	// Digest is equal for equal lists of live members.
	Digest uint64
}

// View returns the present list.
func (table *Table) View() *View {
	table.mu.Lock()
	defer table.mu.Unlock()
	if table.view != nil {
		return table.view
	}
	view := &View{All: make([]Member, 0, len(table.entries))}
	for _, known := range table.entries {
		view.All = append(view.All, known.member)
	}
	slices.SortFunc(view.All, func(a, b Member) int { return strings.Compare(a.NodeID, b.NodeID) })
	for _, member := range view.All {
		if member.Live() {
			view.Live = append(view.Live, member)
		}
	}
	view.Digest = digest(view.Live)
	table.view = view
	return view
}

func digest(members []Member) uint64 {
	hash := xxhash.New()
	for _, member := range members {
		_, _ = hash.WriteString(member.NodeID)
		_, _ = hash.Write([]byte{0, byte(member.Incarnation), byte(member.Incarnation >> 8), byte(member.Incarnation >> 16), byte(member.Incarnation >> 24)})
	}
	return hash.Sum64()
}

// Counters are totals since the start.
type Counters struct {
	// Suspects and Deaths count the news of others that the table has taken.
	Suspects, Deaths int
	// RefutedDeaths counts how often this node, alive, heard of its own death.
	RefutedDeaths int
}

// Counters returns the totals.
func (table *Table) Counters() Counters {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.counters
}
