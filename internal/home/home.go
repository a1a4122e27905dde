// Package home polls the replicas that this node is the home of, publishes their load, and orders the versions that the
// configuration wants.
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

// Settings of a home.
type Settings struct {
	// SettleTime is how long after its start a node waits before it takes replicas: until it knows the other members, it
	// would take them all.
	SettleTime time.Duration
	// CallTimeout bounds a poll or an order.
	CallTimeout time.Duration
	// FailedAfter is how many polls in a row must fail before a replica is published as failed.
	FailedAfter int
	// OrderRetry is the least time between two equal orders to one replica.
	OrderRetry time.Duration
	// OrderAttempts is how many equal orders may fail before the replica is reported; trying goes on more slowly.
	OrderAttempts int
}

// Home runs the replicas of this node.
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

	mu       sync.Mutex
	replicas map[string]*replica
	view     *membership.View // that replicas were assigned by
	listed   *machines.List   // likewise
}

// replica is the state of one replica that this node is the home of. It is used by one tick at a time.
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

// New returns a home without replicas. announce passes on digests whose flags changed; isolated tells that the node sees
// too few others to know what it is the home of.
func New(settings Settings, nodeID, zone string, client engine.Client, table *loads.Table, members *membership.Table,
	list func() *machines.List, document func() *experiment.Document, announce func([]*loads.Digest), isolated func() bool, logger *log.Logger) *Home {
	return &Home{settings: settings, nodeID: nodeID, zone: zone, client: client, loads: table, members: members,
		list: list, document: document, announce: announce, isolated: isolated, logger: logger, started: time.Now(), replicas: make(map[string]*replica)}
}

// Tick polls every replica once, all at the same time, and waits for the answers.
func (home *Home) Tick(ctx context.Context) {
	if time.Since(home.started) < home.settings.SettleTime || home.isolated() {
		return
	}
	var pending sync.WaitGroup
	for _, found := range home.assigned() {
		pending.Go(func() { home.visit(ctx, found) })
	}
	pending.Wait()
}

// Assignments returns the home node of each replica on the machine list, by the members known now.
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

// assigned returns the replicas whose home is this node. The assignments are worked out anew only when the members or
// the machine list have changed.
func (home *Home) assigned() []*replica {
	view, list := home.members.View(), home.list()
	home.mu.Lock()
	defer home.mu.Unlock()
	if home.view != view || home.listed != list {
		home.reassign()
		home.view, home.listed = view, list
	}
	assigned := make([]*replica, 0, len(home.replicas))
	for _, found := range home.replicas {
		assigned = append(assigned, found)
	}
	return assigned
}

// reassign must hold mu.
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

// visit polls one replica, publishes its load and sends the orders that are due.
func (home *Home) visit(ctx context.Context, found *replica) {
	report, err := home.client.Report(ctx, found.machine.Address, home.settings.CallTimeout)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		found.failures++
		home.publishFailure(found)
		return
	}
	found.failures = 0
	home.publish(found, report)
	if found.machine.Leaving || report.Leaving {
		return
	}
	if home.order(ctx, found, report) {
		if report, err = home.client.Report(ctx, found.machine.Address, home.settings.CallTimeout); err == nil {
			home.publish(found, report)
		}
	}
}

func (home *Home) publishFailure(found *replica) {
	if found.failures < home.settings.FailedAfter {
		return
	}
	digest := loads.Digest{ID: found.machine.ID, Address: found.machine.Address, Zone: found.machine.Zone,
		Sequence: sequence(), Leaving: found.machine.Leaving, Failed: true}
	home.offer(digest)
}

// offer publishes a digest; a change of its flags is announced at once.
func (home *Home) offer(digest loads.Digest) {
	if home.loads.Offer(digest, time.Now()) == loads.NewsFlags {
		home.announce([]*loads.Digest{&digest})
	}
}

func (home *Home) publish(found *replica, report engine.Report) {
	held := make([]*controlv1.HeldVersion, 0, len(report.Held))
	for _, version := range report.Held {
		held = append(held, &controlv1.HeldVersion{Policy: version.Policy, Active: version.Active, Staged: version.Staged})
	}
	slices.SortFunc(held, func(a, b *controlv1.HeldVersion) int { return strings.Compare(a.GetPolicy(), b.GetPolicy()) })
	digest := loads.Digest{ID: found.machine.ID, Address: found.machine.Address, Zone: found.machine.Zone,
		Sequence: sequence(), Running: report.Running, Queued: report.Queued, Capacity: report.Capacity,
		Leaving: found.machine.Leaving || report.Leaving, Held: held}
	home.offer(digest)
}

func sequence() uint64 { return uint64(time.Now().UnixMilli()) }

// order sends what is due and reports whether any order was taken.
func (home *Home) order(ctx context.Context, found *replica, report engine.Report) bool {
	if !home.takeFence(ctx, found, report) {
		return false
	}
	taken := false
	for _, policy := range home.document().Policies {
		next, due := wanted(policy, report)
		if due && home.send(ctx, found, next) {
			taken = true
		}
	}
	return taken
}

// takeFence makes this node the holder of the replica's fence.
func (home *Home) takeFence(ctx context.Context, found *replica, report engine.Report) bool {
	if report.Fence.Holder == home.nodeID {
		found.fence = report.Fence
		return true
	}
	fence := engine.Fence{Term: report.Fence.Term + 1, Holder: home.nodeID, Revision: report.Fence.Revision}
	err := home.client.Order(ctx, found.machine.Address, engine.Order{Fence: fence, Action: engine.ActionHold}, home.settings.CallTimeout)
	if err != nil {
		home.logger.Info("fence not taken", "replica", found.machine.ID, "term", fence.Term, "error", err)
		return false
	}
	found.fence = fence
	return true
}

// wanted returns the order that brings a replica towards what the configuration wants of a policy.
func wanted(policy experiment.Policy, report engine.Report) (engine.Order, bool) {
	held := engine.Held{}
	for _, candidate := range report.Held {
		if candidate.Policy == policy.Name {
			held = candidate
		}
	}
	order := engine.Order{Policy: policy.Name}
	switch {
	case policy.State == experiment.PolicyRetired:
		order.Action = engine.ActionDiscard
		return order, held.Active != 0 || held.Staged != 0
	case held.Active != policy.Target && held.Staged == policy.Target:
		order.Action, order.Version = engine.ActionActivate, policy.Target
		return order, true
	case held.Active != policy.Target:
		order.Action, order.Version = engine.ActionStage, policy.Target
		return order, true
	case policy.Published > policy.Target && held.Staged != policy.Published:
		order.Action, order.Version = engine.ActionStage, policy.Published
		return order, true
	default:
		return order, false
	}
}

// send sends an order unless an equal one was sent a short time ago.
func (home *Home) send(ctx context.Context, found *replica, order engine.Order) bool {
	state, ok := found.orders[order.Policy]
	if !ok || state.order.Action != order.Action || state.order.Version != order.Version {
		state = &orderState{}
		found.orders[order.Policy] = state
	}
	if time.Since(state.sent) < home.pause(state) {
		return false
	}
	order.Fence.Term, order.Fence.Holder = found.fence.Term, home.nodeID
	order.Fence.Revision = max(home.document().Revision, found.fence.Revision)
	state.order, state.sent = order, time.Now()
	state.attempts++
	err := home.client.Order(ctx, found.machine.Address, order, home.settings.CallTimeout)
	if state.attempts > home.settings.OrderAttempts && !state.reported {
		state.reported = true
		home.logger.Error("replica does not follow its orders", "replica", found.machine.ID, "policy", order.Policy,
			"version", order.Version, "action", order.Action, "attempts", state.attempts, "error", err)
	}
	if err != nil {
		home.logger.Info("order failed", "replica", found.machine.ID, "policy", order.Policy, "version", order.Version,
			"action", order.Action, "fenced", errors.Is(err, engine.ErrFenced), "error", err)
		return false
	}
	return true
}

// slowRetries multiplies the pause once the attempts are spent.
const slowRetries = 5

func (home *Home) pause(state *orderState) time.Duration {
	if state.attempts > home.settings.OrderAttempts {
		return home.settings.OrderRetry * slowRetries
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
