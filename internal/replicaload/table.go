// Package replicaload stores the load digests of replicas, which lag behind, and corrects them by the requests that this node
// has in flight. The table is sharded to reduce lock contention.
package replicaload

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/placement"
)

const shardCount = 16

// Replica is the state of one replica on this node. The digest is replaced atomically; the counters cover only requests of
// this node.
type Replica struct {
	hash     uint64 // of the identifier, for rendezvous hashing
	digest   atomic.Pointer[Digest]
	inFlight atomic.Int64
	// Circuit breaker: consecutive failures of this node's requests, and when the replica may be tried again.
	failures  atomic.Int64
	openUntil atomic.Int64 // Unix milliseconds
}

// Digest is the load that a replica published.
type Digest struct {
	ID       string
	Address  string
	Zone     string
	Sequence uint64 // Unix milliseconds of the publisher's clock
	Running  int
	Queued   int
	Capacity int
	Leaving  bool
	Failed   bool
	Held     []*controlv1.HeldVersion
	// holding is the fingerprint of Held.
	holding  uint32
	received time.Time
	// inFlightAtReceipt is the number of this node's requests in flight when the digest was received.
	inFlightAtReceipt int64
}

// HeldVersion returns the versions of a policy that the replica holds; nil if it holds none.
func (digest *Digest) HeldVersion(policy string) *controlv1.HeldVersion {
	for _, held := range digest.Held {
		if held.GetPolicy() == policy {
			return held
		}
	}
	return nil
}

// Received returns when this node received the digest.
func (digest *Digest) Received() time.Time { return digest.received }

// Hash returns the hash of the replica's identifier for placement.
func (replica *Replica) Hash() uint64 { return replica.hash }

// Digest returns the most recent digest.
func (replica *Replica) Digest() *Digest { return replica.digest.Load() }

// Begin counts a request to the replica as in flight until the returned function is called.
func (replica *Replica) Begin() func() {
	replica.inFlight.Add(1)
	return func() { replica.inFlight.Add(-1) }
}

// Estimate returns the estimated number of running and queued requests: the number in the digest, corrected by the change
// in this node's requests in flight since the digest was received. It is at least the number of the latter.
func (replica *Replica) Estimate() int {
	digest := replica.digest.Load()
	own := replica.inFlight.Load()
	estimate := int64(digest.Running+digest.Queued) + own - digest.inFlightAtReceipt
	return int(max(estimate, own, 0))
}

// Limits of the circuit breaker of a replica.
const (
	breakerThreshold = 3
	breakerCooldown  = 2 * time.Second
)

// Failed records a failed request of this node. After breakerThreshold consecutive failures it opens the circuit breaker.
func (replica *Replica) Failed(now time.Time) {
	if replica.failures.Add(1) >= breakerThreshold {
		replica.openUntil.Store(now.Add(breakerCooldown).UnixMilli())
	}
}

// Succeeded closes the circuit breaker.
func (replica *Replica) Succeeded() {
	replica.failures.Store(0)
	replica.openUntil.Store(0)
}

// Open reports whether the circuit breaker is open.
func (replica *Replica) Open(now time.Time) bool { return now.UnixMilli() < replica.openUntil.Load() }

type shard struct {
	mu       sync.RWMutex
	replicas map[string]*Replica
}

// Table holds the replicas by identifier. It is safe for concurrent use.
type Table struct {
	shards        [shardCount]shard
	version       atomic.Uint64 // incremented with each change of the set of replicas
	listed        atomic.Pointer[[]*Replica]
	listedVersion atomic.Uint64
	machines      atomic.Pointer[machineIndex]
	holdings      sync.Map // []*controlv1.HeldVersion by fingerprint
}

// NewTable returns an empty table.
func NewTable() *Table {
	table := &Table{}
	for index := range table.shards {
		table.shards[index].replicas = make(map[string]*Replica)
	}
	return table
}

func (table *Table) shardOf(id string) *shard {
	return &table.shards[xxhash.Sum64String(id)%shardCount]
}

// Change is the kind of change that a digest made.
type Change int

const (
	ChangeNone  Change = iota // the digest is not newer: nothing changed
	ChangeLoad                // the load changed
	ChangeFlags               // the failed or leaving flag changed, or a new replica has one set
)

// Offer stores a digest if it is newer than the current one, and returns what it changed.
func (table *Table) Offer(digest Digest, now time.Time) Change {
	shard := table.shardOf(digest.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	digest.received = now
	digest.holding = Fingerprint(digest.Held)
	if _, known := table.holdings.Load(digest.holding); !known {
		table.holdings.Store(digest.holding, digest.Held)
	}
	replica, ok := shard.replicas[digest.ID]
	if !ok {
		replica = &Replica{hash: placement.Hash(digest.ID)}
		replica.digest.Store(&digest)
		shard.replicas[digest.ID] = replica
		table.version.Add(1)
		if digest.Failed || digest.Leaving {
			return ChangeFlags
		}
		return ChangeLoad
	}
	current := replica.digest.Load()
	if digest.Sequence <= current.Sequence {
		return ChangeNone
	}
	digest.inFlightAtReceipt = replica.inFlight.Load()
	replica.digest.Store(&digest)
	if digest.flags() != current.flags() {
		return ChangeFlags
	}
	return ChangeLoad
}

// Get returns a replica by identifier; nil if it is unknown.
func (table *Table) Get(id string) *Replica {
	shard := table.shardOf(id)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.replicas[id]
}

// maxHoldings bounds the cached holdings. Holdings that are still in use are received again with later digests.
const maxHoldings = 1024

// pruneHoldings removes holdings that no current digest has, once more than maxHoldings are cached.
func (table *Table) pruneHoldings() {
	count := 0
	table.holdings.Range(func(any, any) bool { count++; return count <= maxHoldings })
	if count <= maxHoldings {
		return
	}
	table.holdings.Clear()
	for _, replica := range table.List() {
		digest := replica.Digest()
		table.holdings.Store(digest.holding, digest.Held)
	}
}

// EvictOlderThan removes replicas without requests in flight whose digest is older than age.
func (table *Table) EvictOlderThan(now time.Time, age time.Duration) {
	table.pruneHoldings()
	for index := range table.shards {
		shard := &table.shards[index]
		shard.mu.Lock()
		for id, replica := range shard.replicas {
			if now.Sub(replica.Digest().received) > age && replica.inFlight.Load() == 0 {
				delete(shard.replicas, id)
				table.version.Add(1)
			}
		}
		shard.mu.Unlock()
	}
}

// List returns all replicas, ordered by identifier. The caller must not modify the slice.
func (table *Table) List() []*Replica {
	version := table.version.Load()
	if listed := table.listed.Load(); listed != nil && table.listedVersion.Load() == version {
		return *listed
	}
	var replicas []*Replica
	for index := range table.shards {
		shard := &table.shards[index]
		shard.mu.RLock()
		for _, replica := range shard.replicas {
			replicas = append(replicas, replica)
		}
		shard.mu.RUnlock()
	}
	slices.SortFunc(replicas, func(a, b *Replica) int { return strings.Compare(a.Digest().ID, b.Digest().ID) })
	table.listed.Store(&replicas)
	table.listedVersion.Store(version)
	return replicas
}
