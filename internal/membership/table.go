// Package membership maintains the list of nodes by gossip: random probes, indirect probes, suspicion and incarnations.
// Table holds the state without any I/O; Prober runs the protocol.
// Source: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol",
// DSN 2002.
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

// State is the assumed state of a member. Of two updates with the same incarnation, the one with the greater state wins.
type State int

// The states of a member.
const (
	StateAlive   State = 1
	StateSuspect State = 2
	StateLeft    State = 3
	StateDead    State = 4
)

// Member describes one node. An update about a node is a Member too.
type Member struct {
	NodeID      string
	Address     string
	Zone        string
	Region      string
	Incarnation uint64
	State       State
	StoreID     string
}

// supersedes reports whether this update replaces the known state of the member.
func (member Member) supersedes(known Member) bool {
	if member.Incarnation != known.Incarnation {
		return member.Incarnation > known.Incarnation
	}
	return member.State > known.State
}

// Live reports whether the member may be given work.
func (member Member) Live() bool { return member.State == StateAlive || member.State == StateSuspect }

// Settings are the parameters of a Table.
type Settings struct {
	// SuspicionTime is how long a suspect has to refute the suspicion before it is declared dead.
	SuspicionTime time.Duration
	// ForgetTime is the time for which a dead or left member is remembered, so that a stale update does not revive it.
	ForgetTime time.Duration
	// RetransmitFactor is multiplied by the binary logarithm of the member count to get the number of transmissions of
	// each update.
	RetransmitFactor int
	// ChangesPerMessage bounds the number of updates in one message.
	ChangesPerMessage int
}

type entry struct {
	member        Member
	since         time.Time
	transmissions int // of the current update
	pending       bool
}

// Table is one node's list of members. It is safe for concurrent use. Invariant: until Leave is called, the entry of
// this node is alive and has the greatest incarnation seen for this node.
type Table struct {
	mu          sync.Mutex
	settings    Settings
	self        Member
	leaving     bool
	entries     map[string]*entry
	zoneRound   probeRound // members of this node's zone
	remoteRound probeRound // members of other zones
	probes      int
	view        *View // cached; nil after a change
	counters    Counters
}

// NewTable returns a table that contains only self. The incarnation of self must exceed that of every earlier process of
// this node.
func NewTable(self Member, settings Settings, now time.Time) *Table {
	self.State = StateAlive
	table := &Table{settings: settings, self: self, entries: make(map[string]*entry)}
	table.entries[self.NodeID] = &entry{member: self, since: now, pending: true}
	return table
}

// Self returns the entry of this node.
func (table *Table) Self() Member {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.entries[table.self.NodeID].member
}

// Merge applies updates. An update that contradicts the entry of this node is refuted with a greater incarnation.
func (table *Table) Merge(updates []Member, now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	for _, member := range updates {
		table.merge(member, now)
	}
}

// merge applies one update. The caller must hold mu.
func (table *Table) merge(member Member, now time.Time) {
	if member.NodeID == table.self.NodeID {
		table.refute(member, now)
		return
	}
	known, ok := table.entries[member.NodeID]
	if ok && !member.supersedes(known.member) {
		return
	}
	if !ok && !member.Live() {
		// Record an unknown member that is dead or left too: an older update that declares it alive may still arrive.
		table.entries[member.NodeID] = &entry{member: member, since: now, pending: true}
		table.view = nil
		return
	}
	table.put(member, now)
}

// put stores an update and queues it for transmission. The caller must hold mu.
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

// refute handles an update about this node. The caller must hold mu.
func (table *Table) refute(update Member, now time.Time) {
	own := table.entries[table.self.NodeID]
	if table.leaving || !update.supersedes(own.member) {
		return
	}
	if update.State == StateDead {
		table.counters.RefutedDeaths++
	}
	own.member.Incarnation = update.Incarnation + 1
	own.since, own.transmissions, own.pending = now, 0, true
	table.view = nil
}

// Suspect marks a member as suspect after a failed probe. It does nothing if the incarnation is stale or the member is
// not alive.
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

// Leave marks this node as left; the update spreads like any other.
func (table *Table) Leave(now time.Time) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.leaving = true
	own := table.entries[table.self.NodeID]
	own.member.State = StateLeft
	own.since, own.transmissions, own.pending = now, 0, true
	table.view = nil
}

// Expire declares suspects dead that did not refute in time, and removes members whose ForgetTime is over. It returns
// the newly dead members. SuspicionTime is multiplied by multiplier.
func (table *Table) Expire(now time.Time, multiplier time.Duration) []Member {
	table.mu.Lock()
	defer table.mu.Unlock()
	var dead []Member
	for nodeID, known := range table.entries {
		age := now.Sub(known.since)
		switch {
		case known.member.State == StateSuspect && age >= multiplier*table.settings.SuspicionTime:
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

// Changes returns the pending updates for one message, those with the fewest transmissions first, and counts them as
// transmitted.
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
		return cmp.Or(cmp.Compare(a.transmissions, b.transmissions), strings.Compare(a.member.NodeID, b.member.NodeID))
	})
	limit := table.settings.RetransmitFactor * int(math.Ceil(math.Log2(float64(len(table.entries)+1))))
	changes := make([]Member, 0, min(len(pending), table.settings.ChangesPerMessage))
	for _, known := range pending[:min(len(pending), table.settings.ChangesPerMessage)] {
		changes = append(changes, known.member)
		known.transmissions++
		known.pending = known.transmissions < limit
	}
	return changes
}

// probeRound is one pass over a set of members. The order is shuffled again for each pass.
type probeRound struct {
	order    []string
	position int
}

// One in remoteProbeInterval probes goes to a member of another zone. The others stay in the zone, so that a node needs
// few connections and the members of a zone monitor each other.
const remoteProbeInterval = 4

// NextTarget returns the next member to probe, or false if there is no other live member. Each pass over the zone
// returns each live member once.
func (table *Table) NextTarget(random *rand.Rand) (Member, bool) {
	table.mu.Lock()
	defer table.mu.Unlock()
	table.probes++
	rounds := []*probeRound{&table.zoneRound, &table.remoteRound}
	if table.probes%remoteProbeInterval == 0 {
		rounds = []*probeRound{&table.remoteRound, &table.zoneRound}
	}
	for _, current := range rounds {
		if member, ok := table.nextInRound(current, current == &table.zoneRound, random); ok {
			return member, true
		}
	}
	return Member{}, false
}

// nextInRound returns the next live member of a round, and starts a new round at the end. The caller must hold mu.
func (table *Table) nextInRound(current *probeRound, ownZone bool, random *rand.Rand) (Member, bool) {
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

// shuffle starts a new round. The caller must hold mu.
func (table *Table) shuffle(current *probeRound, ownZone bool, random *rand.Rand) {
	current.order = current.order[:0]
	current.position = 0
	for nodeID, known := range table.entries {
		inOwnZone := known.member.Zone == table.self.Zone
		if nodeID != table.self.NodeID && known.member.Live() && inOwnZone == ownZone {
			current.order = append(current.order, nodeID)
		}
	}
	slices.Sort(current.order)
	random.Shuffle(len(current.order), func(i, j int) { current.order[i], current.order[j] = current.order[j], current.order[i] })
}

// View is a snapshot of the member list. It must not be modified.
type View struct {
	// All holds every remembered member, ordered by identifier.
	All []Member
	// Live holds the members that may be given work, ordered by identifier.
	Live []Member
	// Digest is equal for equal lists of live members.
	Digest uint64
}

// View returns the current snapshot.
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

// Counters are totals since the process started.
type Counters struct {
	// Suspects and Deaths count the suspicions and deaths of other members that this table has recorded.
	Suspects, Deaths int
	// RefutedDeaths counts the updates that declared this node dead while it was alive.
	RefutedDeaths int
}

func (table *Table) Counters() Counters {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.counters
}
