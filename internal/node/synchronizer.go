package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/twitchtv/twirp"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/configuration"
	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/keyvalue"
	"github.com/thistlewalk/thistlewalk/internal/loads"
	"github.com/thistlewalk/thistlewalk/internal/machines"
	"github.com/thistlewalk/thistlewalk/internal/membership"
	"github.com/thistlewalk/thistlewalk/internal/partition"
	"github.com/thistlewalk/thistlewalk/internal/placement"
)

// synchronizer moves configuration, partitions, the machine list and load digests between nodes. It implements the
// Twirp services Configuration and Load, and membership.RevisionExchange.
type synchronizer struct {
	node *Node

	mu      sync.Mutex
	pulling bool
	olderAt time.Time // when an older revision of the service was last reported
	stop    context.CancelFunc
	done    sync.WaitGroup
}

func newSynchronizer(node *Node) *synchronizer { return &synchronizer{node: node} }

// pushPeers is how many members are notified at once of a revision that is new to this node.
const pushPeers = 3

// run watches for changes until halt: each is pushed on, and onChange is called.
func (synchronizer *synchronizer) run(onChange func()) {
	ctx, stop := context.WithCancel(context.Background())
	synchronizer.stop = stop
	synchronizer.done.Go(func() {
		for {
			changed := synchronizer.node.follower.Changed()
			select {
			case <-ctx.Done():
				return
			case <-changed:
				onChange()
				synchronizer.node.prober.Push(ctx, pushPeers)
			}
		}
	})
}

func (synchronizer *synchronizer) halt() {
	if synchronizer.stop != nil {
		synchronizer.stop()
		synchronizer.done.Wait()
	}
}

// Revisions implements membership.RevisionExchange.
func (synchronizer *synchronizer) Revisions() membership.Revisions {
	follower := synchronizer.node.follower
	return membership.Revisions{
		Configuration: follower.Document().Revision, Partitions: follower.Table().Revision, Machines: follower.Machines().Revision,
	}
}

// HandleRevisions implements membership.RevisionExchange: it pulls when the other node knows more. One pull runs at a
// time.
func (synchronizer *synchronizer) HandleRevisions(address string, other membership.Revisions) {
	own := synchronizer.Revisions()
	if other.Configuration <= own.Configuration && other.Partitions <= own.Partitions && other.Machines <= own.Machines {
		return
	}
	synchronizer.mu.Lock()
	defer synchronizer.mu.Unlock()
	if synchronizer.pulling {
		return
	}
	synchronizer.pulling = true
	go synchronizer.pull(address)
}

func (synchronizer *synchronizer) pull(address string) {
	defer func() {
		synchronizer.mu.Lock()
		synchronizer.pulling = false
		synchronizer.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(context.Background(), synchronizer.node.settings.Platform.Timeout)
	defer cancel()
	own := synchronizer.Revisions()
	answer, err := synchronizer.node.directory.At(address).Configuration.Pull(ctx, &controlv1.PullRequest{Known: &controlv1.Revisions{
		Configuration: own.Configuration, Partitions: own.Partitions, Machines: own.Machines,
	}})
	if err == nil {
		err = synchronizer.take(answer)
	}
	if err != nil {
		synchronizer.node.logger.Debug("pull failed", "address", address, "error", err)
	}
}

// take offers what a pull brought.
func (synchronizer *synchronizer) take(answer *controlv1.PullResponse) error {
	var failure error
	if content := answer.GetConfiguration(); len(content) > 0 {
		var document experiment.Document
		if err := configuration.DecodeMessage(content, &document); err != nil {
			failure = errors.CombineErrors(failure, err)
		} else if synchronizer.node.follower.Offer(document) {
			synchronizer.node.logger.Info("configuration in force", "revision", document.Revision)
		}
	}
	if content := answer.GetPartitions(); len(content) > 0 {
		var table partition.Table
		if err := configuration.DecodeMessage(content, &table); err != nil {
			failure = errors.CombineErrors(failure, err)
		} else {
			synchronizer.node.follower.OfferTable(table)
		}
	}
	if content := answer.GetMachines(); len(content) > 0 {
		var list machines.List
		if err := configuration.DecodeMessage(content, &list); err != nil {
			failure = errors.CombineErrors(failure, err)
		} else {
			synchronizer.node.follower.OfferMachines(list)
		}
	}
	return failure
}

// Pull implements the Twirp service: it gives what is newer than the caller knows.
func (synchronizer *synchronizer) Pull(_ context.Context, request *controlv1.PullRequest) (*controlv1.PullResponse, error) {
	follower := synchronizer.node.follower
	known := request.GetKnown()
	response := &controlv1.PullResponse{}
	var err error
	if document := follower.Document(); document.Revision > known.GetConfiguration() {
		response.Configuration, err = configuration.EncodeMessage(document)
	}
	if table := follower.Table(); err == nil && table.Revision > known.GetPartitions() {
		response.Partitions, err = configuration.EncodeMessage(table)
	}
	if list := follower.Machines(); err == nil && list.Revision > known.GetMachines() {
		response.Machines, err = configuration.EncodeMessage(list)
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return response, nil
}

// Exchange implements the Twirp service: it gives digests that are newer than the caller's.
func (synchronizer *synchronizer) Exchange(_ context.Context, request *controlv1.ExchangeRequest) (*controlv1.ExchangeResponse, error) {
	return synchronizer.node.loads.Newer(request, time.Now(), synchronizer.node.settings.Replicas.MaximumAge), nil
}

// Push implements the Twirp service: it takes digests, and pushes on those whose flags were news here.
func (synchronizer *synchronizer) Push(_ context.Context, pushed *controlv1.ExchangeResponse) (*controlv1.PushResponse, error) {
	synchronizer.pushLoads(synchronizer.node.loads.Merge(pushed, synchronizer.node.follower.Machines(), time.Now()))
	return &controlv1.PushResponse{}, nil
}

// pushLoads tells some random peers at once of digests whose flags changed.
func (synchronizer *synchronizer) pushLoads(changed []*loads.Digest) {
	if len(changed) == 0 {
		return
	}
	message := loads.Pushed(changed)
	peers := synchronizer.exchangePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), pushPeers)] {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), synchronizer.node.settings.Membership.ProbeTimeout)
			defer cancel()
			_, _ = synchronizer.node.directory.At(peer.Address).Load.Push(ctx, message)
		}()
	}
}

// smallSystem is the number of replicas up to which digests travel between all nodes, not only inside a zone.
const smallSystem = 64

// exchange asks random peers for newer digests.
func (synchronizer *synchronizer) exchange(ctx context.Context) {
	node := synchronizer.node
	now := time.Now()
	node.loads.EvictOlderThan(now, forgetAges*node.settings.Replicas.MaximumAge)
	peers := synchronizer.exchangePeers()
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, peer := range peers[:min(len(peers), node.settings.Membership.ExchangePeers)] {
		callCtx, cancel := context.WithTimeout(ctx, node.settings.Membership.ProbeTimeout)
		answer, err := node.directory.At(peer.Address).Load.Exchange(callCtx, node.loads.Known(time.Now(), node.settings.Replicas.MaximumAge))
		cancel()
		if err == nil {
			synchronizer.pushLoads(node.loads.Merge(answer, node.follower.Machines(), time.Now()))
		}
	}
}

// forgetAges is after how many maximum ages a digest's replica is forgotten.
const forgetAges = 2

// exchangePeers are the live others of the zone; of all zones in a small system.
func (synchronizer *synchronizer) exchangePeers() []membership.Member {
	node := synchronizer.node
	engines := 0
	for _, machine := range node.follower.Machines().Machines {
		if machine.Role == machines.RoleEngine {
			engines++
		}
	}
	var peers []membership.Member
	for _, member := range node.members.View().Live {
		if member.NodeID != node.settings.Node.ID && (engines <= smallSystem || member.Zone == node.settings.Node.Zone) {
			peers = append(peers, member)
		}
	}
	return peers
}

// isRelay reports whether this node watches the platform's services for its zone.
func (synchronizer *synchronizer) isRelay() bool {
	node := synchronizer.node
	var zone []string
	for _, member := range node.members.View().Live {
		if member.Zone == node.settings.Node.Zone {
			zone = append(zone, member.NodeID)
		}
	}
	ranked := placement.Rank("relay/"+node.settings.Node.Zone, zone, func(id string) string { return id })
	for _, nodeID := range ranked[:min(len(ranked), node.settings.Membership.RelaysPerZone)] {
		if nodeID == node.settings.Node.ID {
			return true
		}
	}
	return false
}

const (
	watchWait    = 5 * time.Second
	olderSilence = 30 * time.Second
)

// pollService watches the key-value service while this node is a relay.
func (synchronizer *synchronizer) pollService(ctx context.Context) {
	if !synchronizer.isRelay() {
		sleep(ctx, time.Second)
		return
	}
	err := synchronizer.node.relay.Poll(ctx, watchWait)
	switch {
	case err == nil || ctx.Err() != nil:
	case errors.Is(err, configuration.ErrStaleService):
		synchronizer.reportOlder(err)
		sleep(ctx, time.Second)
	case errors.Is(err, keyvalue.ErrLimited):
		sleep(ctx, time.Second)
	default:
		synchronizer.node.logger.Debug("key-value service not read", "error", err)
		sleep(ctx, time.Second/2)
	}
}

// reportOlder logs, now and then, that the service came back older.
func (synchronizer *synchronizer) reportOlder(err error) {
	if time.Since(synchronizer.olderAt) < olderSilence {
		return
	}
	synchronizer.olderAt = time.Now()
	synchronizer.node.logger.Error("older configuration refused", "code", 602, "error", err)
}

// pollMachines reads the machine list while this node is a relay.
func (synchronizer *synchronizer) pollMachines(ctx context.Context) {
	if !synchronizer.isRelay() {
		return
	}
	list, newer, err := synchronizer.node.source.Newer(ctx, synchronizer.node.follower.Machines().Revision)
	if err != nil {
		synchronizer.node.logger.Debug("machine list not read", "error", err)
		return
	}
	if newer {
		synchronizer.node.follower.OfferMachines(list)
	}
}

// sleep waits unless the context ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
