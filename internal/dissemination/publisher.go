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

// Publisher pushes a catalog's replicas and sends beacons.
type Publisher struct {
	Node      string
	Catalog   *catalog.Table
	Registry  *cluster.Registry
	Datagrams *cluster.Datagrams
	Health    *metadata.Health
	Logger    *log.Logger

	mu    sync.Mutex
	acked map[string]int64 // revision that each node has taken
	sent  map[string]int64 // revision that is on its way
}

// Run publishes until the context ends. It says nothing while the metadata store does not answer.
func (publisher *Publisher) Run(ctx context.Context) {
	publisher.mu.Lock()
	publisher.acked, publisher.sent = make(map[string]int64), make(map[string]int64)
	publisher.mu.Unlock()
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
	nodes := publisher.Registry.Others()
	for _, node := range nodes {
		if publisher.claim(node.GetName(), replicas.Revision) {
			go publisher.push(ctx, node.GetName(), replicas)
		}
	}
	beacon := &clusterv1.Beacon{Name: publisher.Node, ReplicaRevision: replicas.Revision}
	if configuration := publisher.Catalog.Configuration(); configuration != nil {
		beacon.ConfigurationVersion = configuration.Version
	}
	publisher.Datagrams.Send(&clusterv1.Datagram{Kind: &clusterv1.Datagram_Beacon{Beacon: beacon}}, nodes)
}

// claim reports whether a revision is to be pushed to a node now.
func (publisher *Publisher) claim(node string, revision int64) bool {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	if publisher.acked[node] >= revision || publisher.sent[node] >= revision {
		return false
	}
	publisher.sent[node] = revision
	return true
}

func (publisher *Publisher) push(ctx context.Context, node string, replicas *catalog.ReplicaSet) {
	client := publisher.Registry.NodeClient(node)
	if client == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, publishLimit)
	defer cancel()
	_, err := client.Publish(ctx, encodeReplicas(replicas))
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	if err == nil {
		publisher.acked[node] = max(publisher.acked[node], replicas.Revision)
		return
	}
	publisher.sent[node] = publisher.acked[node]
	publisher.Logger.Warn("replicas not published", "node", node, "revision", replicas.Revision, "error", err)
}

func encodeReplicas(replicas *catalog.ReplicaSet) *clusterv1.PublishRequest {
	request := &clusterv1.PublishRequest{Revision: replicas.Revision}
	for index := range replicas.All {
		replica := &replicas.All[index]
		encoded := &clusterv1.Replica{
			Id: replica.ID, Service: replica.Service, Address: replica.Address, Zone: replica.Zone, Slots: int32(replica.Slots),
			Draining: replica.Draining,
		}
		for _, held := range replica.Models {
			encoded.Models = append(encoded.Models, &clusterv1.ModelVersion{Model: held.Model, Version: held.Version})
		}
		request.Replicas = append(request.Replicas, encoded)
	}
	return request
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
