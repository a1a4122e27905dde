package membership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/twitchtv/twirp"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/peers"
)

// Revisions are the newest revisions of the data that a node has, which members exchange with each probe.
type Revisions struct {
	Configuration uint64
	Partitions    uint64
	Machines      uint64
}

// RevisionExchange supplies this node's revisions and receives those of other nodes.
type RevisionExchange interface {
	Revisions() Revisions
	// HandleRevisions is called with the revisions of the node at a control address.
	HandleRevisions(address string, revisions Revisions)
}

// ProberSettings are the timing parameters of probing. ProbeTimeout plus IndirectTimeout must be below the probe
// interval.
type ProberSettings struct {
	ProbeTimeout    time.Duration
	IndirectTimeout time.Duration
	// IndirectProbes is the number of intermediaries that are asked to probe a member that did not answer.
	IndirectProbes int
	// SyncInterval is the minimum interval between two exchanges of full lists caused by differing digests.
	SyncInterval time.Duration
	// RejoinInterval is the minimum interval between two attempts to reach a seed that is not a live member.
	RejoinInterval time.Duration
}

// Prober runs the membership protocol: it probes one member per tick, answers probes, and joins through seeds. It
// implements the Twirp service Membership.
type Prober struct {
	settings         ProberSettings
	table            *Table
	directory        *peers.Directory
	revisionExchange RevisionExchange
	seeds            func() []string
	logger           *log.Logger
	health           health

	mu         sync.Mutex // guards the fields below
	random     *rand.Rand
	lastSync   time.Time
	lastRejoin time.Time
}

// NewProber returns a prober. The function seeds returns the control addresses through which this node joins.
func NewProber(settings ProberSettings, table *Table, directory *peers.Directory, revisionExchange RevisionExchange, seeds func() []string, seed uint64, logger *log.Logger) *Prober {
	return &Prober{settings: settings, table: table, directory: directory, revisionExchange: revisionExchange, seeds: seeds, logger: logger,
		random: rand.New(rand.NewPCG(seed, seed))}
}

// Tick probes the next member and, at most once per RejoinInterval, contacts a seed that is not a live member.
func (prober *Prober) Tick(ctx context.Context) {
	if !prober.health.shouldProbe() {
		return
	}
	now := time.Now()
	for _, dead := range prober.table.Expire(now, prober.health.scale(1)) {
		prober.logger.Warn("member dead", "node", dead.NodeID, "zone", dead.Zone, "incarnation", dead.Incarnation)
	}
	prober.rejoin(ctx)
	prober.mu.Lock()
	target, ok := prober.table.NextTarget(prober.random)
	prober.mu.Unlock()
	if !ok {
		return
	}
	if prober.probe(ctx, target) {
		prober.health.record(true)
		return
	}
	// The failure may be this node's own, so its health score rises even if the member is dead.
	prober.health.record(false)
	if prober.probeIndirect(ctx, target) || ctx.Err() != nil {
		return
	}
	prober.logger.Info("member suspected", "node", target.NodeID, "incarnation", target.Incarnation)
	prober.table.Suspect(target.NodeID, target.Incarnation, time.Now())
}

// rejoin exchanges full lists with a random seed that is not a live member, at most once per RejoinInterval. This lets a
// new node join, and reunites parts of the cluster that started separately or were partitioned.
func (prober *Prober) rejoin(ctx context.Context) {
	prober.mu.Lock()
	due := time.Since(prober.lastRejoin) >= prober.settings.RejoinInterval
	prober.mu.Unlock()
	if !due {
		return
	}
	live := make(map[string]bool)
	for _, member := range prober.table.View().Live {
		live[member.Address] = true
	}
	var missing []string
	for _, address := range prober.seeds() {
		if !live[address] {
			missing = append(missing, address)
		}
	}
	if len(missing) == 0 {
		return
	}
	prober.mu.Lock()
	prober.lastRejoin = time.Now()
	address := missing[prober.random.IntN(len(missing))]
	prober.mu.Unlock()
	prober.sync(ctx, address)
}

// sync exchanges full lists with the node at an address and reports whether it succeeded.
func (prober *Prober) sync(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, prober.settings.ProbeTimeout+prober.settings.IndirectTimeout)
	defer cancel()
	answer, err := prober.directory.At(address).Membership.Sync(ctx, &controlv1.SyncRequest{Members: toMessages(prober.table.View().All)})
	if err != nil {
		return false
	}
	prober.merge(answer.GetMembers())
	return true
}

func (prober *Prober) merge(messages []*controlv1.Member) {
	if len(messages) == 0 {
		return
	}
	before := prober.table.Self().Incarnation
	prober.table.Merge(fromMessages(messages), time.Now())
	if prober.table.Self().Incarnation != before {
		// Others suspected this node, which may be overloaded.
		prober.health.record(false)
	}
}

// probe sends a direct probe to a member, exchanges pending updates with it, and reports whether it answered.
func (prober *Prober) probe(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, prober.health.scale(prober.settings.ProbeTimeout))
	defer cancel()
	answer, err := prober.directory.At(target.Address).Membership.Probe(ctx, &controlv1.ProbeRequest{
		Sender: toMessage(prober.table.Self()), TargetNodeId: target.NodeID, Changes: prober.changes(target),
		Revisions: prober.revisions(), MemberDigest: prober.table.View().Digest,
	})
	if err != nil {
		return false
	}
	prober.merge(append(answer.GetChanges(), answer.GetResponder()))
	prober.handleRevisions(target.Address, answer.GetRevisions())
	prober.syncIfDifferent(target.Address, answer.GetMemberDigest())
	return true
}

// changes returns pending updates. A suspect always receives the update that suspects it, so that it can refute the suspicion.
func (prober *Prober) changes(target Member) []*controlv1.Member {
	changes := prober.table.Changes()
	if target.State == StateSuspect {
		changes = append(changes, target)
	}
	return toMessages(changes)
}

func (prober *Prober) revisions() *controlv1.Revisions {
	known := prober.revisionExchange.Revisions()
	return &controlv1.Revisions{Configuration: known.Configuration, Partitions: known.Partitions, Machines: known.Machines}
}

func (prober *Prober) handleRevisions(address string, message *controlv1.Revisions) {
	prober.revisionExchange.HandleRevisions(address, Revisions{
		Configuration: message.GetConfiguration(), Partitions: message.GetPartitions(), Machines: message.GetMachines(),
	})
}

// syncIfDifferent starts an exchange of full lists if the digests differ, at most once per SyncInterval.
func (prober *Prober) syncIfDifferent(address string, digest uint64) {
	if digest == prober.table.View().Digest {
		return
	}
	prober.mu.Lock()
	due := time.Since(prober.lastSync) >= prober.settings.SyncInterval
	if due {
		prober.lastSync = time.Now()
	}
	prober.mu.Unlock()
	if due {
		go prober.sync(context.Background(), address)
	}
}

// probeIndirect asks other members to probe the target and reports whether any of them got an answer.
func (prober *Prober) probeIndirect(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, prober.health.scale(prober.settings.IndirectTimeout))
	defer cancel()
	intermediaries := prober.intermediaries(target)
	answers := make(chan bool, len(intermediaries))
	for _, intermediary := range intermediaries {
		go func() {
			answer, err := prober.directory.At(intermediary.Address).Membership.ProbeIndirect(ctx, &controlv1.ProbeIndirectRequest{
				Sender: toMessage(prober.table.Self()), Target: toMessage(target),
			})
			answers <- err == nil && answer.GetAcknowledged()
		}()
	}
	for range intermediaries {
		if <-answers {
			return true
		}
	}
	return false
}

// intermediaries returns up to IndirectProbes random live members other than this node and the target.
func (prober *Prober) intermediaries(target Member) []Member {
	live := prober.table.View().Live
	own := prober.table.Self().NodeID
	prober.mu.Lock()
	defer prober.mu.Unlock()
	var chosen []Member
	for _, index := range prober.random.Perm(len(live)) {
		if len(chosen) >= prober.settings.IndirectProbes {
			break
		}
		if candidate := live[index]; candidate.NodeID != target.NodeID && candidate.NodeID != own {
			chosen = append(chosen, candidate)
		}
	}
	return chosen
}

// Push probes up to count random members at once, so that a new revision spreads without waiting for the next tick.
func (prober *Prober) Push(ctx context.Context, count int) {
	live := prober.table.View().Live
	own := prober.table.Self().NodeID
	prober.mu.Lock()
	order := prober.random.Perm(len(live))
	prober.mu.Unlock()
	for _, index := range order {
		if count == 0 {
			return
		}
		if live[index].NodeID != own {
			go prober.probe(ctx, live[index])
			count--
		}
	}
}

// Probe implements the Twirp service.
func (prober *Prober) Probe(_ context.Context, request *controlv1.ProbeRequest) (*controlv1.ProbeResponse, error) {
	self := prober.table.Self()
	if request.GetTargetNodeId() != self.NodeID {
		return nil, twirp.NotFoundError("another node lives at this address")
	}
	prober.merge(append(request.GetChanges(), request.GetSender()))
	if sender, ok := fromMessage(request.GetSender()); ok {
		prober.handleRevisions(sender.Address, request.GetRevisions())
		prober.syncIfDifferent(sender.Address, request.GetMemberDigest())
	}
	return &controlv1.ProbeResponse{
		Responder: toMessage(prober.table.Self()), Changes: toMessages(prober.table.Changes()),
		Revisions: prober.revisions(), MemberDigest: prober.table.View().Digest,
	}, nil
}

// ProbeIndirect implements the Twirp service.
func (prober *Prober) ProbeIndirect(ctx context.Context, request *controlv1.ProbeIndirectRequest) (*controlv1.ProbeIndirectResponse, error) {
	target, ok := fromMessage(request.GetTarget())
	if !ok {
		return nil, twirp.InvalidArgumentError("target", "has no address")
	}
	return &controlv1.ProbeIndirectResponse{Acknowledged: prober.probe(ctx, target)}, nil
}

// Sync implements the Twirp service.
func (prober *Prober) Sync(_ context.Context, request *controlv1.SyncRequest) (*controlv1.SyncResponse, error) {
	prober.merge(request.GetMembers())
	return &controlv1.SyncResponse{Members: toMessages(prober.table.View().All)}, nil
}

// Leave marks this node as left and probes up to count random members to announce it.
func (prober *Prober) Leave(ctx context.Context, count int) {
	prober.table.Leave(time.Now())
	live := prober.table.View().Live
	var pending sync.WaitGroup
	prober.mu.Lock()
	order := prober.random.Perm(len(live))
	prober.mu.Unlock()
	for _, index := range order[:min(count, len(order))] {
		pending.Go(func() { prober.probe(ctx, live[index]) })
	}
	pending.Wait()
}
