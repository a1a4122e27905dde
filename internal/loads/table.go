// Package loads keeps the lagging load digests of replicas, in shards, each under its own lock, and corrects them by the
// node's own requests in flight.
package loads

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

// Replica is what the node knows of one replica. Digest is replaced whole; the counters are the node's own.
type Replica struct {
	hash     uint64 // of the identifier, for placement
	digest   atomic.Pointer[Digest]
	inFlight atomic.Int64
	// Consecutive failures of the node's own requests, and when the replica may be tried again.
	failures  atomic.Int64
	openUntil atomic.Int64 // Unix milliseconds
}

// Digest is one published load.
type Digest struct {
	ID       string
	Address  string
	Zone     string
	Sequence uint64 // milliseconds of Unix time at the publisher
	Running  int
	Queued   int
	Capacity int
	Leaving  bool
	Failed   bool
	Held     []*controlv1.HeldVersion
	// holding is the fingerprint of Held.
	holding  uint32
	received time.Time
	// ownAtReceipt is the node's own requests in flight when the digest came.
	ownAtReceipt int64
}

// HeldVersion returns what the replica holds of a policy; nil when nothing.
func (digest *Digest) HeldVersion(policy string) *controlv1.HeldVersion {
	for _, held := range digest.Held {
		if held.GetPolicy() == policy {
			return held
		}
	}
	return nil
}

// Received returns when the digest came to this node.
func (digest *Digest) Received() time.Time { return digest.received }

// Hash returns the hash of the replica's identifier, for placement.
func (replica *Replica) Hash() uint64 { return replica.hash }

// Digest returns the newest digest.
func (replica *Replica) Digest() *Digest { return replica.digest.Load() }

// Begin counts a request to the replica; the function returned ends it.
func (replica *Replica) Begin() func() {
	replica.inFlight.Add(1)
	return func() { replica.inFlight.Add(-1) }
}

// Estimate returns the replica's requests, running and queued: the digest's, corrected by how the node's own requests in
// flight have changed since.
func (replica *Replica) Estimate() int {
	digest := replica.digest.Load()
	own := replica.inFlight.Load()
	estimate := int64(digest.Running+digest.Queued) + own - digest.ownAtReceipt
	return int(max(estimate, own, 0))
}

// Limits of the circuit breaker of a replica.
const (
	breakerFailures = 3
	breakerPause    = 2 * time.Second
)

// Failed notes that one of the node's own requests failed at the replica; several in a row open its breaker.
func (replica *Replica) Failed(now time.Time) {
	if replica.failures.Add(1) >= breakerFailures {
		replica.openUntil.Store(now.Add(breakerPause).UnixMilli())
	}
}

// Succeeded closes the breaker.
func (replica *Replica) Succeeded() {
	replica.failures.Store(0)
	replica.openUntil.Store(0)
}

// Open reports whether the breaker keeps requests away.
func (replica *Replica) Open(now time.Time) bool { return now.UnixMilli() < replica.openUntil.Load() }

type shard struct {
	mu       sync.RWMutex
	replicas map[string]*Replica
}

// Table holds all replicas. It is safe for concurrent use.
type Table struct {
	shards   [shardCount]shard
	version  atomic.Uint64 // grows with each change of the set
	listed   atomic.Pointer[[]*Replica]
	listedAt atomic.Uint64
	machines atomic.Pointer[machineIndex]
	held     sync.Map // what replicas hold, by fingerprint: []*controlv1.HeldVersion
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

// News is what an offered digest changed.
type News int

// The kinds of news.
const (
	NewsNone  News = iota // an older digest: nothing changed
	NewsLoad              // a newer load
	NewsFlags             // the replica began or ceased to be failed or leaving
)

// Offer takes a digest that is newer than the one held, and tells what it changed.
func (table *Table) Offer(digest Digest, now time.Time) News {
	shard := table.shardOf(digest.ID)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	digest.received = now
	digest.holding = Fingerprint(digest.Held)
	if _, known := table.held.Load(digest.holding); !known {
		table.held.Store(digest.holding, digest.Held)
	}
	replica, ok := shard.replicas[digest.ID]
	if !ok {
		replica = &Replica{hash: placement.Hash(digest.ID)}
		replica.digest.Store(&digest)
		shard.replicas[digest.ID] = replica
		table.version.Add(1)
		if digest.Failed || digest.Leaving {
			return NewsFlags
		}
		return NewsLoad
	}
	present := replica.digest.Load()
	if digest.Sequence <= present.Sequence {
		return NewsNone
	}
	digest.ownAtReceipt = replica.inFlight.Load()
	replica.digest.Store(&digest)
	if digest.flags() != present.flags() {
		return NewsFlags
	}
	return NewsLoad
}

// Get returns a replica by identifier; nil when it is not known.
func (table *Table) Get(id string) *Replica {
	shard := table.shardOf(id)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.replicas[id]
}

// maximumHoldings bounds the remembered holdings; those that replicas still have come again with their digests.
const maximumHoldings = 1024

// forgetHoldings empties the memory of holdings when it has grown, but for those that are held now.
func (table *Table) forgetHoldings() {
	count := 0
	table.held.Range(func(any, any) bool { count++; return count <= maximumHoldings })
	if count <= maximumHoldings {
		return
	}
	table.held.Clear()
	for _, replica := range table.List() {
		digest := replica.Digest()
		table.held.Store(digest.holding, digest.Held)
	}
}

// Forget removes replicas whose digest came longer ago than the age given.
func (table *Table) Forget(now time.Time, age time.Duration) {
	table.forgetHoldings()
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

// List returns all replicas by identifier. The slice must not be changed.
func (table *Table) List() []*Replica {
	version := table.version.Load()
	if listed := table.listed.Load(); listed != nil && table.listedAt.Load() == version {
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
	table.listedAt.Store(version)
	return replicas
}
