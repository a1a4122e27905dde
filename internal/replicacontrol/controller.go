// Package replicacontrol controls replicas. Each replica is assigned to one node, its home, which polls it, publishes its load,
// and orders it to load the versions that the configuration requires.
package replicacontrol

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
	"github.com/thistlewalk/thistlewalk/internal/machines"
	"github.com/thistlewalk/thistlewalk/internal/membership"
	"github.com/thistlewalk/thistlewalk/internal/placement"
	"github.com/thistlewalk/thistlewalk/internal/replicaload"
)

// Settings are the settings of a Controller.
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

// Controller controls the replicas whose home is this node.
type Controller struct {
	settings Settings
	nodeID   string
	zone     string
	client   engine.Client
	loads    *replicaload.Table
	members  *membership.Table
	list     func() *machines.List
	document func() *experiment.Document
	announce func([]*replicaload.Digest)
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

// New returns a controller without replicas. announce sends digests whose flags have changed to the other nodes. isolated reports
// whether the node reaches too few others to know which replicas it is the home of.
func New(settings Settings, nodeID, zone string, client engine.Client, table *replicaload.Table, members *membership.Table,
	list func() *machines.List, document func() *experiment.Document, announce func([]*replicaload.Digest), isolated func() bool, logger *log.Logger) *Controller {
	return &Controller{settings: settings, nodeID: nodeID, zone: zone, client: client, loads: table, members: members,
		list: list, document: document, announce: announce, isolated: isolated, logger: logger, started: time.Now(), replicas: make(map[string]*replica)}
}

// Tick polls all replicas concurrently and waits until they have answered.
func (controller *Controller) Tick(ctx context.Context) {
	if time.Since(controller.started) < controller.settings.SettleTime || controller.isolated() {
		return
	}
	var pending sync.WaitGroup
	for _, found := range controller.assigned() {
		pending.Go(func() { controller.poll(ctx, found) })
	}
	pending.Wait()
}

// Assignments returns the home node of each replica on the machine list, given the current members.
func (controller *Controller) Assignments() map[string]string {
	nodes := make(map[string][]string) // identifiers of live nodes by zone
	var everywhere []string
	for _, member := range controller.members.View().Live {
		nodes[member.Zone] = append(nodes[member.Zone], member.NodeID)
		everywhere = append(everywhere, member.NodeID)
	}
	assignments := make(map[string]string)
	for _, machine := range controller.list().Machines {
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
func (controller *Controller) assigned() []*replica {
	view, list := controller.members.View(), controller.list()
	controller.mu.Lock()
	defer controller.mu.Unlock()
	if controller.view != view || controller.machineList != list {
		controller.reassign()
		controller.view, controller.machineList = view, list
	}
	assigned := make([]*replica, 0, len(controller.replicas))
	for _, found := range controller.replicas {
		assigned = append(assigned, found)
	}
	return assigned
}

// reassign must be called with mu held.
func (controller *Controller) reassign() {
	assignments := controller.Assignments()
	kept := make(map[string]*replica)
	for _, machine := range controller.list().Machines {
		if assignments[machine.ID] != controller.nodeID {
			continue
		}
		found, ok := controller.replicas[machine.ID]
		if !ok {
			found = &replica{orders: make(map[string]*orderState)}
		}
		found.machine = machine
		kept[machine.ID] = found
	}
	controller.replicas = kept
}

// poll polls a replica, publishes its load and sends the orders that are due.
func (controller *Controller) poll(ctx context.Context, target *replica) {
	report, err := controller.client.Report(ctx, target.machine.Address, controller.settings.CallTimeout)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		target.failures++
		controller.publishFailure(target)
		return
	}
	target.failures = 0
	controller.publish(target, report)
	if target.machine.Leaving || report.Leaving {
		return
	}
	if controller.order(ctx, target, report) {
		if report, err = controller.client.Report(ctx, target.machine.Address, controller.settings.CallTimeout); err == nil {
			controller.publish(target, report)
		}
	}
}

func (controller *Controller) publishFailure(target *replica) {
	if target.failures < controller.settings.FailedAfter {
		return
	}
	digest := replicaload.Digest{ID: target.machine.ID, Address: target.machine.Address, Zone: target.machine.Zone,
		Sequence: sequence(), Leaving: target.machine.Leaving, Failed: true}
	controller.publishDigest(digest)
}

// publishDigest stores a digest, and announces it to the other nodes immediately if its flags have changed.
func (controller *Controller) publishDigest(digest replicaload.Digest) {
	if controller.loads.Offer(digest, time.Now()) == replicaload.ChangeFlags {
		controller.announce([]*replicaload.Digest{&digest})
	}
}

func (controller *Controller) publish(target *replica, report engine.Report) {
	versions := make([]*controlv1.HeldVersion, 0, len(report.Policies))
	for _, version := range report.Policies {
		versions = append(versions, &controlv1.HeldVersion{Policy: version.Policy, Active: version.Active, Staged: version.Staged})
	}
	slices.SortFunc(versions, func(a, b *controlv1.HeldVersion) int { return strings.Compare(a.GetPolicy(), b.GetPolicy()) })
	digest := replicaload.Digest{ID: target.machine.ID, Address: target.machine.Address, Zone: target.machine.Zone,
		Sequence: sequence(), Running: report.Running, Queued: report.Queued, Capacity: report.Capacity,
		Leaving: target.machine.Leaving || report.Leaving, Held: versions}
	controller.publishDigest(digest)
}

func sequence() uint64 { return uint64(time.Now().UnixMilli()) }

// order sends the orders that are due, and reports whether the replica accepted any.
func (controller *Controller) order(ctx context.Context, target *replica, report engine.Report) bool {
	if !controller.acquireFence(ctx, target, report) {
		return false
	}
	accepted := false
	for _, policy := range controller.document().Policies {
		next, due := nextOrder(policy, report)
		if due && controller.send(ctx, target, next) {
			accepted = true
		}
	}
	return accepted
}

// acquireFence makes this node the holder of the replica's fence. A later term prevents a former home from giving orders.
func (controller *Controller) acquireFence(ctx context.Context, target *replica, report engine.Report) bool {
	if report.Fence.Holder == controller.nodeID {
		target.fence = report.Fence
		return true
	}
	fence := engine.Fence{Term: report.Fence.Term + 1, Holder: controller.nodeID, Revision: report.Fence.Revision}
	err := controller.client.Order(ctx, target.machine.Address, engine.Order{Fence: fence, Action: engine.ActionHold}, controller.settings.CallTimeout)
	if err != nil {
		controller.logger.Info("fence not taken", "replica", target.machine.ID, "term", fence.Term, "error", err)
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
func (controller *Controller) send(ctx context.Context, target *replica, order engine.Order) bool {
	state, ok := target.orders[order.Policy]
	if !ok || state.order.Action != order.Action || state.order.Version != order.Version {
		state = &orderState{}
		target.orders[order.Policy] = state
	}
	if time.Since(state.sent) < controller.retryDelay(state) {
		return false
	}
	order.Fence.Term, order.Fence.Holder = target.fence.Term, controller.nodeID
	order.Fence.Revision = max(controller.document().Revision, target.fence.Revision)
	state.order, state.sent = order, time.Now()
	state.attempts++
	err := controller.client.Order(ctx, target.machine.Address, order, controller.settings.CallTimeout)
	if state.attempts > controller.settings.OrderAttempts && !state.reported {
		state.reported = true
		controller.logger.Error("replica does not follow its orders", "replica", target.machine.ID, "policy", order.Policy,
			"version", order.Version, "action", order.Action, "attempts", state.attempts, "error", err)
	}
	if err != nil {
		controller.logger.Info("order failed", "replica", target.machine.ID, "policy", order.Policy, "version", order.Version,
			"action", order.Action, "fenced", errors.Is(err, engine.ErrFenced), "error", err)
		return false
	}
	return true
}

// slowRetryFactor multiplies the retry delay after OrderAttempts attempts.
const slowRetryFactor = 5

func (controller *Controller) retryDelay(state *orderState) time.Duration {
	if state.attempts > controller.settings.OrderAttempts {
		return controller.settings.OrderRetry * slowRetryFactor
	}
	if state.attempts == 0 {
		return 0
	}
	return controller.settings.OrderRetry
}

// Replicas returns the number of replicas whose home is this node.
func (controller *Controller) Replicas() int {
	controller.mu.Lock()
	defer controller.mu.Unlock()
	return len(controller.replicas)
}
