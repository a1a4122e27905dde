package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

// Timing of failure detection.
const (
	HeartbeatInterval = 350 * time.Millisecond
	// heartbeatTimeout is the time without a heartbeat after which a node is suspected and pinged.
	heartbeatTimeout = 1250 * time.Millisecond
	// rankDelay is the additional delay per rank among a node's live successors, so that usually only one of them takes
	// the node over.
	rankDelay   = 900 * time.Millisecond
	pingTimeout = 300 * time.Millisecond
	// isolationDelay is the additional delay of a node that receives no datagrams at all and is probably partitioned
	// itself.
	isolationDelay = 2 * time.Second
	checkPeriod    = 200 * time.Millisecond
	// takeoverBackoff is the delay before a failed takeover is retried.
	takeoverBackoff = 100 * time.Millisecond
)

// Monitor sends this node's heartbeats and watches the heartbeats of its predecessors on the ring.
type Monitor struct {
	Registry  *Registry
	Datagrams *Datagrams
	Logger    *log.Logger
	// OnDead takes over the work of a dead node. It is called again if it returns an error.
	OnDead func(ctx context.Context, dead DeadNode) error
	// AwaitStore blocks until the metadata store answers, because a takeover needs the store. Nil means no wait.
	AwaitStore func(ctx context.Context)

	mu       sync.Mutex
	checking map[string]bool // suspects with a check in progress
}

// DeadNode is a node that was declared dead.
type DeadNode struct {
	Name string
	// Incarnation is the last registered process of the node.
	Incarnation int64
	// Registration holds in the metadata store as long as no later process has registered.
	Registration metadata.Condition
}

// Run sends heartbeats and checks for failures until the context ends.
func (monitor *Monitor) Run(ctx context.Context) {
	go monitor.send(ctx)
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if now.Sub(last) > heartbeatTimeout/2 {
				monitor.Registry.resetHeartbeats(now) // this process was paused and may have missed heartbeats
			} else {
				monitor.checkHeartbeats(ctx, now)
			}
			last = time.Now()
		}
	}
}

func (monitor *Monitor) send(ctx context.Context) {
	self := monitor.Registry.self
	heartbeat := &clusterv1.Datagram{Kind: &clusterv1.Datagram_Heartbeat{Heartbeat: &clusterv1.Heartbeat{Name: self.GetName(), Life: self.GetLife()}}}
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		monitor.Datagrams.Send(heartbeat, monitor.Registry.monitors())
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// HandleHeartbeat records the arrival of a heartbeat.
func (monitor *Monitor) HandleHeartbeat(heartbeat *clusterv1.Heartbeat) {
	monitor.Registry.markSeen(heartbeat.GetName(), time.Now())
}

// checkHeartbeats starts a check of each suspect. The checks run concurrently because a takeover may take seconds.
func (monitor *Monitor) checkHeartbeats(ctx context.Context, now time.Time) {
	for _, suspect := range monitor.Registry.suspects(now) {
		if monitor.beginCheck(suspect) {
			go func() {
				defer monitor.endCheck(suspect)
				monitor.checkSuspect(ctx, suspect)
			}()
		}
	}
}

// beginCheck reports whether the caller should check a node; it returns false while another check of that node runs.
func (monitor *Monitor) beginCheck(name string) bool {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	if monitor.checking[name] {
		return false
	}
	if monitor.checking == nil {
		monitor.checking = make(map[string]bool)
	}
	monitor.checking[name] = true
	return true
}

func (monitor *Monitor) endCheck(name string) {
	monitor.mu.Lock()
	defer monitor.mu.Unlock()
	delete(monitor.checking, name)
}

// checkSuspect pings a suspect and takes it over if it does not answer.
func (monitor *Monitor) checkSuspect(ctx context.Context, suspect string) {
	if monitor.ping(ctx, suspect) {
		monitor.Registry.markSeen(suspect, time.Now())
		return
	}
	monitor.Logger.Warn("node dead", "node", suspect, "silent_ms", monitor.Registry.sinceSeen(suspect, time.Now()).Milliseconds())
	if monitor.AwaitStore != nil {
		monitor.AwaitStore(ctx)
	}
	if monitor.Registry.sinceSeen(suspect, time.Now()) < heartbeatTimeout {
		return // a heartbeat arrived during the wait
	}
	if err := monitor.takeOver(ctx, monitor.Registry.deadNode(suspect)); err != nil {
		monitor.Logger.Warn("take-over failed", "node", suspect, "error", err)
		wait.Pause(ctx, takeoverBackoff)
		return
	}
	monitor.Registry.markSeen(suspect, time.Now())
}

// errAcquiredWork means that the store has applied a write by which a dead node acquired work during its takeover.
var errAcquiredWork = errors.New("the dead node has acquired work meanwhile")

// takeOver takes over the work of a dead node and removes its record. A write of the dead node that the store applies late makes it the
// owner of further work; it is either found here, or fails because the record is gone.
func (monitor *Monitor) takeOver(ctx context.Context, dead DeadNode) error {
	readCtx, cancelRead := context.WithTimeout(ctx, registerTimeout)
	defer cancelRead()
	unchanged, err := monitor.Registry.leftoverWorkCondition(readCtx, dead.Name)
	if err != nil {
		return err
	}
	if err := monitor.OnDead(ctx, dead); err != nil {
		return err
	}
	removeCtx, cancelRemove := context.WithTimeout(ctx, registerTimeout)
	defer cancelRemove()
	if monitor.Registry.removeDead(removeCtx, dead, unchanged) {
		return errAcquiredWork
	}
	return nil
}

func (monitor *Monitor) ping(ctx context.Context, name string) bool {
	client := monitor.Registry.NodeClient(name)
	if client == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	response, err := client.Ping(ctx, &clusterv1.PingRequest{})
	return err == nil && response.GetName() == name
}

// monitors returns the nodes that watch this node.
func (registry *Registry) monitors() []*clusterv1.NodeRecord {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return registry.ring.Successors(registry.self.GetName(), monitorsPerNode)
}

func (registry *Registry) markSeen(name string, now time.Time) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	if registry.nodes[name] != nil {
		registry.lastSeen[name] = now
	}
}

// deadNode describes a node by its current record. Without a record the incarnation is zero, and the registration that there is none.
func (registry *Registry) deadNode(name string) DeadNode {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return DeadNode{
		Name: name, Incarnation: registry.nodes[name].GetLife(),
		Registration: metadata.Condition{Key: Prefix + name, Revision: registry.revisions[name]},
	}
}

func (registry *Registry) sinceSeen(name string, now time.Time) time.Duration {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return now.Sub(registry.lastSeen[name])
}

// resetHeartbeats restarts the heartbeat timeout of every node.
func (registry *Registry) resetHeartbeats(now time.Time) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	for name := range registry.lastSeen {
		registry.lastSeen[name] = now
	}
}

// suspects returns the watched nodes whose heartbeats are overdue. The timeout grows with this node's rank among their
// live successors.
func (registry *Registry) suspects(now time.Time) []string {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	var names []string
	watched, limit := registry.watched(), heartbeatTimeout
	if registry.isolated(watched, now) {
		limit += isolationDelay
	}
	for name := range watched {
		if now.Sub(registry.lastSeen[name]) >= limit+time.Duration(registry.rankAmongLive(name, now))*rankDelay {
			names = append(names, name)
		}
	}
	return names
}

// rankAmongLive returns this node's rank among the successors of a node. It skips successors that this node watches as
// well and whose heartbeats are overdue, because they will not take the node over. The caller must hold mu.
func (registry *Registry) rankAmongLive(name string, now time.Time) int {
	rank := 0
	for _, successor := range registry.ring.Successors(name, monitorsPerNode) {
		if successor.GetName() == registry.self.GetName() {
			break
		}
		seen, watched := registry.lastSeen[successor.GetName()]
		if registry.ring.Rank(registry.self.GetName(), successor.GetName()) < 0 || !watched || now.Sub(seen) < heartbeatTimeout {
			rank++
		}
	}
	return rank
}

// watched returns the nodes that this node watches, with this node's rank among their successors. The caller must hold
// mu. The cost must not grow with the number of nodes: every node calls it once per checkPeriod.
func (registry *Registry) watched() map[string]int {
	list := make(map[string]int, monitorsPerNode)
	for rank, record := range registry.ring.Predecessors(registry.self.GetName(), monitorsPerNode) {
		list[record.GetName()] = rank
	}
	return list
}

// Isolated reports whether this node is probably partitioned, because no datagram has arrived from any node within the
// heartbeat timeout. It always returns false with fewer than two watched nodes, where a partition cannot be
// distinguished from the failure of a single node.
func (registry *Registry) Isolated(now time.Time) bool {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return registry.isolated(registry.watched(), now)
}

// The caller must hold mu.
func (registry *Registry) isolated(watched map[string]int, now time.Time) bool {
	if len(watched) < 2 || now.Sub(registry.lastContact) < heartbeatTimeout {
		return false
	}
	for name := range watched {
		if now.Sub(registry.lastSeen[name]) < heartbeatTimeout {
			return false
		}
	}
	return true
}

// RecordContact records that a datagram arrived from any node, whether or not this node watches it.
func (registry *Registry) RecordContact(now time.Time) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	registry.lastContact = now
}
