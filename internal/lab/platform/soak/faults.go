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

// injector injects the faults of a plan.
type injector struct {
	deployment *Deployment
	// crashRequests sends requests that crash replicas.
	crashRequests *crashRequests
	// faults records when faults start and end.
	faults *activeFaults

	ctx context.Context
	mu  sync.Mutex
	// acceptance is the fault that the next acceptance of a job causes; nil if it causes none.
	acceptance *Event
	// kills are the faults that acceptances have caused.
	kills sync.WaitGroup
	// lastStoreFault is when a fault of the store last started or ended.
	lastStoreFault time.Time
	busy           map[any]bool // targets that have a fault now; a second fault of the same target is skipped
}

func newInjector(deployment *Deployment, faults *activeFaults) *injector {
	return &injector{deployment: deployment, faults: faults, busy: make(map[any]bool)}
}

// run injects the events at their times and returns after the last has ended.
func (injector *injector) run(ctx context.Context, began time.Time, plan Plan) {
	injector.ctx = ctx
	var events sync.WaitGroup
	for _, event := range plan.Events {
		if !pause(ctx, time.Until(began.Add(event.At))) {
			break
		}
		events.Go(func() {
			injector.faults.begin()
			defer injector.faults.end()
			injector.inject(event)
		})
	}
	events.Wait()
	injector.kills.Wait()
}

// pause waits for the duration. It returns false if the context ends first.
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

// claim reserves a target for a fault. It returns false if the target already has one.
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
	deployment := injector.deployment
	node := deployment.Nodes[event.Target%len(deployment.Nodes)]
	member := deployment.Members[event.Target%len(deployment.Members)]
	switch event.Kind {
	case KindLeader:
		event.Kind = []Kind{KindKill, KindFreeze, KindStop, KindCut}[event.Variant%4]
		injector.injectNodeFault(event, injector.leader(node))
	case KindKill, KindFreeze, KindStop, KindCut, KindCutOneWay, KindReset, KindSettings:
		injector.injectNodeFault(event, node)
	case KindKillMany:
		injector.killMany(event, func(index int) bool { return (index+event.Target)%2 == 0 })
	case KindKillAll:
		injector.killMany(event, func(int) bool { return true })
	case KindReplicaCrash, KindReplicaLink, KindReplicaBad, KindDrain:
		injector.injectReplicaFault(event, member)
	case KindSignalSeries:
		injector.sendSignalSeries(event, node)
	case KindUpgrade:
		injector.upgrade(event, node)
	case KindSilence:
		injector.silence(event, node, member)
	case KindCrashRequest:
		injector.crashRequests.send(injector.ctx, event)
	case KindUnluckyItems:
		deployment.crashesLeft.Store(int64(minUnluckyCrashes + event.Variant%minUnluckyCrashes))
		pause(injector.ctx, event.For)
		deployment.crashesLeft.Store(0)
	case KindAcceptKill:
		injector.armAcceptance(event)
	case KindConfigure:
		deployment.Configure()
	case KindCloudDown, KindCloudLost:
		deployment.Cloud.SetFaults(site.CloudFaults{Down: event.Kind == KindCloudDown, Lost: event.Kind == KindCloudLost})
		time.Sleep(event.For)
		deployment.Cloud.SetFaults(site.CloudFaults{})
	default:
		injector.injectStoreFault(event)
	}
}

// armAcceptance makes the next acceptance within the event's time kill processes.
func (injector *injector) armAcceptance(event Event) {
	injector.setAcceptance(&event)
	pause(injector.ctx, event.For)
	injector.setAcceptance(nil)
}

func (injector *injector) setAcceptance(event *Event) {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	injector.acceptance = event
}

// maxAcceptKillDelay bounds the time between the acceptance of a job and the kill that it causes.
const maxAcceptKillDelay = 400 * time.Millisecond

// accepted is called when a node has accepted a job. If a fault waits for that, it kills the node, or all, soon after.
func (injector *injector) accepted(node *Node) {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	if injector.acceptance == nil {
		return
	}
	event := *injector.acceptance
	injector.acceptance = nil
	injector.kills.Go(func() { injector.killAfterAcceptance(event, node) })
}

func (injector *injector) killAfterAcceptance(event Event, node *Node) {
	injector.faults.begin()
	defer injector.faults.end()
	if event.Variant%2 == 0 {
		pause(injector.ctx, time.Duration(event.Target)*maxAcceptKillDelay/targetRange)
	}
	if event.Variant%3 == 0 {
		injector.killMany(event, func(int) bool { return true })
		return
	}
	event.Kind = KindKill
	injector.injectNodeFault(event, node)
}

// minUnluckyCrashes is the least number of engines that crash under unlucky items, of which each open job has one.
const minUnluckyCrashes = 8

// noteStoreFault records that a fault of the store starts or ends now.
func (injector *injector) noteStoreFault() {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	injector.lastStoreFault = time.Now()
}

// faultFree reports whether neither the node nor the store has had a fault within recoveryTime.
func (injector *injector) faultFree(node *Node) bool {
	injector.mu.Lock()
	defer injector.mu.Unlock()
	now := time.Now()
	return !injector.busy[node] && !injector.busy[injector.deployment.Store] && now.Sub(node.LastFault()) > recoveryTime && now.Sub(injector.lastStoreFault) > recoveryTime
}

// leader returns the node that sent the last order, or the other node if none was sent.
func (injector *injector) leader(other *Node) *Node {
	orders := injector.deployment.Executions.Orders()
	if len(orders) == 0 {
		return other
	}
	holder := orders[len(orders)-1].Holder
	for _, node := range injector.deployment.Nodes {
		if node.Name == holder {
			return node
		}
	}
	return other
}

// injectNodeFault injects a fault of a node.
func (injector *injector) injectNodeFault(event Event, node *Node) {
	if !injector.claim(node) {
		return
	}
	defer injector.release(node)
	node.NoteFault()
	defer node.NoteFault()
	switch event.Kind {
	case KindKill:
		restart(node, syscall.SIGKILL, event.For/2)
	case KindFreeze:
		if node.Signal(syscall.SIGSTOP, false) == nil {
			time.Sleep(event.For)
			_ = node.Signal(syscall.SIGCONT, false) // a paused process cannot exit
		}
	case KindStop:
		restart(node, syscall.SIGTERM, event.For/4)
	case KindCut:
		setLinkStateFor(node.StoreLink, event, LinkState{HoldRequests: true, HoldAnswers: true})
	case KindCutOneWay:
		setLinkStateFor(node.StoreLink, event, LinkState{HoldAnswers: true})
	case KindReset:
		node.StoreLink.Reset()
	case KindSettings:
		truncateSettings(node, event.For)
	}
}

// silence makes the open connections of one link go silent: the link of a node to the store, or the link of all nodes to a replica.
func (injector *injector) silence(event Event, node *Node, member *Member) {
	if event.Variant%2 == 0 {
		if !injector.claim(node) {
			return
		}
		defer injector.release(node)
		node.NoteFault()
		defer node.NoteFault()
		node.StoreLink.Silence()
	} else {
		if !injector.claim(member) {
			return
		}
		defer injector.release(member)
		defer member.noteLinkFault()()
		member.Link.Silence()
	}
	time.Sleep(event.For)
}

// signalSeries are the series of signals that a process receives in quick succession. Each contains a graceful shutdown.
var signalSeries = [][]syscall.Signal{
	{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGHUP},
	{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM},
	{syscall.SIGTERM, syscall.SIGSTOP, syscall.SIGCONT, syscall.SIGTERM},
}

// maxSignalGap bounds the time between two signals of a series. seriesRepeats is how often a series is sent, each
// time to a new incarnation.
const (
	maxSignalGap  = 250 * time.Millisecond
	seriesRepeats = 2
)

// sendSignalSeries sends a series of signals that shuts a process down gracefully, restarts the process at once, and repeats both.
func (injector *injector) sendSignalSeries(event Event, node *Node) {
	if !injector.claim(node) {
		return
	}
	defer injector.release(node)
	node.NoteFault()
	defer node.NoteFault()
	signals := signalSeries[event.Variant%len(signalSeries)]
	gap := time.Duration(event.Variant%5) * maxSignalGap / 5
	for range seriesRepeats {
		for _, signal := range signals {
			if node.Signal(signal, signal == syscall.SIGTERM) != nil {
				break
			}
			if signal == syscall.SIGTERM {
				node.stopping.Store(true)
			}
			time.Sleep(gap)
		}
		if !node.AwaitExit(gracePeriod) {
			node.stopping.Store(false)
			_ = node.Signal(syscall.SIGKILL, true) // as the platform does after the grace period
			node.AwaitExit(closeTimeout)
		}
		_ = node.Start() // the final checks find a node that failed to start
		node.stopping.Store(false)
		time.Sleep(startupTime)
	}
}

// startupTime is long enough for a front to become ready after a start.
const startupTime = 600 * time.Millisecond

// restart stops a process with a signal and starts it again after the downtime.
func restart(node *Node, signal syscall.Signal, down time.Duration) {
	if node.Signal(signal, true) != nil {
		return
	}
	node.stopping.Store(signal == syscall.SIGTERM)
	defer node.stopping.Store(false)
	if !node.AwaitExit(gracePeriod) {
		node.stopping.Store(false)
		_ = node.Signal(syscall.SIGKILL, true) // as the platform does after the grace period
		node.AwaitExit(closeTimeout)
	}
	time.Sleep(down)
	_ = node.Start() // the final checks find a node that failed to start
}

func setLinkStateFor(proxy *Proxy, event Event, state LinkState) {
	proxy.Set(state)
	time.Sleep(event.For)
	proxy.Set(LinkState{})
}

// truncateSettings has a process reload half of its settings file, and the whole file after the duration.
func truncateSettings(node *Node, duration time.Duration) {
	content, err := os.ReadFile(node.settings)
	if err != nil {
		return
	}
	_ = os.WriteFile(node.settings, content[:len(content)/2], 0o600) // a failure only means that the fault is not injected
	_ = node.Signal(syscall.SIGHUP, false)
	time.Sleep(duration)
	_ = os.WriteFile(node.settings, content, 0o600)
	_ = node.Signal(syscall.SIGHUP, false)
}

// killMany kills the chosen processes at the same time and restarts them.
func (injector *injector) killMany(event Event, chosen func(index int) bool) {
	var restarts sync.WaitGroup
	for index, node := range injector.deployment.Nodes {
		if chosen(index) && injector.claim(node) {
			restarts.Go(func() {
				defer injector.release(node)
				node.NoteFault()
				restart(node, syscall.SIGKILL, event.For/4)
				node.NoteFault()
			})
		}
	}
	restarts.Wait()
}

// injectReplicaFault injects a fault of a replica.
func (injector *injector) injectReplicaFault(event Event, member *Member) {
	if !injector.claim(member) {
		return
	}
	defer injector.release(member)
	switch event.Kind {
	case KindReplicaCrash:
		crashed := member.Crash()
		time.Sleep(event.For)
		member.Replace(crashed)
	case KindReplicaLink:
		defer member.noteLinkFault()()
		setLinkStateFor(member.Link, event, []LinkState{{HoldAnswers: true}, {HoldRequests: true}, {Delay: slowLinkDelay}, {Refuse: true}}[event.Variant%4])
	case KindReplicaBad:
		faults := []site.ReplicaFaults{{RejectRequests: true}, {BreakAfterEvent: 2}, {WrongRequestID: true}, {CloseSilently: true}}[event.Variant%4]
		replica := member.Current()
		replica.SetFaults(faults)
		time.Sleep(event.For)
		replica.SetFaults(site.ReplicaFaults{})
	case KindDrain:
		member.Current().Drain()
		time.Sleep(event.For + drainTime)
		member.Replace(member.Crash())
	}
}

const (
	slowLinkDelay  = 150 * time.Millisecond
	slowStoreDelay = 250 * time.Millisecond
	drainTime      = 2 * time.Second
	maxLostAnswers = 6
)

// injectStoreFault injects a fault of the store. It skips the event if the store already has a fault.
func (injector *injector) injectStoreFault(event Event) {
	store := injector.deployment.Store
	if !injector.claim(store) {
		return
	}
	defer injector.release(store)
	injector.noteStoreFault()
	defer injector.noteStoreFault()
	switch event.Kind {
	case KindStoreDown:
		store.SetFaults(memstore.Faults{Down: true})
	case KindStoreSilent:
		store.SetFaults(memstore.Faults{Hang: true})
	case KindStoreLost:
		late := time.Duration(event.Variant%3) * time.Second
		store.SetFaults(memstore.Faults{LoseResponses: 1 + event.Variant%maxLostAnswers, CommitDelay: late})
	case KindCompact:
		store.Compact()
	case KindStoreSlow:
		injector.delayStoreLinks(event)
		return
	}
	time.Sleep(event.For)
	store.SetFaults(memstore.Faults{})
}

// delayStoreLinks delays the store links of all nodes that have no other fault.
func (injector *injector) delayStoreLinks(event Event) {
	var slowed []*Node
	for _, node := range injector.deployment.Nodes {
		if injector.claim(node) {
			slowed = append(slowed, node)
			node.NoteFault()
			node.StoreLink.Set(LinkState{Delay: slowStoreDelay})
		}
	}
	time.Sleep(event.For)
	for _, node := range slowed {
		node.StoreLink.Set(LinkState{})
		node.NoteFault()
		injector.release(node)
	}
}

// activeFaults counts the active faults and records when that count last changed. It is safe for concurrent use.
type activeFaults struct {
	mu      sync.Mutex
	active  int
	changed time.Time // when a fault last started or ended
}

func (faults *activeFaults) begin() { faults.add(1) }
func (faults *activeFaults) end()   { faults.add(-1) }

func (faults *activeFaults) add(count int) {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	faults.active += count
	faults.changed = time.Now()
}

// idleSince returns when a fault last started or ended, and whether no fault is active.
func (faults *activeFaults) idleSince() (time.Time, bool) {
	faults.mu.Lock()
	defer faults.mu.Unlock()
	return faults.changed, faults.active == 0
}
