package node

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/command"
	"github.com/thistlewalk/thistlewalk/internal/delivery"
	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/membership"
	"github.com/thistlewalk/thistlewalk/internal/partition"
	"github.com/thistlewalk/thistlewalk/internal/query"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Query implements gateway.Cluster.
func (node *Node) Query(ctx context.Context, show *command.Show) (query.Table, error) {
	switch show.Subject {
	case "versions":
		return node.versionsTable(), nil
	case "policies":
		return node.policiesTable(), nil
	case "experiments":
		return node.experimentsTable(), nil
	case "nodes":
		return node.nodesTable(), nil
	case "replicas":
		return node.replicasTable(), nil
	case "partitions":
		return node.partitionsTable(), nil
	case "configuration":
		return node.configurationTable(), nil
	case "steps":
		return node.stepsTable(ctx)
	case "staleness":
		return node.stalenessTable(ctx)
	case "health":
		return node.healthTable(), nil
	default:
		return query.Table{}, result.New(result.InvalidField, "nothing to show of %q", show.Subject)
	}
}

func formatInteger[Integer ~int | ~int64 | ~uint64 | ~uint32](value Integer) string {
	return fmt.Sprintf("%d", value)
}

func formatSeconds(value float64) string { return strconv.FormatFloat(value, 'f', 3, 64) }

func (node *Node) versionsTable() query.Table {
	table := query.Table{Subject: "versions", Columns: []string{"policy", "replica", "zone", "active", "staged", "target", "published"}}
	document := node.follower.Document()
	for _, replica := range node.loads.List() {
		digest := replica.Digest()
		for _, policy := range document.Policies {
			held := digest.HeldVersion(policy.Name)
			table.Add(policy.Name, digest.ID, digest.Zone, formatInteger(held.GetActive()), formatInteger(held.GetStaged()), formatInteger(policy.Target), formatInteger(policy.Published))
		}
	}
	return table
}

func (node *Node) policiesTable() query.Table {
	table := query.Table{Subject: "policies", Columns: []string{"policy", "state", "target", "published", "automatic", "replicas_on_target", "replicas"}}
	replicas := node.loads.List()
	for _, policy := range node.follower.Document().Policies {
		onTarget := 0
		for _, replica := range replicas {
			if held := replica.Digest().HeldVersion(policy.Name); held.GetActive() == policy.Target {
				onTarget++
			}
		}
		table.Add(policy.Name, string(policy.State), formatInteger(policy.Target), formatInteger(policy.Published), strconv.FormatBool(policy.Automatic), formatInteger(onTarget), formatInteger(len(replicas)))
	}
	return table
}

func (node *Node) experimentsTable() query.Table {
	table := query.Table{Subject: "experiments", Columns: []string{"experiment", "policy", "share", "versions", "bound"}}
	for _, found := range node.follower.Document().Experiments {
		for _, arm := range found.Arms {
			table.Add(found.Name, arm.Policy, formatInteger(arm.Share), formatVersionRange(arm), query.DescribeBound(found.Bound))
		}
	}
	return table
}

func formatVersionRange(arm experiment.Arm) string {
	if arm.LastVersion == 0 {
		return formatInteger(arm.FirstVersion) + ".."
	}
	return formatInteger(arm.FirstVersion) + ".." + formatInteger(arm.LastVersion)
}

func stateName(state membership.State) string {
	switch state {
	case membership.StateAlive:
		return "alive"
	case membership.StateSuspect:
		return "suspect"
	case membership.StateLeft:
		return "left"
	default:
		return "dead"
	}
}

func (node *Node) nodesTable() query.Table {
	table := query.Table{Subject: "nodes", Columns: []string{"node", "zone", "region", "state", "control", "store"}}
	for _, member := range node.members.View().All {
		table.Add(member.NodeID, member.Zone, member.Region, stateName(member.State), member.Address, strconv.FormatBool(member.StoreID != ""))
	}
	return table
}

func (node *Node) replicasTable() query.Table {
	table := query.Table{Subject: "replicas", Columns: []string{"replica", "zone", "state", "running", "queued", "capacity", "age_seconds", "home"}}
	homes := node.controller.Assignments()
	document := node.follower.Document()
	for _, replica := range node.loads.List() {
		digest := replica.Digest()
		state := "serving"
		switch {
		case digest.Failed:
			state = "failed"
		case digest.Leaving:
			state = "leaving"
		case document.IsDrained(digest.ID):
			state = "drained"
		case time.Since(digest.Received()) > node.settings.Replicas.MaximumAge:
			state = "silent"
		case replica.Open(time.Now()):
			state = "broken"
		}
		table.Add(digest.ID, digest.Zone, state, formatInteger(digest.Running), formatInteger(digest.Queued), formatInteger(digest.Capacity),
			formatSeconds(time.Since(digest.Received()).Seconds()), homes[digest.ID])
	}
	return table
}

func (node *Node) partitionsTable() query.Table {
	table := query.Table{Subject: "partitions", Columns: []string{"partition", "kind", "epoch", "owner", "copies", "zones", "leased", "history_lost"}}
	ownershipTable := node.follower.Table()
	single := 0
	for _, name := range partition.Names() {
		assignment, owned := ownershipTable.Assignment(name)
		if !owned {
			table.Add(name.String(), string(name.Kind), "0", "", "0", "", "false", "")
			continue
		}
		zones := make([]string, 0, len(assignment.Replicas))
		for _, holder := range assignment.Replicas {
			zones = append(zones, holder.Zone)
		}
		lost := ""
		if !assignment.HistoryLost.IsZero() {
			lost = assignment.HistoryLost.Format(time.RFC3339)
		}
		if name.Kind == partition.KindSteps && len(assignment.Replicas) == 1 {
			single++
		}
		table.Add(name.String(), string(name.Kind), formatInteger(assignment.Epoch), assignment.Owner.NodeID, formatInteger(len(assignment.Replicas)),
			strings.Join(zones, " "), strconv.FormatBool(ownershipTable.Leased(assignment.Owner.NodeID)), lost)
	}
	table.Notes = replicationNotes(single)
	return table
}

func replicationNotes(singleCopies int) []string {
	if singleCopies == 0 {
		return nil
	}
	return []string{fmt.Sprintf("%d steps partitions have one copy only: nothing is replicated there", singleCopies)}
}

func (node *Node) configurationTable() query.Table {
	document := node.follower.Document()
	table := query.Table{Subject: "configuration", Columns: []string{"node", "revision", "policies", "experiments", "drained", "partitions_revision", "machines_revision"}}
	table.Add(node.settings.Node.ID, formatInteger(document.Revision), formatInteger(len(document.Policies)), formatInteger(len(document.Experiments)),
		formatInteger(len(document.Drained)), formatInteger(node.follower.Table().Revision), formatInteger(node.follower.Machines().Revision))
	return table
}

func (node *Node) healthTable() query.Table {
	counters := node.runner.Counters()
	running, waiting := node.limiter.Occupancy()
	table := query.Table{Subject: "health", Columns: []string{"node", "running", "waiting", "slots", "tokens", "retries", "resumes"}}
	table.Add(node.settings.Node.ID, formatInteger(running), formatInteger(waiting), formatInteger(node.executor.Running()), formatInteger(counters.Tokens),
		formatInteger(counters.Retries), formatInteger(counters.Resumes))
	return table
}

// listAllSteps requests the steps of every owner of a steps partition. The notes name partitions without an owner and
// owners that failed.
func (node *Node) listAllSteps(ctx context.Context) ([]delivery.ListResponse, []string) {
	asked := make(map[string]bool)
	var responses []delivery.ListResponse
	var notes []string
	single := 0
	for index := range uint32(partition.Count) {
		assignment, owned := node.follower.Table().Assignment(partition.Name{Kind: partition.KindSteps, Index: index})
		if !owned {
			notes = append(notes, fmt.Sprintf("steps partition %d has no owner", index))
			continue
		}
		if len(assignment.Replicas) == 1 {
			single++
		}
		if asked[assignment.Owner.NodeID] {
			continue
		}
		asked[assignment.Owner.NodeID] = true
		response, err := node.listSteps(ctx, index)
		if err != nil {
			notes = append(notes, fmt.Sprintf("node %s did not answer: %v", assignment.Owner.NodeID, err))
			continue
		}
		responses = append(responses, response)
	}
	return responses, append(notes, replicationNotes(single)...)
}

func (node *Node) listSteps(ctx context.Context, index uint32) (delivery.ListResponse, error) {
	var list delivery.ListResponse
	owner, err := node.Steps(index)
	if err != nil {
		return list, err
	}
	ctx, cancel := context.WithTimeout(ctx, node.settings.Platform.Timeout)
	defer cancel()
	answer, err := owner.List(ctx, &controlv1.StepCall{})
	if err != nil {
		return list, err
	}
	return list, cbor.Unmarshal(answer.GetBody(), &list)
}

func (node *Node) stepsTable(ctx context.Context) (query.Table, error) {
	table := query.Table{Subject: "steps", Columns: []string{"step", "experiment", "state", "slots", "filled", "delivered", "running", "dropped", "owner", "copies", "created"}}
	responses, notes := node.listAllSteps(ctx)
	table.Notes = notes
	for _, response := range responses {
		for _, step := range response.Steps {
			table.Add(step.StepID, step.Experiment, string(step.State), formatInteger(step.Slots), formatInteger(step.Filled), formatInteger(step.Delivered),
				formatInteger(step.Running), formatInteger(step.Dropped), step.Owner, formatInteger(step.Copies), step.Created.UTC().Format(time.RFC3339))
		}
	}
	return table, nil
}

func (node *Node) stalenessTable(ctx context.Context) (query.Table, error) {
	table := query.Table{Subject: "staleness", Columns: []string{"policy", "owner_samples", "versions_p50", "versions_p90", "versions_p99", "versions_max",
		"seconds_p50", "seconds_p90", "seconds_p99", "seconds_max"}}
	responses, notes := node.listAllSteps(ctx)
	table.Notes = append(notes, "one row for each owner that delivered samples in the last ten minutes")
	for _, response := range responses {
		for _, row := range response.Staleness {
			table.Add(row.Policy, formatInteger(row.Count), formatInteger(row.Versions[0]), formatInteger(row.Versions[1]), formatInteger(row.Versions[2]), formatInteger(row.Versions[3]),
				formatSeconds(row.Seconds[0]), formatSeconds(row.Seconds[1]), formatSeconds(row.Seconds[2]), formatSeconds(row.Seconds[3]))
		}
	}
	return table, nil
}
