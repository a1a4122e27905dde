// Package dissemination spreads what one node reads of the metadata store to the others, so that these need not each read it:
// the publisher pushes the replicas at each change, and a beacon tells how new its knowledge is. A node that hears no beacon,
// or one that is ahead of what it has, reads the store itself.
package dissemination

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

const (
	beaconInterval = 400 * time.Millisecond
	publishLimit   = 500 * time.Millisecond
)

// pushesAtOnce bounds the pushes in progress, so that many nodes at once don't choke the publisher's link.
const pushesAtOnce = 32

// Publisher pushes a catalog's replicas and sends beacons.
type Publisher struct {
	Node     string
	Catalog  *catalog.Table
	Registry *cluster.Registry
	// Nodes returns the nodes to publish to; nil for all others.
	Nodes func() []*clusterv1.NodeRecord
	// Relay says that this node stands in for the publisher, and orders no replicas.
	Relay     bool
	Datagrams *cluster.Datagrams
	Health    *metadata.Health
	Logger    *log.Logger

	pushes chan struct{}

	mu      sync.Mutex
	changes *changes
	acked   map[string]int64 // revision that each node has reached, as it told
	pushing map[string]bool  // nodes with a push in progress
}

// Run publishes until the context ends. It says nothing while the metadata store does not answer.
func (publisher *Publisher) Run(ctx context.Context) {
	publisher.mu.Lock()
	publisher.changes = newChanges()
	publisher.acked, publisher.pushing = make(map[string]int64), make(map[string]bool)
	publisher.mu.Unlock()
	publisher.pushes = make(chan struct{}, pushesAtOnce)
	ticker := time.NewTicker(beaconInterval)
	defer ticker.Stop()
	for {
		changed := publisher.Catalog.Changed()
		if publisher.Health.Good() {
			publisher.publish(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// publish pushes the replicas to whoever lacks them, and sends the beacon.
func (publisher *Publisher) publish(ctx context.Context) {
	replicas := publisher.Catalog.Replicas()
	if len(replicas.All) == 0 {
		return
	}
	publisher.mu.Lock()
	publisher.changes.advance(replicas)
	publisher.mu.Unlock()
	nodes := publisher.nodes()
	for _, node := range nodes {
		if publisher.claim(node.GetName(), replicas.Revision) {
			go publisher.push(ctx, node.GetName())
		}
	}
	beacon := &clusterv1.Beacon{Name: publisher.Node, ReplicaRevision: replicas.Revision, Relay: publisher.Relay}
	if configuration := publisher.Catalog.Configuration(); configuration != nil {
		beacon.ConfigurationVersion = configuration.Version
	}
	publisher.Datagrams.Send(&clusterv1.Datagram{Kind: &clusterv1.Datagram_Beacon{Beacon: beacon}}, nodes)
}

func (publisher *Publisher) nodes() []*clusterv1.NodeRecord {
	if publisher.Nodes != nil {
		return publisher.Nodes()
	}
	return publisher.Registry.Others()
}

// claim reports whether a push to a node is to begin.
func (publisher *Publisher) claim(node string, revision int64) bool {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	if publisher.acked[node] >= revision || publisher.pushing[node] {
		return false
	}
	publisher.pushing[node] = true
	return true
}

// push brings a node up to date. A node that has not told its revision yet gets the changes since this term began, and tells
// whether it lacks more.
func (publisher *Publisher) push(ctx context.Context, node string) {
	defer publisher.release(node)
	client := publisher.Registry.NodeClient(node)
	if client == nil {
		return
	}
	select {
	case publisher.pushes <- struct{}{}:
		defer func() { <-publisher.pushes }()
	case <-ctx.Done():
		return
	}
	for range pushSteps {
		request := publisher.next(node)
		callCtx, cancel := context.WithTimeout(ctx, publishLimit)
		response, err := client.Publish(callCtx, request)
		cancel()
		if err != nil {
			publisher.Logger.Warn("replicas not published", "node", node, "revision", request.GetRevision(), "base", request.GetBaseRevision(), "error", err)
			return
		}
		if publisher.reached(node, response.GetRevision(), request.GetRevision()) {
			return
		}
	}
}

// pushSteps is how many calls a push may take: one that tells what a node lacks, and one that brings it.
const pushSteps = 2

// next returns the request that a node is sent next.
func (publisher *Publisher) next(node string) *clusterv1.PublishRequest {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	base, told := publisher.acked[node]
	if !told {
		base = publisher.changes.since
	}
	return publisher.changes.request(base)
}

// reached notes the revision that a node told, and reports whether it is up to the one sent.
func (publisher *Publisher) reached(node string, revision, sent int64) bool {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	publisher.acked[node] = revision
	return revision >= sent
}

func (publisher *Publisher) release(node string) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	delete(publisher.pushing, node)
}

func encodeReplica(replica *catalog.Replica) *clusterv1.Replica {
	encoded := &clusterv1.Replica{
		Id: replica.ID, Service: replica.Service, Address: replica.Address, Zone: replica.Zone, Slots: int32(replica.Slots),
		Draining: replica.Draining,
	}
	for _, held := range replica.Models {
		encoded.Models = append(encoded.Models, &clusterv1.ModelVersion{Model: held.Model, Version: held.Version})
	}
	return encoded
}

func decodeReplicas(request *clusterv1.PublishRequest) []catalog.Replica {
	list := make([]catalog.Replica, 0, len(request.GetReplicas()))
	for _, encoded := range request.GetReplicas() {
		replica := catalog.Replica{
			ID: encoded.GetId(), Service: encoded.GetService(), Address: encoded.GetAddress(), Zone: encoded.GetZone(),
			Slots: int(encoded.GetSlots()), Draining: encoded.GetDraining(),
		}
		for _, held := range encoded.GetModels() {
			replica.Models = append(replica.Models, catalog.ModelVersion{Model: held.GetModel(), Version: held.GetVersion()})
		}
		list = append(list, replica)
	}
	return list
}
