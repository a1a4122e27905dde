package ownership

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/thistlewalk/thistlewalk/internal/configuration"
	"github.com/thistlewalk/thistlewalk/internal/keyvalue"
	"github.com/thistlewalk/thistlewalk/internal/lock"
	"github.com/thistlewalk/thistlewalk/internal/membership"
	"github.com/thistlewalk/thistlewalk/internal/partition"
	"github.com/thistlewalk/thistlewalk/internal/peers"
)

// Handler serves the partitions of one kind while this node owns them.
type Handler interface {
	// Serve starts to serve a partition with the registers recovered. It replaces what it served of it before.
	Serve(name partition.Name, log *partition.Log, registers map[string]partition.Register, assignment partition.Assignment) error
	// Stop ends serving.
	Stop(name partition.Name)
}

// Settings of the manager. Times are real time.
type Settings struct {
	// SettleTime is how long after its start a node waits before it takes partitions, so that members know each other.
	SettleTime time.Duration
	// WriteTimeout bounds the wait for a replica.
	WriteTimeout time.Duration
	// ReplaceAfter is how long a copy on disk may be away before another node takes its place.
	ReplaceAfter time.Duration
	// LeaseTime is the life of an owner's lease without renewal.
	LeaseTime time.Duration
	// HistoryPatience is how long a claims partition without a read quorum is tried before its history is given up.
	HistoryPatience time.Duration
}

// Manager decides, at each tick of its actor, what to do with each partition.
type Manager struct {
	settings Settings
	self     partition.Holder // ReplicaID is set by kind
	copies   *Copies
	members  *membership.Table
	follower *configuration.Follower
	service  keyvalue.Client
	handlers map[partition.Kind]Handler
	network  remote
	logger   *log.Logger
	started  time.Time
	// listedGone tells that the machine list has nodes, and not this one.
	listedGone func(nodeID string) bool
	// isolated tells that this node sees so few of the listed nodes that it should leave partitions to others.
	isolated func() bool

	leasing lock.Lock // guards lease and renewed; held over calls to the service
	lease   keyvalue.LeaseID
	renewed time.Time
	states  map[partition.Name]*state

	mu       sync.Mutex
	serving  map[partition.Name]*partition.Log
	stopping bool
}

// NewManager returns a manager; handlers are by kind.
func NewManager(settings Settings, self partition.Holder, copies *Copies, members *membership.Table, follower *configuration.Follower,
	service keyvalue.Client, directory *peers.Directory, handlers map[partition.Kind]Handler, listedGone func(string) bool, isolated func() bool, logger *log.Logger) *Manager {
	return &Manager{
		settings: settings, self: self, copies: copies, members: members, follower: follower, service: service,
		handlers: handlers, listedGone: listedGone, isolated: isolated, network: remote{own: copies, ownID: self.NodeID, directory: directory}, logger: logger,
		started: time.Now(), states: newStates(), leasing: lock.New(), serving: make(map[partition.Name]*partition.Log),
	}
}

// state is what is remembered of one partition between ticks; one goroutine at a time uses it.
type state struct {
	missing time.Time // since when a copy has been away; zero when all are there
	stuck   time.Time // since when recovery has failed; zero when it has not
}

func newStates() map[partition.Name]*state {
	states := make(map[partition.Name]*state)
	for _, name := range partition.Names() {
		states[name] = &state{}
	}
	return states
}

// Tick looks at every partition once.
func (manager *Manager) Tick(ctx context.Context) {
	if time.Since(manager.started) < manager.settings.SettleTime {
		return
	}
	table := manager.follower.Table()
	candidates := map[partition.Kind][]partition.Candidate{
		partition.KindSteps:  manager.candidates(partition.KindSteps),
		partition.KindClaims: manager.candidates(partition.KindClaims),
	}
	var owned atomic.Int64
	var pending errgroup.Group
	pending.SetLimit(partitionsAtOnce)
	for _, name := range partition.Names() {
		pending.Go(func() error {
			if ctx.Err() == nil && manager.one(ctx, table, name, candidates[name.Kind]) {
				owned.Add(1)
			}
			return nil
		})
	}
	_ = pending.Wait() // the functions return no errors
	if owned.Load() > 0 {
		manager.keepLease(ctx)
	}
}

// partitionsAtOnce bounds the partitions that are recovered at a time, so that one whose copies do not answer holds up
// few others.
const partitionsAtOnce = 8

// candidates returns the live nodes that can hold a copy of a kind. A node that is leaving is not among them.
func (manager *Manager) candidates(kind partition.Kind) []partition.Candidate {
	var candidates []partition.Candidate
	for _, member := range manager.members.View().Live {
		holder := partition.Holder{NodeID: member.NodeID, Address: member.Address, Zone: member.Zone}
		if kind == partition.KindSteps {
			holder.ReplicaID = member.StoreID
		} else {
			holder.ReplicaID = MemoryReplicaID(member.NodeID, member.Incarnation)
		}
		if holder.ReplicaID != "" {
			candidates = append(candidates, holder)
		}
	}
	return candidates
}

func (manager *Manager) selfFor(kind partition.Kind) partition.Holder {
	self := manager.self
	self.ReplicaID = manager.copies.ReplicaID(kind)
	return self
}

// one does what a partition needs and reports whether this node owns it.
func (manager *Manager) one(ctx context.Context, table *partition.Table, name partition.Name, candidates []partition.Candidate) bool {
	assignment, _ := table.Assignment(name)
	self := manager.selfFor(name.Kind)
	if self.ReplicaID == "" {
		return false
	}
	mine := assignment.Epoch > 0 && assignment.Owner.NodeID == self.NodeID && assignment.Owner.ReplicaID == self.ReplicaID
	current := manager.current(name)
	if current != nil && assignment.Epoch > current.Epoch() {
		manager.stop(name, "a greater epoch is in the table")
		current = nil
	}
	switch {
	case manager.isStopping():
		return mine && current != nil
	case current != nil && current.Epoch() > assignment.Epoch:
		return true // the table has yet to show what this node recorded
	case mine && current != nil:
		manager.maintain(ctx, assignment, current, candidates)
		return true
	case mine:
		manager.takeOver(ctx, assignment, self, candidates)
		return true
	case manager.isolated():
	case partition.NeedsTakeover(*table, assignment, candidates):
		successor, ok := partition.Successor(assignment, candidates)
		if ok && successor.NodeID == self.NodeID {
			manager.takeOver(ctx, assignment, self, candidates)
		}
	}
	return false
}

func (manager *Manager) isStopping() bool {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	return manager.stopping
}

func (manager *Manager) current(name partition.Name) *partition.Log {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	return manager.serving[name]
}

// stop ends serving a partition.
func (manager *Manager) stop(name partition.Name, reason string) {
	manager.mu.Lock()
	_, was := manager.serving[name]
	delete(manager.serving, name)
	manager.mu.Unlock()
	if was {
		manager.handlers[name.Kind].Stop(name)
		manager.logger.Info("partition stopped", "partition", name, "reason", reason)
	}
}

// maintain repairs an owned partition: it recovers after a failed write, fills copies that missed writes, and replaces
// copies that are gone.
func (manager *Manager) maintain(ctx context.Context, assignment partition.Assignment, current *partition.Log, candidates []partition.Candidate) {
	name := assignment.Name
	failure := current.Failed()
	switch {
	case errors.Is(failure, partition.ErrDeposed):
		manager.stop(name, "a replica promised a greater epoch")
	case failure != nil, len(current.Behind()) > 0 && manager.allAlive(current.Behind(), candidates):
		sequence, err := current.Retire(ctx)
		if err != nil {
			return
		}
		manager.recover(ctx, assignment, partition.Recovery{From: current.Replicas(), To: current.Replicas(), AfterSequence: sequence})
	case manager.replacementDue(assignment, candidates):
		manager.takeOver(ctx, assignment, manager.selfFor(name.Kind), candidates)
	}
}

func (manager *Manager) allAlive(holders []partition.Holder, candidates []partition.Candidate) bool {
	for _, holder := range holders {
		found := false
		for _, candidate := range candidates {
			found = found || candidate.ReplicaID == holder.ReplicaID
		}
		if !found {
			return false
		}
	}
	return true
}

// replacementDue reports whether a copy has been away for long enough. Copies in memory are gone at once.
func (manager *Manager) replacementDue(assignment partition.Assignment, candidates []partition.Candidate) bool {
	if !partition.NeedsReplacement(assignment, candidates) {
		manager.states[assignment.Name].missing = time.Time{}
		return false
	}
	remembered := manager.states[assignment.Name]
	if remembered.missing.IsZero() {
		remembered.missing = time.Now()
	}
	grown := len(assignment.Replicas) < partition.ReplicasWanted
	return grown || assignment.Name.Kind == partition.KindClaims || time.Since(remembered.missing) >= manager.settings.ReplaceAfter
}

// takeOver raises the epoch in the service, recovers from the old copies onto the new ones, records the new copies, and
// serves. Each stage can be repeated by any node after a crash.
func (manager *Manager) takeOver(ctx context.Context, assignment partition.Assignment, self partition.Holder, candidates []partition.Candidate) {
	if !manager.keepLease(ctx) {
		return // without a lease the others would take the partition over at once
	}
	chosen := partition.ChooseReplicas(assignment.Name, self, assignment.Replicas, candidates)
	chosen = partition.RetainAbsentReplicas(assignment.Name, chosen, assignment.Replicas)
	next := assignment
	next.Epoch++
	next.Owner = self
	if next.Replicas == nil {
		next.Replicas = chosen
	}
	if manager.historyGivenUp(assignment, candidates) {
		next.Replicas = nil
		next.HistoryLost = time.Now()
		manager.logger.Error("claim history given up", "partition", assignment.Name, "epoch", next.Epoch)
	}
	if !manager.record(ctx, &next) {
		return
	}
	manager.recover(ctx, next, partition.Recovery{From: next.Replicas, To: chosen})
}

// historyGivenUp reports whether a claims partition can never recover: it has failed for long enough, and so many of its
// copies are surely gone that neither a read quorum nor a write quorum of an earlier owner is left. Copies on disk are
// never given up: their machines come back, or an operator ends the steps.
func (manager *Manager) historyGivenUp(assignment partition.Assignment, candidates []partition.Candidate) bool {
	since := manager.states[assignment.Name].stuck
	if since.IsZero() || assignment.Name.Kind != partition.KindClaims || time.Since(since) < manager.settings.HistoryPatience {
		return false
	}
	left := 0
	for _, holder := range assignment.Replicas {
		if !manager.surelyGone(holder, candidates) {
			left++
		}
	}
	quorum := min(partition.WriteQuorum(len(assignment.Replicas)), partition.ReadQuorum(len(assignment.Replicas)))
	return left < quorum
}

// surelyGone reports whether a process that held a copy in memory cannot come back: its node lives another life, or the
// platform lists nodes and not this one.
func (manager *Manager) surelyGone(holder partition.Holder, candidates []partition.Candidate) bool {
	for _, candidate := range candidates {
		if candidate.NodeID == holder.NodeID {
			return candidate.ReplicaID != holder.ReplicaID
		}
	}
	return manager.listedGone(holder.NodeID)
}

// record stores an assignment by compare-and-swap and updates its service revision.
func (manager *Manager) record(ctx context.Context, assignment *partition.Assignment) bool {
	content, err := json.Marshal(assignment)
	if err != nil {
		manager.logger.Error("partition not recorded", "partition", assignment.Name, "error", err)
		return false
	}
	revision, err := manager.service.CompareAndSwap(ctx, keyvalue.Swap{
		Key: configuration.PartitionPrefix + assignment.Name.String(), Value: content, Expected: assignment.ServiceRevision,
	})
	if errors.Is(err, keyvalue.ErrConflict) {
		manager.logger.Debug("partition taken by another node", "partition", assignment.Name, "epoch", assignment.Epoch)
		return false
	}
	if err != nil {
		manager.logger.Warn("partition not recorded", "partition", assignment.Name, "epoch", assignment.Epoch, "error", err)
		return false
	}
	assignment.ServiceRevision = revision
	return true
}

// recover collects the registers, writes them to the copies that are to hold them, and serves.
func (manager *Manager) recover(ctx context.Context, assignment partition.Assignment, recovery partition.Recovery) {
	name, to := assignment.Name, recovery.To
	recovery.Name, recovery.Epoch, recovery.Timeout = name, assignment.Epoch, manager.settings.WriteTimeout
	if manager.current(name) != nil {
		manager.stop(name, "recovers")
	}
	began := time.Now()
	current, registers, err := partition.Recover(ctx, recovery, manager.network)
	if err != nil {
		if remembered := manager.states[name]; remembered.stuck.IsZero() {
			remembered.stuck = began
		}
		manager.logger.Warn("partition not recovered", "partition", name, "epoch", assignment.Epoch, "error", err)
		return
	}
	if !sameCopies(assignment.Replicas, to) {
		assignment.Replicas = to
		if !manager.record(ctx, &assignment) {
			return
		}
	}
	if err := manager.handlers[name.Kind].Serve(name, current, registers, assignment); err != nil {
		manager.logger.Error("partition not served", "partition", name, "epoch", assignment.Epoch, "error", err)
		return
	}
	manager.states[name].stuck = time.Time{}
	manager.mu.Lock()
	manager.serving[name] = current
	manager.mu.Unlock()
	manager.logger.Info("partition served", "partition", name, "epoch", assignment.Epoch, "registers", len(registers),
		"copies", len(to), "milliseconds", time.Since(began).Milliseconds())
	if len(to) == 1 && name.Kind == partition.KindSteps {
		manager.logger.Warn("nothing is replicated: only one sample store is known", "partition", name)
	}
}

func sameCopies(a, b []partition.Holder) bool {
	if len(a) != len(b) {
		return false
	}
	for index := range a {
		if a[index] != b[index] {
			return false
		}
	}
	return true
}

// Held returns how many partitions this node owns, or holds a copy in memory of, by the newest table.
func (manager *Manager) Held() int {
	held := 0
	for _, assignment := range manager.follower.Table().Assignments {
		if assignment.Owner.NodeID == manager.self.NodeID {
			held++
			continue
		}
		for _, holder := range assignment.Replicas {
			if holder.NodeID == manager.self.NodeID && assignment.Name.Kind == partition.KindClaims {
				held++
			}
		}
	}
	return held
}
