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
	// Serve starts to serve a partition with the recovered registers. It replaces any earlier state of the partition.
	Serve(name partition.Name, log *partition.Log, registers map[string]partition.Register, assignment partition.Assignment) error
	// Stop stops serving a partition.
	Stop(name partition.Name)
}

// Settings are the settings of a Manager.
type Settings struct {
	// SettleTime is how long a node waits after its start before it takes partitions over, so that its membership view
	// is complete by then.
	SettleTime time.Duration
	// WriteTimeout bounds the calls to the replicas of a partition.
	WriteTimeout time.Duration
	// ReplaceAfter is how long a replica on disk may be down before a replica on another node replaces it.
	ReplaceAfter time.Duration
	// LeaseTime is the duration of an owner lease.
	LeaseTime time.Duration
	// HistoryRecoveryTimeout is how long recovery of a claims partition must fail before its registers may be discarded.
	HistoryRecoveryTimeout time.Duration
}

// Manager takes over, repairs and releases the partitions of a node.
type Manager struct {
	settings      Settings
	self          partition.Holder // without ReplicaID, which depends on the kind
	localReplicas *LocalReplicas
	members       *membership.Table
	follower      *configuration.Follower
	service       keyvalue.Client
	handlers      map[partition.Kind]Handler
	transport     twirpTransport
	logger        *log.Logger
	started       time.Time
	// unlisted reports whether the machine list contains nodes, but not the given one.
	unlisted func(nodeID string) bool
	// isolated reports whether this node reaches so few of the listed nodes that it must not take partitions over.
	isolated func() bool

	leasing lock.Lock // guards lease and renewed; held during calls to the key-value service
	lease   keyvalue.LeaseID
	renewed time.Time
	states  map[partition.Name]*state

	mu       sync.Mutex
	serving  map[partition.Name]*partition.Log
	stopping bool
}

// NewManager returns a manager that passes owned partitions to the handler of their kind.
func NewManager(settings Settings, self partition.Holder, localReplicas *LocalReplicas, members *membership.Table, follower *configuration.Follower,
	service keyvalue.Client, directory *peers.Directory, handlers map[partition.Kind]Handler, unlisted func(string) bool, isolated func() bool, logger *log.Logger) *Manager {
	return &Manager{
		settings: settings, self: self, localReplicas: localReplicas, members: members, follower: follower, service: service,
		handlers: handlers, unlisted: unlisted, isolated: isolated, transport: twirpTransport{own: localReplicas, ownID: self.NodeID, directory: directory}, logger: logger,
		started: time.Now(), states: newStates(), leasing: lock.New(), serving: make(map[partition.Name]*partition.Log),
	}
}

// state is kept for each partition between ticks. Only one goroutine at a time uses it.
type state struct {
	missingSince time.Time // when the replica set was first found to need a replacement; zero if it needs none
	failingSince time.Time // start of the first failed recovery since the last successful one; zero if none
}

func newStates() map[partition.Name]*state {
	states := make(map[partition.Name]*state)
	for _, name := range partition.Names() {
		states[name] = &state{}
	}
	return states
}

// Tick reconciles all partitions, and renews the owner lease if this node owns any.
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
	pending.SetLimit(maxConcurrentPartitions)
	for _, name := range partition.Names() {
		pending.Go(func() error {
			if ctx.Err() == nil && manager.reconcile(ctx, table, name, candidates[name.Kind]) {
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

// maxConcurrentPartitions bounds the number of partitions that are reconciled concurrently. It is greater than one so that
// a partition with unresponsive replicas does not block the others.
const maxConcurrentPartitions = 8

// candidates returns the live nodes that can hold a replica of a kind, without nodes that are leaving.
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
	self.ReplicaID = manager.localReplicas.ReplicaID(kind)
	return self
}

// reconcile stops, repairs or takes over a partition as needed, and reports whether this node owns it.
func (manager *Manager) reconcile(ctx context.Context, table *partition.Table, name partition.Name, candidates []partition.Candidate) bool {
	assignment, _ := table.Assignment(name)
	self := manager.selfFor(name.Kind)
	if self.ReplicaID == "" {
		return false
	}
	owned := assignment.Epoch > 0 && assignment.Owner.NodeID == self.NodeID && assignment.Owner.ReplicaID == self.ReplicaID
	current := manager.servedLog(name)
	if current != nil && assignment.Epoch > current.Epoch() {
		manager.stop(name, "a greater epoch is in the table")
		current = nil
	}
	switch {
	case manager.isStopping():
		return owned && current != nil
	case current != nil && current.Epoch() > assignment.Epoch:
		return true // the table does not yet contain this node's takeover
	case owned && current != nil:
		manager.maintain(ctx, assignment, current, candidates)
		return true
	case owned:
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

func (manager *Manager) servedLog(name partition.Name) *partition.Log {
	manager.mu.Lock()
	defer manager.mu.Unlock()
	return manager.serving[name]
}

// stop stops serving a partition if this node serves it.
func (manager *Manager) stop(name partition.Name, reason string) {
	manager.mu.Lock()
	_, serving := manager.serving[name]
	delete(manager.serving, name)
	manager.mu.Unlock()
	if serving {
		manager.handlers[name.Kind].Stop(name)
		manager.logger.Info("partition stopped", "partition", name, "reason", reason)
	}
}

// maintain repairs an owned partition: it recovers the partition after a failed write or when all replicas that missed
// a write are live, and replaces failed replicas.
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

// replacementDue reports whether the replica set must change now: at once if it is too small or a replica in memory has
// failed, and after ReplaceAfter if a replica on disk is down.
func (manager *Manager) replacementDue(assignment partition.Assignment, candidates []partition.Candidate) bool {
	if !partition.NeedsReplacement(assignment, candidates) {
		manager.states[assignment.Name].missingSince = time.Time{}
		return false
	}
	tracked := manager.states[assignment.Name]
	if tracked.missingSince.IsZero() {
		tracked.missingSince = time.Now()
	}
	belowTarget := len(assignment.Replicas) < partition.ReplicationFactor
	return belowTarget || assignment.Name.Kind == partition.KindClaims || time.Since(tracked.missingSince) >= manager.settings.ReplaceAfter
}

// takeOver raises the epoch in the key-value service, recovers the registers from the old replicas to the new ones, records
// the new replicas, and serves. After a crash at any point another node can repeat all of it.
func (manager *Manager) takeOver(ctx context.Context, assignment partition.Assignment, self partition.Holder, candidates []partition.Candidate) {
	if !manager.keepLease(ctx) {
		return // without a lease another node could take the partition over at once
	}
	chosen := partition.ChooseReplicas(assignment.Name, self, assignment.Replicas, candidates)
	chosen = partition.RetainAbsentReplicas(assignment.Name, chosen, assignment.Replicas)
	next := assignment
	next.Epoch++
	next.Owner = self
	if next.Replicas == nil {
		next.Replicas = chosen
	}
	if manager.historyUnrecoverable(assignment, candidates) {
		next.Replicas = nil
		next.HistoryLost = time.Now()
		manager.logger.Error("claim history given up", "partition", assignment.Name, "epoch", next.Epoch)
	}
	if !manager.record(ctx, &next) {
		return
	}
	manager.recover(ctx, next, partition.Recovery{From: next.Replicas, To: chosen})
}

// historyUnrecoverable reports whether the registers of a claims partition are lost: recovery has failed for
// HistoryRecoveryTimeout, and the replicas that may still exist are fewer than a read quorum and fewer than a write
// quorum. It is always false for replicas on disk, since their machines may return. Otherwise an operator ends the steps.
func (manager *Manager) historyUnrecoverable(assignment partition.Assignment, candidates []partition.Candidate) bool {
	since := manager.states[assignment.Name].failingSince
	if since.IsZero() || assignment.Name.Kind != partition.KindClaims || time.Since(since) < manager.settings.HistoryRecoveryTimeout {
		return false
	}
	left := 0
	for _, holder := range assignment.Replicas {
		if !manager.permanentlyGone(holder, candidates) {
			left++
		}
	}
	quorum := min(partition.WriteQuorum(len(assignment.Replicas)), partition.ReadQuorum(len(assignment.Replicas)))
	return left < quorum
}

// permanentlyGone reports whether a replica in memory cannot return: its node is live with another process, or the machine
// list contains nodes but not this one.
func (manager *Manager) permanentlyGone(holder partition.Holder, candidates []partition.Candidate) bool {
	for _, candidate := range candidates {
		if candidate.NodeID == holder.NodeID {
			return candidate.ReplicaID != holder.ReplicaID
		}
	}
	return manager.unlisted(holder.NodeID)
}

// record stores an assignment by compare-and-swap, sets its ServiceRevision, and reports success.
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

// recover recovers the registers, records the replicas if they have changed, and serves the partition.
func (manager *Manager) recover(ctx context.Context, assignment partition.Assignment, recovery partition.Recovery) {
	name, to := assignment.Name, recovery.To
	recovery.Name, recovery.Epoch, recovery.Timeout = name, assignment.Epoch, manager.settings.WriteTimeout
	if manager.servedLog(name) != nil {
		manager.stop(name, "recovery started")
	}
	began := time.Now()
	current, registers, err := partition.Recover(ctx, recovery, manager.transport)
	if err != nil {
		if tracked := manager.states[name]; tracked.failingSince.IsZero() {
			tracked.failingSince = began
		}
		manager.logger.Warn("partition not recovered", "partition", name, "epoch", assignment.Epoch, "error", err)
		return
	}
	if !sameReplicas(assignment.Replicas, to) {
		assignment.Replicas = to
		if !manager.record(ctx, &assignment) {
			return
		}
	}
	if err := manager.handlers[name.Kind].Serve(name, current, registers, assignment); err != nil {
		manager.logger.Error("partition not served", "partition", name, "epoch", assignment.Epoch, "error", err)
		return
	}
	manager.states[name].failingSince = time.Time{}
	manager.mu.Lock()
	manager.serving[name] = current
	manager.mu.Unlock()
	manager.logger.Info("partition served", "partition", name, "epoch", assignment.Epoch, "registers", len(registers),
		"copies", len(to), "milliseconds", time.Since(began).Milliseconds())
	if len(to) == 1 && name.Kind == partition.KindSteps {
		manager.logger.Warn("nothing is replicated: only one sample store is known", "partition", name)
	}
}

func sameReplicas(a, b []partition.Holder) bool {
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

// PartitionCount returns the number of partitions that this node owns or holds a replica in memory of, according to the
// newest table.
func (manager *Manager) PartitionCount() int {
	count := 0
	for _, assignment := range manager.follower.Table().Assignments {
		if assignment.Owner.NodeID == manager.self.NodeID {
			count++
			continue
		}
		for _, holder := range assignment.Replicas {
			if holder.NodeID == manager.self.NodeID && assignment.Name.Kind == partition.KindClaims {
				count++
			}
		}
	}
	return count
}
