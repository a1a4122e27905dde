package soak

import (
	"context"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// injector carries a plan out.
type injector struct {
	world *World
	// endings sends requests under which replicas end.
	endings *endings
	// calm is told when faults begin and end.
	calm *calm

	ctx context.Context
	mu  sync.Mutex
	// storeFaulted is when a fault of the store last began or ended.
	storeFaulted time.Time
	busy         map[any]bool // nodes and members that have a fault now: a second one of the same target is passed over
}

func newInjector(world *World, calm *calm) *injector {
	return &injector{world: world, calm: calm, busy: make(map[any]bool)}
}

// run carries the events out and returns when the last has ended.
func (injector *injector) run(ctx context.Context, began time.Time, plan Plan) {
	injector.ctx = ctx
	var events sync.WaitGroup
	for _, event := range plan.Events {
		if !pause(ctx, time.Until(began.Add(event.At))) {
			break
		}
		events.Go(func() {
			injector.calm.begin()
			defer injector.calm.end()
			injector.inject(event)
		})
	}
	events.Wait()
}

// pause waits and reports whether the context goes on.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(max(0, duration))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// claim takes a target for one fault; false when it has one already.
func (injector *injector) claim(target any) bool {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	if injector.busy[target] {
		return false
	}
	injector.busy[target] = true
	return true
}

func (injector *injector) release(target any) {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	delete(injector.busy, target)
}

func (injector *injector) inject(event Event) {
	world := injector.world
	node := world.Nodes[event.Target%len(world.Nodes)]
	member := world.Members[event.Target%len(world.Members)]
	switch event.Kind {
	case KindLeader:
		event.Kind = []Kind{KindKill, KindFreeze, KindStop, KindCut}[event.Variant%4]
		injector.onNode(event, injector.leader(node))
	case KindKill, KindFreeze, KindStop, KindCut, KindCutOneWay, KindReset, KindSettings:
		injector.onNode(event, node)
	case KindKillMany:
		injector.killMany(event, func(index int) bool { return (index+event.Target)%2 == 0 })
	case KindKillAll:
		injector.killMany(event, func(int) bool { return true })
	case KindReplica, KindReplicaLink, KindReplicaBad, KindDrain:
		injector.onMember(event, member)
	case KindSeries:
		injector.series(event, node)
	case KindUpgrade:
		injector.upgrade(event, node)
	case KindSilence:
		injector.silence(event, node, member)
	case KindEnding:
		injector.endings.send(injector.ctx, event)
	case KindConfigure:
		world.Configure()
	case KindCloudDown, KindCloudLost:
		world.Cloud.SetFaults(site.CloudFaults{Down: event.Kind == KindCloudDown, Lost: event.Kind == KindCloudLost})
		time.Sleep(event.For)
		world.Cloud.SetFaults(site.CloudFaults{})
	default:
		injector.onStore(event)
	}
}

// noteStore notes that a fault of the store begins or ends now.
func (injector *injector) noteStore() {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	injector.storeFaulted = time.Now()
}

// inTouch reports whether a node and the store have had no fault for some time.
func (injector *injector) inTouch(node *Node) bool {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	now := time.Now()
	return !injector.busy[node] && !injector.busy[injector.world.Store] && now.Sub(node.Faulted()) > contactTime && now.Sub(injector.storeFaulted) > contactTime
}

// leader returns the node that gave the last order, or another one if there was none.
func (injector *injector) leader(other *Node) *Node {
	orders := injector.world.Executions.Orders()
	if len(orders) == 0 {
		return other
	}
	holder := orders[len(orders)-1].Holder
	for _, node := range injector.world.Nodes {
		if node.Name == holder {
			return node
		}
	}
	return other
}

// onNode injects a fault of one node.
func (injector *injector) onNode(event Event, node *Node) {
	if !injector.claim(node) {
		return
	}
	defer injector.release(node)
	node.Fault()
	defer node.Fault()
	switch event.Kind {
	case KindKill:
		restart(node, syscall.SIGKILL, event.For/2)
	case KindFreeze:
		if node.Signal(syscall.SIGSTOP, false) == nil {
			time.Sleep(event.For)
			_ = node.Signal(syscall.SIGCONT, false) // it can't have ended meanwhile
		}
	case KindStop:
		restart(node, syscall.SIGTERM, event.For/4)
	case KindCut:
		link(node.StoreLink, event, LinkState{HoldRequests: true, HoldAnswers: true})
	case KindCutOneWay:
		link(node.StoreLink, event, LinkState{HoldAnswers: true})
	case KindReset:
		node.StoreLink.Reset()
	case KindSettings:
		damageSettings(node, event.For)
	}
}

// silence has the open connections of one link go silent: that of a node to the store, or those of all nodes to a replica.
func (injector *injector) silence(event Event, node *Node, member *Member) {
	if event.Variant%2 == 0 {
		if !injector.claim(node) {
			return
		}
		defer injector.release(node)
		node.Fault()
		defer node.Fault()
		node.StoreLink.Silence()
	} else {
		if !injector.claim(member) {
			return
		}
		defer injector.release(member)
		defer member.harmLink()()
		member.Link.Silence()
	}
	time.Sleep(event.For)
}

// signalSeries are what a process gets in quick succession, up to its last planned stop.
var signalSeries = [][]syscall.Signal{
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGTERM},
}

// seriesGap is the longest time between two signals of a series, and seriesLength how many planned stops follow each other.
const (
	seriesGap    = 250 * time.Millisecond
	seriesLength = 2
)

// series sends signals to a process in quick succession that stop it as planned, starts it again at once, and does so again.
func (injector *injector) series(event Event, node *Node) {
	if !injector.claim(node) {
		return
	}
	defer injector.release(node)
	node.Fault()
	defer node.Fault()
	signals := signalSeries[event.Variant%len(signalSeries)]
	gap := time.Duration(event.Variant%5) * seriesGap / 5
	for range seriesLength {
		for _, signal := range signals {
			if node.Signal(signal, signal == syscall.SIGTERM) != nil {
				break
			}
			if signal == syscall.SIGTERM {
				node.stopping.Store(true)
			}
			time.Sleep(gap)
		}
		if !node.AwaitEnd(graceTime) {
			node.stopping.Store(false)
			_ = node.Signal(syscall.SIGKILL, true) // as the platform does after the grace
			node.AwaitEnd(closeLimit)
		}
		_ = node.Start() // a failure shows as a node that never serves
		node.stopping.Store(false)
		time.Sleep(startTime)
	}
}

// startTime is what a front takes to serve again after its start, with some to spare.
const startTime = 600 * time.Millisecond

// restart ends a process by a signal and starts it again after a pause.
func restart(node *Node, signal syscall.Signal, down time.Duration) {
	if node.Signal(signal, true) != nil {
		return
	}
	node.stopping.Store(signal == syscall.SIGTERM)
	defer node.stopping.Store(false)
	if !node.AwaitEnd(graceTime) {
		node.stopping.Store(false)
		_ = node.Signal(syscall.SIGKILL, true) // as the platform does after the grace
		node.AwaitEnd(closeLimit)
	}
	time.Sleep(down)
	_ = node.Start() // a failure shows as a node that never serves
}

func link(proxy *Proxy, event Event, state LinkState) {
	proxy.Set(state)
	time.Sleep(event.For)
	proxy.Set(LinkState{})
}

// damageSettings has a process find half of its settings file, and the whole again later.
func damageSettings(node *Node, lasting time.Duration) {
	content, err := os.ReadFile(node.settings)
	if err != nil {
		return
	}
	_ = os.WriteFile(node.settings, content[:len(content)/2], 0o600) // the fault is then not injected
	_ = node.Signal(syscall.SIGHUP, false)
	time.Sleep(lasting)
	_ = os.WriteFile(node.settings, content, 0o600)
	_ = node.Signal(syscall.SIGHUP, false)
}

// killMany kills processes at the same moment.
func (injector *injector) killMany(event Event, chosen func(index int) bool) {
	var restarts sync.WaitGroup
	for index, node := range injector.world.Nodes {
		if chosen(index) && injector.claim(node) {
			restarts.Go(func() {
				defer injector.release(node)
				node.Fault()
				restart(node, syscall.SIGKILL, event.For/4)
				node.Fault()
			})
		}
	}
	restarts.Wait()
}

// onMember injects a fault of one replica.
func (injector *injector) onMember(event Event, member *Member) {
	if !injector.claim(member) {
		return
	}
	defer injector.release(member)
	switch event.Kind {
	case KindReplica:
		member.Crash()
		time.Sleep(event.For)
		member.Return()
	case KindReplicaLink:
		defer member.harmLink()()
		link(member.Link, event, []LinkState{{HoldAnswers: true}, {HoldRequests: true}, {Delay: slowLink}, {Refuse: true}}[event.Variant%4])
	case KindReplicaBad:
		faults := []site.ReplicaFaults{{Full: true}, {CutAfter: 2}, {OtherAnswer: true}, {CloseSilently: true}}[event.Variant%4]
		replica := member.Present()
		replica.SetFaults(faults)
		time.Sleep(event.For)
		replica.SetFaults(site.ReplicaFaults{})
	case KindDrain:
		member.Present().Drain()
		time.Sleep(event.For + drainTime)
		member.Crash()
		member.Return()
	}
}

const (
	slowLink  = 150 * time.Millisecond
	slowStore = 250 * time.Millisecond
	drainTime = 2 * time.Second
	lostMost  = 6
)

// onStore injects a fault of the store. One at a time: a second one is passed over.
func (injector *injector) onStore(event Event) {
	store := injector.world.Store
	if !injector.claim(store) {
		return
	}
	defer injector.release(store)
	injector.noteStore()
	defer injector.noteStore()
	switch event.Kind {
	case KindStoreDown:
		store.SetFaults(memstore.Faults{Down: true})
	case KindStoreSilent:
		store.SetFaults(memstore.Faults{Hang: true})
	case KindStoreLost:
		late := time.Duration(event.Variant%3) * time.Second
		store.SetFaults(memstore.Faults{LoseResponses: 1 + event.Variant%lostMost, CommitDelay: late})
	case KindCompact:
		store.Compact()
	case KindStoreSlow:
		injector.slowStore(event)
		return
	}
	time.Sleep(event.For)
	store.SetFaults(memstore.Faults{})
}

// slowStore delays the links of all nodes that have no fault of their own.
func (injector *injector) slowStore(event Event) {
	var slowed []*Node
	for _, node := range injector.world.Nodes {
		if injector.claim(node) {
			slowed = append(slowed, node)
			node.Fault()
			node.StoreLink.Set(LinkState{Delay: slowStore})
		}
	}
	time.Sleep(event.For)
	for _, node := range slowed {
		node.StoreLink.Set(LinkState{})
		node.Fault()
		injector.release(node)
	}
}

// calm tells since when no fault has been in force. It is safe for concurrent use.
type calm struct {
	mu      sync.Mutex
	active  int
	changed time.Time // when the last fault began or ended
}

func (calm *calm) begin() { calm.add(1) }
func (calm *calm) end()   { calm.add(-1) }

func (calm *calm) add(count int) {
	calm.mu.Lock()
	defer calm.mu.Unlock()
	calm.active += count
	calm.changed = time.Now()
}

// since returns since when no fault has begun, been in force or ended; false while one is in force.
func (calm *calm) since() (time.Time, bool) {
	calm.mu.Lock()
	defer calm.mu.Unlock()
	return calm.changed, calm.active == 0
}
