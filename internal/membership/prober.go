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

// Revisions are the newest revisions that a node knows of what spreads beside the members.
type Revisions struct {
	Configuration uint64
	Partitions    uint64
	Machines      uint64
}

// Spread is told of revisions that others know.
type Spread interface {
	Revisions() Revisions
	// Heard is called with the revisions of the node at a control address.
	Heard(address string, revisions Revisions)
}

// ProberSettings are the times of probing. The sum of both timeouts must be below the probe interval.
type ProberSettings struct {
	ProbeTimeout    time.Duration
	IndirectTimeout time.Duration
	// IndirectProbes is how many others are asked to probe a member that did not answer.
	IndirectProbes int
	// SyncInterval is the least time between two exchanges of whole lists that differing digests cause.
	SyncInterval time.Duration
	// RejoinInterval is the least time between two tries to reach a seed that is not a live member.
	RejoinInterval time.Duration
}

// Prober probes one member a tick, answers the probes of others, and joins. It implements the Twirp service Membership.
type Prober struct {
	settings  ProberSettings
	table     *Table
	directory *peers.Directory
	spread    Spread
	seeds     func() []string
	logger    *log.Logger
	health    health

	mu       sync.Mutex // guards what follows
	random   *rand.Rand
	synced   time.Time
	rejoined time.Time
}

// NewProber returns a prober. seeds gives control addresses to join through.
func NewProber(settings ProberSettings, table *Table, directory *peers.Directory, spread Spread, seeds func() []string, seed uint64, logger *log.Logger) *Prober {
	return &Prober{settings: settings, table: table, directory: directory, spread: spread, seeds: seeds, logger: logger,
		random: rand.New(rand.NewPCG(seed, seed))}
}

// Tick probes the next member, and now and then a seed that is not a live member.
func (prober *Prober) Tick(ctx context.Context) {
	if !prober.health.due() {
		return
	}
	now := time.Now()
	for _, dead := range prober.table.Expire(now, prober.health.stretch(1)) {
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
		prober.health.note(true)
		return
	}
	// A silent member or an own fault: both make this node more patient until probes succeed again.
	prober.health.note(false)
	if prober.probeIndirect(ctx, target) || ctx.Err() != nil {
		return
	}
	prober.logger.Info("member suspected", "node", target.NodeID, "incarnation", target.Incarnation)
	prober.table.Suspect(target.NodeID, target.Incarnation, time.Now())
}

// rejoin exchanges lists with a random seed that is not a live member, at most once an interval: so a node joins, islands
// that formed at the start merge, and the sides of a healed cut find each other.
func (prober *Prober) rejoin(ctx context.Context) {
	prober.mu.Lock()
	due := time.Since(prober.rejoined) >= prober.settings.RejoinInterval
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
	prober.rejoined = time.Now()
	address := missing[prober.random.IntN(len(missing))]
	prober.mu.Unlock()
	prober.sync(ctx, address)
}

// sync exchanges whole lists with the node at an address.
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
		// Others found this node silent: it may be slow itself.
		prober.health.note(false)
	}
}

// probe asks a member directly and exchanges changes.
func (prober *Prober) probe(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, prober.health.stretch(prober.settings.ProbeTimeout))
	defer cancel()
	answer, err := prober.directory.At(target.Address).Membership.Probe(ctx, &controlv1.ProbeRequest{
		Sender: toMessage(prober.table.Self()), TargetNodeId: target.NodeID, Changes: prober.changes(target),
		Revisions: prober.revisions(), MemberDigest: prober.table.View().Digest,
	})
	if err != nil {
		return false
	}
	prober.merge(append(answer.GetChanges(), answer.GetResponder()))
	prober.heard(target.Address, answer.GetRevisions())
	prober.syncIfDifferent(target.Address, answer.GetMemberDigest())
	return true
}

// changes returns pending news; a suspect is always told, so that it can refute.
func (prober *Prober) changes(target Member) []*controlv1.Member {
	changes := prober.table.Changes()
	if target.State == StateSuspect {
		changes = append(changes, target)
	}
	return toMessages(changes)
}

func (prober *Prober) revisions() *controlv1.Revisions {
	known := prober.spread.Revisions()
	return &controlv1.Revisions{Configuration: known.Configuration, Partitions: known.Partitions, Machines: known.Machines}
}

func (prober *Prober) heard(address string, message *controlv1.Revisions) {
	prober.spread.Heard(address, Revisions{
		Configuration: message.GetConfiguration(), Partitions: message.GetPartitions(), Machines: message.GetMachines(),
	})
}

// syncIfDifferent exchanges whole lists when digests differ while no news is pending, at most once an interval.
func (prober *Prober) syncIfDifferent(address string, digest uint64) {
	if digest == prober.table.View().Digest {
		return
	}
	prober.mu.Lock()
	due := time.Since(prober.synced) >= prober.settings.SyncInterval
	if due {
		prober.synced = time.Now()
	}
	prober.mu.Unlock()
	if due {
		go prober.sync(context.Background(), address)
	}
}

// probeIndirect asks some other members to probe the target.
func (prober *Prober) probeIndirect(ctx context.Context, target Member) bool {
	ctx, cancel := context.WithTimeout(ctx, prober.health.stretch(prober.settings.IndirectTimeout))
	defer cancel()
	helpers := prober.helpers(target)
	answers := make(chan bool, len(helpers))
	for _, helper := range helpers {
		go func() {
			answer, err := prober.directory.At(helper.Address).Membership.ProbeIndirect(ctx, &controlv1.ProbeIndirectRequest{
				Sender: toMessage(prober.table.Self()), Target: toMessage(target),
			})
			answers <- err == nil && answer.GetAcknowledged()
		}()
	}
	for range helpers {
		if <-answers {
			return true
		}
	}
	return false
}

// helpers picks random live members other than the target.
func (prober *Prober) helpers(target Member) []Member {
	live := prober.table.View().Live
	own := prober.table.Self().NodeID
	prober.mu.Lock()
	defer prober.mu.Unlock()
	var helpers []Member
	for _, index := range prober.random.Perm(len(live)) {
		if len(helpers) >= prober.settings.IndirectProbes {
			break
		}
		if candidate := live[index]; candidate.NodeID != target.NodeID && candidate.NodeID != own {
			helpers = append(helpers, candidate)
		}
	}
	return helpers
}

// Push probes some random members at once, so that a new revision spreads without waiting for the next tick.
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
		prober.heard(sender.Address, request.GetRevisions())
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

// Leave tells some members at once that this node leaves as planned.
func (prober *Prober) Leave(ctx context.Context, tell int) {
	prober.table.Leave(time.Now())
	live := prober.table.View().Live
	var pending sync.WaitGroup
	prober.mu.Lock()
	order := prober.random.Perm(len(live))
	prober.mu.Unlock()
	for _, index := range order[:min(tell, len(order))] {
		pending.Go(func() { prober.probe(ctx, live[index]) })
	}
	pending.Wait()
}
