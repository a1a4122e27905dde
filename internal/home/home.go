// Package home controls replicas. Each replica has one home node, which polls it, publishes its load, and orders it to load the
// versions that the configuration requires.
package home

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/engine"
	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/loads"
	"github.com/thistlewalk/thistlewalk/internal/machines"
	"github.com/thistlewalk/thistlewalk/internal/membership"
	"github.com/thistlewalk/thistlewalk/internal/placement"
)

// Settings are the settings of a home.
type Settings struct {
	// SettleTime is how long after its start a node waits before it polls replicas. Before it has learned the other members, it
	// would consider itself the home of every replica.
	SettleTime time.Duration
	// CallTimeout bounds a poll or an order.
	CallTimeout time.Duration
	// FailedAfter is the number of consecutive failed polls after which a replica is published as failed.
	FailedAfter int
	// OrderRetry is the minimum interval between two equal orders to a replica.
	OrderRetry time.Duration
	// OrderAttempts is the number of equal orders after which an error is logged. Later retries are less frequent.
	OrderAttempts int
}

// Home controls the replicas whose home is this node.
type Home struct {
	settings Settings
	nodeID   string
	zone     string
	client   engine.Client
	loads    *loads.Table
	members  *membership.Table
	list     func() *machines.List
	document func() *experiment.Document
	announce func([]*loads.Digest)
	isolated func() bool
	logger   *log.Logger
	started  time.Time

	mu          sync.Mutex
	replicas    map[string]*replica
	view        *membership.View // membership of the last assignment
	machineList *machines.List   // machine list of the last assignment
}

// replica is the state of a replica whose home is this node. It is not guarded by mu: only one tick at a time uses it.
type replica struct {
	machine  machines.Machine
	failures int
	fence    engine.Fence
	orders   map[string]*orderState // by policy
}

type orderState struct {
	order    engine.Order
	sent     time.Time
	attempts int
	reported bool
}

// New returns a home without replicas. announce sends digests whose flags have changed to the other nodes. isolated reports
// whether the node reaches too few others to know which replicas it is the home of.
func New(settings Settings, nodeID, zone string, client engine.Client, table *loads.Table, members *membership.Table,
	list func() *machines.List, document func() *experiment.Document, announce func([]*loads.Digest), isolated func() bool, logger *log.Logger) *Home {
	return &Home{settings: settings, nodeID: nodeID, zone: zone, client: client, loads: table, members: members,
		list: list, document: document, announce: announce, isolated: isolated, logger: logger, started: time.Now(), replicas: make(map[string]*replica)}
}

// Tick polls all replicas concurrently and waits until they have answered.
func (home *Home) Tick(ctx context.Context) {
	if time.Since(home.started) < home.settings.SettleTime || home.isolated() {
		return
	}
	var pending sync.WaitGroup
	for _, found := range home.assigned() {
		pending.Go(func() { home.poll(ctx, found) })
	}
	pending.Wait()
}

// Assignments returns the home node of each replica on the machine list, given the current members.
func (home *Home) Assignments() map[string]string {
	nodes := make(map[string][]string) // identifiers of live nodes by zone
	var everywhere []string
	for _, member := range home.members.View().Live {
		nodes[member.Zone] = append(nodes[member.Zone], member.NodeID)
		everywhere = append(everywhere, member.NodeID)
	}
	assignments := make(map[string]string)
	for _, machine := range home.list().Machines {
		if machine.Role != machines.RoleEngine {
			continue
		}
		candidates := nodes[machine.Zone]
		if len(candidates) == 0 {
			candidates = everywhere
		}
		assignments[machine.ID] = placement.Best(machine.ID, candidates)
	}
	return assignments
}

// assigned returns the replicas whose home is this node. It reassigns them only if the members or the machine list have changed.
func (home *Home) assigned() []*replica {
	view, list := home.members.View(), home.list()
	home.mu.Lock()
	defer home.mu.Unlock()
	if home.view != view || home.machineList != list {
		home.reassign()
		home.view, home.machineList = view, list
	}
	assigned := make([]*replica, 0, len(home.replicas))
	for _, found := range home.replicas {
		assigned = append(assigned, found)
	}
	return assigned
}

// reassign must be called with mu held.
func (home *Home) reassign() {
	assignments := home.Assignments()
	kept := make(map[string]*replica)
	for _, machine := range home.list().Machines {
		if assignments[machine.ID] != home.nodeID {
			continue
		}
		found, ok := home.replicas[machine.ID]
		if !ok {
			found = &replica{orders: make(map[string]*orderState)}
		}
		found.machine = machine
		kept[machine.ID] = found
	}
	home.replicas = kept
}

// poll polls a replica, publishes its load and sends the orders that are due.
func (home *Home) poll(ctx context.Context, target *replica) {
	report, err := home.client.Report(ctx, target.machine.Address, home.settings.CallTimeout)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		target.failures++
		home.publishFailure(target)
		return
	}
	target.failures = 0
	home.publish(target, report)
	if target.machine.Leaving || report.Leaving {
		return
	}
	if home.order(ctx, target, report) {
		if report, err = home.client.Report(ctx, target.machine.Address, home.settings.CallTimeout); err == nil {
			home.publish(target, report)
		}
	}
}

func (home *Home) publishFailure(target *replica) {
	if target.failures < home.settings.FailedAfter {
		return
	}
	digest := loads.Digest{ID: target.machine.ID, Address: target.machine.Address, Zone: target.machine.Zone,
		Sequence: sequence(), Leaving: target.machine.Leaving, Failed: true}
	home.publishDigest(digest)
}

// publishDigest stores a digest, and announces it to the other nodes immediately if its flags have changed.
func (home *Home) publishDigest(digest loads.Digest) {
	if home.loads.Offer(digest, time.Now()) == loads.ChangeFlags {
		home.announce([]*loads.Digest{&digest})
	}
}

func (home *Home) publish(target *replica, report engine.Report) {
	versions := make([]*controlv1.HeldVersion, 0, len(report.Policies))
	for _, version := range report.Policies {
		versions = append(versions, &controlv1.HeldVersion{Policy: version.Policy, Active: version.Active, Staged: version.Staged})
	}
	slices.SortFunc(versions, func(a, b *controlv1.HeldVersion) int { return strings.Compare(a.GetPolicy(), b.GetPolicy()) })
	digest := loads.Digest{ID: target.machine.ID, Address: target.machine.Address, Zone: target.machine.Zone,
		Sequence: sequence(), Running: report.Running, Queued: report.Queued, Capacity: report.Capacity,
		Leaving: target.machine.Leaving || report.Leaving, Held: versions}
	home.publishDigest(digest)
}

func sequence() uint64 { return uint64(time.Now().UnixMilli()) }

// order sends the orders that are due, and reports whether the replica accepted any.
func (home *Home) order(ctx context.Context, target *replica, report engine.Report) bool {
	if !home.acquireFence(ctx, target, report) {
		return false
	}
	accepted := false
	for _, policy := range home.document().Policies {
		next, due := nextOrder(policy, report)
		if due && home.send(ctx, target, next) {
			accepted = true
		}
	}
	return accepted
}

// acquireFence makes this node the holder of the replica's fence. A later term prevents a former home from giving orders.
func (home *Home) acquireFence(ctx context.Context, target *replica, report engine.Report) bool {
	if report.Fence.Holder == home.nodeID {
		target.fence = report.Fence
		return true
	}
	fence := engine.Fence{Term: report.Fence.Term + 1, Holder: home.nodeID, Revision: report.Fence.Revision}
	err := home.client.Order(ctx, target.machine.Address, engine.Order{Fence: fence, Action: engine.ActionHold}, home.settings.CallTimeout)
	if err != nil {
		home.logger.Info("fence not taken", "replica", target.machine.ID, "term", fence.Term, "error", err)
		return false
	}
	target.fence = fence
	return true
}

// nextOrder returns the next order that brings a replica closer to the configuration of a policy, and whether an order is due.
func nextOrder(policy experiment.Policy, report engine.Report) (engine.Order, bool) {
	loaded := engine.LoadedPolicy{}
	for _, candidate := range report.Policies {
		if candidate.Policy == policy.Name {
			loaded = candidate
		}
	}
	order := engine.Order{Policy: policy.Name}
	switch {
	case policy.State == experiment.PolicyRetired:
		order.Action = engine.ActionDiscard
		return order, loaded.Active != 0 || loaded.Staged != 0
	case loaded.Active != policy.Target && loaded.Staged == policy.Target:
		order.Action, order.Version = engine.ActionActivate, policy.Target
		return order, true
	case loaded.Active != policy.Target:
		order.Action, order.Version = engine.ActionStage, policy.Target
		return order, true
	case policy.Published > policy.Target && loaded.Staged != policy.Published:
		order.Action, order.Version = engine.ActionStage, policy.Published
		return order, true
	default:
		return order, false
	}
}

// send sends an order unless an equal one was sent within the retry delay.
func (home *Home) send(ctx context.Context, target *replica, order engine.Order) bool {
	state, ok := target.orders[order.Policy]
	if !ok || state.order.Action != order.Action || state.order.Version != order.Version {
		state = &orderState{}
		target.orders[order.Policy] = state
	}
	if time.Since(state.sent) < home.retryDelay(state) {
		return false
	}
	order.Fence.Term, order.Fence.Holder = target.fence.Term, home.nodeID
	order.Fence.Revision = max(home.document().Revision, target.fence.Revision)
	state.order, state.sent = order, time.Now()
	state.attempts++
	err := home.client.Order(ctx, target.machine.Address, order, home.settings.CallTimeout)
	if state.attempts > home.settings.OrderAttempts && !state.reported {
		state.reported = true
		home.logger.Error("replica does not follow its orders", "replica", target.machine.ID, "policy", order.Policy,
			"version", order.Version, "action", order.Action, "attempts", state.attempts, "error", err)
	}
	if err != nil {
		home.logger.Info("order failed", "replica", target.machine.ID, "policy", order.Policy, "version", order.Version,
			"action", order.Action, "fenced", errors.Is(err, engine.ErrFenced), "error", err)
		return false
	}
	return true
}

// slowRetryFactor multiplies the retry delay after OrderAttempts attempts.
const slowRetryFactor = 5

func (home *Home) retryDelay(state *orderState) time.Duration {
	if state.attempts > home.settings.OrderAttempts {
		return home.settings.OrderRetry * slowRetryFactor
	}
	if state.attempts == 0 {
		return 0
	}
	return home.settings.OrderRetry
}

// Replicas returns the number of replicas whose home is this node.
func (home *Home) Replicas() int {
	home.mu.Lock()
	defer home.mu.Unlock()
	return len(home.replicas)
}
