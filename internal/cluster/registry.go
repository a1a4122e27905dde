package cluster

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

// Prefix is the key prefix of node records in the metadata store.
const Prefix = "cluster/nodes/"

const (
	registerTimeout = time.Second
	registerBackoff = 200 * time.Millisecond
)

// Registry is the set of registered nodes. It implements metadata.Handler and is safe for concurrent use.
type Registry struct {
	self   *clusterv1.NodeRecord
	store  metadata.Store
	http   *http.Client
	logger *log.Logger
	// OnExpelled is called when another node has removed this node's record because it considered this node dead.
	OnExpelled func()
	// Health is the health of the metadata store; nil if it is not tracked.
	Health *metadata.Health
	// LeftoverWorkKey returns the key that exists while an incarnation of a node may have left work behind. The key is
	// deleted together with the node's record, as the last step of a takeover. If LeftoverWorkKey is nil, the record's
	// own key is used.
	LeftoverWorkKey func(node string) string

	mu    sync.Mutex
	nodes map[string]*clusterv1.NodeRecord
	// revisions holds the store revision of each node's record.
	revisions map[string]metadata.Revision
	clients   map[string]peerClient
	// lastSeen is when the heartbeat timeout of each node was last restarted, by a heartbeat, an answered ping or a new
	// record.
	lastSeen map[string]time.Time
	// listings holds when the current incarnation of each node was first listed; nil before the first listing.
	listings map[string]listing
	// lastContact is the arrival time of the last datagram from any other node.
	lastContact        time.Time
	ring               *Ring
	views              views
	registeredRevision metadata.Revision // revision of this process's own record; zero while it is not registered
	ctx                context.Context   // of Register; a process that is expelled registers again until it ends
	leaving            bool
}

type peerClient struct {
	address string
	batches batchv1.Batches
	nodes   clusterv1.Nodes
}

// NewRegistry returns an empty registry for the node self. The HTTP client is used for calls to other nodes.
func NewRegistry(self *clusterv1.NodeRecord, store metadata.Store, client *http.Client, logger *log.Logger) *Registry {
	return &Registry{
		self: self, store: store, http: client, logger: logger, nodes: make(map[string]*clusterv1.NodeRecord), revisions: make(map[string]metadata.Revision),
		clients: make(map[string]peerClient), lastSeen: make(map[string]time.Time), ring: NewRing(nil), OnExpelled: func() {},
	}
}

// Register writes this node's record, and retries until the store accepts it. It reports whether an earlier incarnation
// of this node may have left work behind.
func (registry *Registry) Register(ctx context.Context) (earlier bool) {
	registry.mu.Lock()
	registry.ctx = ctx
	registry.mu.Unlock()
	value, err := proto.Marshal(registry.self)
	if err != nil {
		registry.logger.Error("encode node record", "error", err)
		return false
	}
	unconditional := metadata.Txn{Puts: []metadata.Put{{Key: Prefix + registry.self.GetName(), Value: value}}}
	conditional := unconditional
	conditional.Conditions = []metadata.Condition{{Key: registry.leftoverWorkKey(registry.self.GetName())}}
	for ctx.Err() == nil {
		txn := conditional
		if earlier {
			txn = unconditional
		}
		callCtx, cancel := context.WithTimeout(ctx, registerTimeout)
		revision, err := registry.store.Commit(callCtx, txn)
		cancel()
		if err == nil {
			registry.mu.Lock()
			registry.registeredRevision = max(registry.registeredRevision, revision)
			registry.mu.Unlock()
			registry.logger.Info("node registered", "node", registry.self.GetName(), "address", registry.self.GetAddress(), "life", registry.self.GetLife(), "earlier", earlier)
			return earlier
		}
		var conflict *metadata.ConflictError
		if errors.As(err, &conflict) {
			// The conflict may be with an earlier attempt of this call whose answer was lost. The search for leftover work is
			// unnecessary then.
			earlier = true
			continue
		}
		registry.Health.RequestProbe()
		wait.Pause(ctx, registerBackoff)
		registry.Health.AwaitGood(ctx) // calls that an unavailable store refuses are billed too
	}
	return earlier
}

func (registry *Registry) leftoverWorkKey(node string) string {
	if registry.LeftoverWorkKey == nil {
		return Prefix + node
	}
	return registry.LeftoverWorkKey(node)
}

// RegistrationCondition returns the condition that the store holds this process's own record. registered is false while the record is
// not written, has been removed, or is being removed by Leave.
func (registry *Registry) RegistrationCondition() (condition metadata.Condition, registered bool) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return registry.registrationCondition(), registry.registeredRevision > 0 && !registry.leaving
}

// The caller must hold mu.
func (registry *Registry) registrationCondition() metadata.Condition {
	return metadata.Condition{Key: Prefix + registry.self.GetName(), Revision: registry.registeredRevision}
}

// HandleRegistrationConflict takes in the record that a failed condition of RegistrationCondition met, and registers this process again
// if the record is not its own.
func (registry *Registry) HandleRegistrationConflict(failed metadata.Condition, current metadata.Item, found bool) {
	registry.mu.Lock()
	var record *clusterv1.NodeRecord
	if found {
		record = &clusterv1.NodeRecord{}
		if err := proto.Unmarshal(current.Value, record); err != nil {
			registry.logger.Error("node record not readable", "key", current.Key, "error", err)
		}
	}
	expelled := failed.Revision == registry.registeredRevision && registry.checkRegistration(record, current.Revision, failed.Revision)
	registry.mu.Unlock()
	registry.reregister(expelled)
}

// checkRegistration updates the revision of this process's own record, given the record of this node at a revision of the store, nil if
// there is none, and the revision at which the record was written. It reports whether the process is not registered any more and has to
// register again. The caller must hold mu.
func (registry *Registry) checkRegistration(record *clusterv1.NodeRecord, written, revision metadata.Revision) (expelled bool) {
	switch {
	case registry.registeredRevision == 0 || registry.leaving:
		return false
	case record == nil && revision < registry.registeredRevision, record != nil && written < registry.registeredRevision:
		return false // from before the registration
	case record != nil && record.GetLife() == registry.self.GetLife():
		registry.registeredRevision = written // an attempt of Register whose response was lost may have written the record again
		return false
	}
	registry.registeredRevision = 0
	return record == nil || record.GetLife() < registry.self.GetLife() // a later process of the node has replaced this one
}

// Leave removes this node's record, so that other nodes do not treat the shutdown as a failure. The store may apply the removal after the
// next process of the node has registered, whose record and leftover work must stay.
func (registry *Registry) Leave(ctx context.Context) {
	registry.mu.Lock()
	registry.leaving = true
	condition := registry.registrationCondition()
	registry.mu.Unlock()
	for condition.Revision > 0 {
		err := registry.remove(ctx, []metadata.Condition{condition}, registry.self.GetName())
		var conflict *metadata.ConflictError
		if !errors.As(err, &conflict) {
			return
		}
		condition.Revision = registry.ownRevision(conflict)
	}
}

// ownRevision returns the revision of this process's own record in a conflict, or zero if the record is missing or of another process.
func (registry *Registry) ownRevision(conflict *metadata.ConflictError) metadata.Revision {
	current, _ := conflict.Find(Prefix + registry.self.GetName())
	record := &clusterv1.NodeRecord{}
	if err := proto.Unmarshal(current.Value, record); err != nil || record.GetLife() != registry.self.GetLife() {
		return 0
	}
	return current.Revision
}

// leftoverWorkCondition returns the condition that a node acquires no work from now on.
func (registry *Registry) leftoverWorkCondition(ctx context.Context, name string) ([]metadata.Condition, error) {
	if registry.LeftoverWorkKey == nil {
		return nil, nil
	}
	key := registry.LeftoverWorkKey(name)
	item, _, err := registry.store.Get(ctx, key)
	if err != nil {
		return nil, err
	}
	return []metadata.Condition{{Key: key, Revision: item.Revision}}, nil
}

// removeDead removes the record of a dead node, unless a newer incarnation of that node has rewritten it. acquiredWork is true if the
// record remains because a further condition does not hold.
func (registry *Registry) removeDead(ctx context.Context, dead DeadNode, further []metadata.Condition) (acquiredWork bool) {
	err := registry.remove(ctx, append([]metadata.Condition{dead.Registration}, further...), dead.Name)
	var conflict *metadata.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	current, _ := conflict.Find(dead.Registration.Key)
	return current.Revision == dead.Registration.Revision
}

func (registry *Registry) remove(ctx context.Context, conditions []metadata.Condition, name string) error {
	deletes := []string{Prefix + name}
	if registry.LeftoverWorkKey != nil {
		deletes = append(deletes, registry.LeftoverWorkKey(name))
	}
	_, err := registry.store.Commit(ctx, metadata.Txn{Conditions: conditions, Deletes: deletes})
	if err != nil {
		registry.logger.Warn("node record not removed", "node", name, "error", err)
	}
	return err
}

// Reset implements metadata.Handler.
func (registry *Registry) Reset(items []metadata.Item, revision metadata.Revision) {
	registry.mu.Lock()
	clear(registry.nodes)
	clear(registry.revisions)
	for _, item := range items {
		registry.put(item)
	}
	expelled := registry.rebuild(revision)
	registry.mu.Unlock()
	registry.reregister(expelled)
}

// Apply implements metadata.Handler.
func (registry *Registry) Apply(events []metadata.Event, revision metadata.Revision) {
	registry.mu.Lock()
	for _, event := range events {
		if event.Deleted {
			delete(registry.nodes, event.Key[len(Prefix):])
			delete(registry.revisions, event.Key[len(Prefix):])
			continue
		}
		registry.put(event.Item)
	}
	expelled := registry.rebuild(revision)
	registry.mu.Unlock()
	registry.reregister(expelled)
}

// The caller must hold mu.
func (registry *Registry) put(item metadata.Item) {
	record := &clusterv1.NodeRecord{}
	if err := proto.Unmarshal(item.Value, record); err != nil || record.GetName() == "" {
		registry.logger.Error("node record not readable", "key", item.Key, "error", err)
		return
	}
	known := registry.nodes[record.GetName()]
	if known == nil || known.GetLife() != record.GetLife() {
		registry.lastSeen[record.GetName()] = time.Now()
	}
	registry.nodes[record.GetName()] = record
	registry.revisions[record.GetName()] = item.Revision
}

// rebuild recomputes the ring after a change of the records. It reports whether this process has to register again. The caller must hold
// mu.
func (registry *Registry) rebuild(revision metadata.Revision) (expelled bool) {
	records := make([]*clusterv1.NodeRecord, 0, len(registry.nodes))
	for _, record := range registry.nodes {
		records = append(records, record)
	}
	for name := range registry.lastSeen {
		if registry.nodes[name] == nil {
			delete(registry.lastSeen, name)
		}
	}
	registry.updateListings(time.Now())
	before := registry.watched()
	registry.ring = NewRing(records)
	registry.views = views{}
	for name := range registry.watched() {
		if _, known := before[name]; !known {
			registry.lastSeen[name] = time.Now() // the node starts sending heartbeats to this node now
		}
	}
	self := registry.self.GetName()
	return registry.checkRegistration(registry.nodes[self], registry.revisions[self], revision)
}

func (registry *Registry) reregister(expelled bool) {
	if !expelled {
		return
	}
	registry.logger.Warn("node expelled", "node", registry.self.GetName())
	registry.OnExpelled()
	go registry.Register(registry.lifetime())
}

// lifetime returns the context of the first Register, with which the process ends.
func (registry *Registry) lifetime() context.Context {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return registry.ctx
}

// Client returns the batch client of a node, or nil if the node is not registered.
func (registry *Registry) Client(name string) batchv1.Batches {
	if client, ok := registry.client(name); ok {
		return client.batches
	}
	return nil
}

// NodeClient returns the client of a node's Nodes service, or nil if the node is not registered.
func (registry *Registry) NodeClient(name string) clusterv1.Nodes {
	if client, ok := registry.client(name); ok {
		return client.nodes
	}
	return nil
}

// ClientOf returns the client for a node record, which need not be in this registry.
func (registry *Registry) ClientOf(record *clusterv1.NodeRecord) clusterv1.Nodes {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return registry.clientOf(record).nodes
}

func (registry *Registry) client(name string) (peerClient, bool) {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	record := registry.nodes[name]
	if record == nil {
		return peerClient{}, false
	}
	return registry.clientOf(record), true
}

// The caller must hold mu.
func (registry *Registry) clientOf(record *clusterv1.NodeRecord) peerClient {
	if known, ok := registry.clients[record.GetName()]; ok && known.address == record.GetAddress() {
		return known
	}
	base := "http://" + record.GetAddress()
	client := peerClient{
		address: record.GetAddress(), batches: batchv1.NewBatchesProtobufClient(base, registry.http),
		nodes: clusterv1.NewNodesProtobufClient(base, registry.http),
	}
	registry.clients[record.GetName()] = client
	return client
}

// IsRegistered reports whether a node is registered with the given incarnation.
func (registry *Registry) IsRegistered(node string, incarnation int64) bool {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	record := registry.nodes[node]
	return record != nil && record.GetLife() == incarnation
}

// SameZone reports whether a node is registered in this node's zone.
func (registry *Registry) SameZone(name string) bool {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	record := registry.nodes[name]
	return record != nil && record.GetZone() == registry.self.GetZone()
}

// Incarnation returns the incarnation of this node.
func (registry *Registry) Incarnation() int64 { return registry.self.GetLife() }

// Count returns the number of registered nodes.
func (registry *Registry) Count() int {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	return len(registry.nodes)
}

// Records returns the records of those named nodes that are registered.
func (registry *Registry) Records(names map[string]bool) []*clusterv1.NodeRecord {
	registry.mu.Lock()
	defer registry.mu.Unlock()
	list := make([]*clusterv1.NodeRecord, 0, len(names))
	for name := range names {
		if record := registry.nodes[name]; record != nil {
			list = append(list, record)
		}
	}
	return list
}
