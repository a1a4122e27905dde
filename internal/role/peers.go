package role

import (
	"maps"
	"time"

	"google.golang.org/protobuf/proto"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/batch"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// peers implements batchrun.Peers for a front.
type peers struct{ front *Front }

// Client implements batchrun.Peers.
func (peers peers) Client(node string) batchv1.Batches { return peers.front.Registry.Client(node) }

// Nearest implements batchrun.Peers.
func (peers peers) Nearest() []string { return peers.front.Registry.Nearest() }

// Candidates implements batchrun.Peers.
func (peers peers) Candidates() []string { return peers.front.Registry.Candidates() }

// Preferred implements batchrun.Peers.
func (peers peers) Preferred(model string) string {
	if peers.front.OverloadControl {
		return peers.nodeAmongModels(model, 0)
	}
	return peers.front.Registry.Preferred(model)
}

// Alternate implements batchrun.Peers.
func (peers peers) Alternate(model string) string {
	if peers.front.OverloadControl {
		return peers.nodeAmongModels(model, 1)
	}
	return peers.front.Registry.Alternate(model)
}

// nodeAmongModels returns the node at a place in the order of preference of a model, which differs between models in its first place.
func (peers peers) nodeAmongModels(model string, place int) string {
	names := peers.front.Registry.PreferredAmong(model, peers.front.Catalog.Configuration().ModelNames())
	if place >= len(names) {
		return ""
	}
	return names[place]
}

// Directory implements batchrun.Peers.
func (peers peers) Directory(job string) string { return peers.front.Registry.PreferredAnywhere(job) }

// Isolated implements batchrun.Peers.
func (peers peers) Isolated() bool { return peers.front.Registry.Isolated(time.Now()) }

// SameZone implements batchrun.Peers.
func (peers peers) SameZone(node string) bool { return peers.front.Registry.SameZone(node) }

// AnnounceJob implements batchrun.Peers.
func (peers peers) AnnounceJob(job *batchv1.Job) {
	front := peers.front
	owner := &clusterv1.JobOwner{JobId: job.GetId(), Node: front.Node, Tenant: proto.String(job.GetTenant())}
	front.datagrams.Send(&clusterv1.Datagram{Kind: &clusterv1.Datagram_JobOwner{JobOwner: owner}}, front.Registry.Others())
}

// AnnounceDemand implements batchrun.Peers.
func (peers peers) AnnounceDemand(job *batchv1.Job) {
	front := peers.front
	if publisher := front.subscriber.Publisher(); publisher != nil {
		demand := &clusterv1.Demand{
			JobId: job.GetId(), Model: job.GetModel(), MinimumVersion: job.GetMinimumVersion(), Work: batch.ExpectedOutput(job), Items: int32(len(job.GetItems())),
			ItemTimeUs: front.Runner.ItemTime(job.GetModel()).Microseconds(),
		}
		if remaining, known := front.Runner.RemainingItems(job.GetId()); known {
			demand.RemainingItems = proto.Int32(int32(remaining))
		}
		front.datagrams.SendTo(&clusterv1.Datagram{Kind: &clusterv1.Datagram_Demand{Demand: demand}}, publisher)
	}
}

// ShareLoads implements batchrun.Peers. It sends to the nodes that run jobs, which are those that recently announced a
// job or sent their own loads.
func (peers peers) ShareLoads(inFlight map[string]int) {
	front, now := peers.front, time.Now()
	loads := &clusterv1.Loads{Node: front.Node}
	for id, count := range inFlight {
		loads.Replicas = append(loads.Replicas, &clusterv1.ReplicaLoad{Id: catalog.ReplicaName(id), InFlight: int32(count)})
	}
	names := front.owners.recent(now)
	maps.Copy(names, front.loads.ReportingNodes(now))
	delete(names, front.Node)
	front.datagrams.Send(&clusterv1.Datagram{Kind: &clusterv1.Datagram_Loads{Loads: loads}}, front.Registry.Records(names))
}
