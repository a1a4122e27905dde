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
	"github.com/thistlewalk/thistlewalk/internal/machines"
	"github.com/thistlewalk/thistlewalk/internal/membership"
	"github.com/thistlewalk/thistlewalk/internal/partition"
	"github.com/thistlewalk/thistlewalk/internal/placement"
	"github.com/thistlewalk/thistlewalk/internal/replicaload"
)

// synchronizer exchanges the configuration, the partition table, the machine list and load digests with other nodes, and
// polls the platform while this node is a relay. It implements the Twirp services Configuration and Load, and
// membership.Spread.
type synchronizer struct {
	node *Node

	mu              sync.Mutex
	pulling         bool
	lastOlderReport time.Time // when an older revision in the key-value service was last logged
	cancel          context.CancelFunc
	done            sync.WaitGroup
}

func newSynchronizer(node *Node) *synchronizer { return &synchronizer{node: node} }

// pushPeers is the number of random members that are notified directly of a new revision or of changed digests.
const pushPeers = 3

// run starts to watch the follower until close is called. After each change it calls onChange and notifies a few members.
func (synchronizer *synchronizer) run(onChange func()) {
	ctx, cancel := context.WithCancel(context.Background())
	synchronizer.cancel = cancel
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

func (synchronizer *synchronizer) close() {
	if synchronizer.cancel != nil {
		synchronizer.cancel()
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

// Heard implements membership.Spread. It pulls from the other node if one of that node's revisions is newer. One pull runs
// at a time.
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
		err = synchronizer.apply(answer)
	}
	if err != nil {
		synchronizer.node.logger.Debug("pull failed", "address", address, "error", err)
	}
}

// apply offers the documents of a pull response to the follower.
func (synchronizer *synchronizer) apply(answer *controlv1.PullResponse) error {
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

// Pull implements the Twirp service Configuration. It returns each document whose revision is newer than the caller's.
func (synchronizer *synchronizer) Pull(_ context.Context, request *controlv1.PullRequest) (*controlv1.PullResponse, error) {
	follower := synchronizer.node.follower
	callerRevisions := request.GetKnown()
	response := &controlv1.PullResponse{}
	var err error
	if document := follower.Document(); document.Revision > callerRevisions.GetConfiguration() {
		response.Configuration, err = configuration.EncodeMessage(document)
	}
	if table := follower.Table(); err == nil && table.Revision > callerRevisions.GetPartitions() {
		response.Partitions, err = configuration.EncodeMessage(table)
	}
	if list := follower.Machines(); err == nil && list.Revision > callerRevisions.GetMachines() {
		response.Machines, err = configuration.EncodeMessage(list)
	}
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return response, nil
}

// Exchange implements the Twirp service Load. It returns the digests that are newer than the caller's.
func (synchronizer *synchronizer) Exchange(_ context.Context, request *controlv1.ExchangeRequest) (*controlv1.ExchangeResponse, error) {
	return synchronizer.node.loads.Newer(request, time.Now(), synchronizer.node.settings.Replicas.MaximumAge), nil
}

// Push implements the Twirp service Load. It merges the digests and forwards those whose flags changed on this node.
func (synchronizer *synchronizer) Push(_ context.Context, pushed *controlv1.ExchangeResponse) (*controlv1.PushResponse, error) {
	synchronizer.pushLoads(synchronizer.node.loads.Merge(pushed, synchronizer.node.follower.Machines(), time.Now()))
	return &controlv1.PushResponse{}, nil
}

// pushLoads sends digests whose flags changed to a few random peers, without waiting for the next exchange.
func (synchronizer *synchronizer) pushLoads(changed []*replicaload.Digest) {
	if len(changed) == 0 {
		return
	}
	message := replicaload.Pushed(changed)
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

// globalExchangeReplicas is the number of replicas up to which nodes exchange load digests across zones. With more replicas
// they exchange them only inside their zone.
const globalExchangeReplicas = 64

// exchange removes old digests and requests newer ones from random peers.
func (synchronizer *synchronizer) exchange(ctx context.Context) {
	node := synchronizer.node
	now := time.Now()
	node.loads.EvictOlderThan(now, forgetAfterAges*node.settings.Replicas.MaximumAge)
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

// forgetAfterAges times the maximum age of a digest is the age at which its replica is removed.
const forgetAfterAges = 2

// exchangePeers returns the other live members of this node's zone, or of all zones if there are at most
// globalExchangeReplicas replicas.
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
		if member.NodeID != node.settings.Node.ID && (engines <= globalExchangeReplicas || member.Zone == node.settings.Node.Zone) {
			peers = append(peers, member)
		}
	}
	return peers
}

// isRelay reports whether this node is one of those that poll the platform's services for its zone.
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
	watchWait           = 5 * time.Second
	olderReportInterval = 30 * time.Second
)

// pollKeyValue waits for a change in the key-value service if this node is a relay.
func (synchronizer *synchronizer) pollKeyValue(ctx context.Context) {
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
		synchronizer.node.logger.Debug("cannot read the key-value service", "error", err)
		sleep(ctx, time.Second/2)
	}
}

// reportOlder logs that the key-value service holds an older configuration, at most once in olderReportInterval.
func (synchronizer *synchronizer) reportOlder(err error) {
	if time.Since(synchronizer.lastOlderReport) < olderReportInterval {
		return
	}
	synchronizer.lastOlderReport = time.Now()
	synchronizer.node.logger.Error("older configuration refused", "code", 602, "error", err)
}

// pollMachines reads the machine list if this node is a relay.
func (synchronizer *synchronizer) pollMachines(ctx context.Context) {
	if !synchronizer.isRelay() {
		return
	}
	list, newer, err := synchronizer.node.machineSource.Newer(ctx, synchronizer.node.follower.Machines().Revision)
	if err != nil {
		synchronizer.node.logger.Debug("cannot read the machine list", "error", err)
		return
	}
	if newer {
		synchronizer.node.follower.OfferMachines(list)
	}
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
