package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/configuration"
	"github.com/thistlewalk/thistlewalk/internal/gateway"
	"github.com/thistlewalk/thistlewalk/internal/membership"
	"github.com/thistlewalk/thistlewalk/internal/partition"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/routing"
	"github.com/thistlewalk/thistlewalk/internal/settings"
)

// partitionOwner returns the owner of a partition by the newest partition table.
func (node *Node) partitionOwner(name partition.Name) (partition.Holder, error) {
	assignment, ok := node.follower.Table().Assignment(name)
	if !ok {
		return partition.Holder{}, result.New(result.NotRunNoOwner, "partition %s has no owner", name).WithRetryAfter(time.Second)
	}
	return assignment.Owner, nil
}

// Steps implements gateway.Cluster and delivery.Owners.
func (node *Node) Steps(index uint32) (controlv1.Steps, error) {
	owner, err := node.partitionOwner(partition.Name{Kind: partition.KindSteps, Index: index})
	if err != nil {
		return nil, err
	}
	if owner.NodeID == node.settings.Node.ID {
		return node.steps, nil
	}
	return node.directory.At(owner.Address).Steps, nil
}

// Claims implements gateway.Cluster.
func (node *Node) Claims(index uint32) (controlv1.Claims, error) {
	owner, err := node.partitionOwner(partition.Name{Kind: partition.KindClaims, Index: index})
	if err != nil {
		return nil, err
	}
	if owner.NodeID == node.settings.Node.ID {
		return node.claims, nil
	}
	return node.directory.At(owner.Address).Claims, nil
}

// Holder implements gateway.Cluster.
func (node *Node) Holder() (string, uint64) { return node.settings.Node.ID, node.processIncarnation }

// dispatcher sends slots to the executors of live nodes.
type dispatcher struct{ node *Node }

// Executors implements delivery.Dispatcher.
func (dispatcher dispatcher) Executors() []string {
	live := dispatcher.node.members.View().Live
	identifiers := make([]string, 0, len(live))
	for _, member := range live {
		if member.State == membership.StateAlive {
			identifiers = append(identifiers, member.NodeID)
		}
	}
	return identifiers
}

// Dispatch implements delivery.Dispatcher.
func (dispatcher dispatcher) Dispatch(ctx context.Context, nodeID string, request *controlv1.DispatchRequest) ([]uint32, error) {
	node := dispatcher.node
	if nodeID == node.settings.Node.ID {
		response, err := node.executor.Dispatch(ctx, request)
		return response.GetAccepted(), err
	}
	for _, member := range node.members.View().Live {
		if member.NodeID == nodeID {
			response, err := node.directory.At(member.Address).Executor.Dispatch(ctx, request)
			return response.GetAccepted(), err
		}
	}
	return nil, errors.Newf("node %q is not a live member", nodeID)
}

// Weights of the routing scorers. Load counts most, then the version, cache affinity and the zone.
const (
	loadWeight     = 4.0
	versionWeight  = 2.0
	affinityWeight = 1.0
	zoneWeight     = 0.5
)

// newRouter returns a router with the picker that the settings name.
func newRouter(config settings.Settings, follower *configuration.Follower) *routing.Router {
	router := &routing.Router{
		Filters: []routing.Filter{
			routing.Serviceable{Now: time.Now, MaxAge: config.Replicas.MaximumAge, Drained: func(replicaID string) bool {
				return follower.Document().IsDrained(replicaID)
			}},
			routing.HoldsVersion{},
			routing.HasCapacity{},
		},
		Scorers: []routing.Weighted{
			{Scorer: routing.LoadScorer{}, Weight: loadWeight},
			{Scorer: routing.VersionScorer{}, Weight: versionWeight},
			{Scorer: routing.AffinityScorer{}, Weight: affinityWeight},
			{Scorer: routing.ZoneScorer{}, Weight: zoneWeight},
		},
		Picker: routing.TwoChoices{},
	}
	switch config.Rollout.Routing {
	case "round-robin":
		router.Picker = routing.NewRoundRobin()
	case "least-reported":
		router.Picker = routing.LeastReported{}
	}
	return router
}

// registerMetrics registers the metrics that the node itself provides.
func (node *Node) registerMetrics(metrics *gateway.Metrics) {
	metrics.Gauge("thistlewalk_configuration_revision", "Revision of the configuration in force.", func() float64 { return float64(node.follower.Document().Revision) })
	metrics.Gauge("thistlewalk_members_live", "Nodes that are believed alive.", func() float64 { return float64(len(node.members.View().Live)) })
	metrics.Gauge("thistlewalk_homed_replicas", "Replicas whose home is this node.", func() float64 { return float64(node.controller.Replicas()) })
	metrics.Gauge("thistlewalk_partitions_held", "Partitions owned, and claims copies held.", func() float64 { return float64(node.manager.PartitionCount()) })
	metrics.Gauge("thistlewalk_slots_running", "Slots of training steps in work on this node.", func() float64 { return float64(node.executor.Running()) })
	metrics.Gauge("thistlewalk_requests_running", "Requests of callers that run.", func() float64 { running, _ := node.limiter.Occupancy(); return float64(running) })
	metrics.Gauge("thistlewalk_requests_waiting", "Requests of callers that wait for admission.", func() float64 { _, waiting := node.limiter.Occupancy(); return float64(waiting) })
	metrics.Total("thistlewalk_tokens_total", "Tokens received from replicas.", func() float64 { return float64(node.runner.Counters().Tokens) })
	metrics.Total("thistlewalk_retries_total", "Attempts after a first one.", func() float64 { return float64(node.runner.Counters().Retries) })
	metrics.Total("thistlewalk_resumes_total", "Attempts that went on after tokens of an earlier one.", func() float64 { return float64(node.runner.Counters().Resumes) })
	metrics.Total("thistlewalk_member_suspicions_total", "Suspicions taken.", func() float64 { return float64(node.members.Counters().Suspects) })
	metrics.Total("thistlewalk_member_deaths_total", "Deaths taken.", func() float64 { return float64(node.members.Counters().Deaths) })
	metrics.Total("thistlewalk_member_refuted_deaths_total", "Times that this node heard of its own death.", func() float64 { return float64(node.members.Counters().RefutedDeaths) })
}
