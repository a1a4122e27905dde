package dissemination

import (
	"slices"
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// Topic is a prefix of the metadata store whose keys are published.
type Topic struct {
	*metadata.Mirror
	// Pace is the least time between two pushes to a node that lacks changes of such topics only; zero for topics that are pushed at
	// each change.
	Pace time.Duration
	// Bulk is for topics that may be large: they are pushed beside the others, which never wait for them.
	Bulk bool
}

// lane is one of the two ways of the pushes to a process, which go on beside each other: a change of the configuration does not wait while the process takes
// all replicas, which keeps a weak machine busy for longer than it may lack a change.
type lane int

// The lanes.
const (
	prompt lane = iota
	bulk
	lanes
)

// snapshotTime is how much longer a process that knows nothing of a bulk topic may go without it: what the weakest machines need to take 10,000 entries.
// Reading the store takes as long, and a call for each page. Nobody is sent to the process until it knows replicas.
const snapshotTime = 700 * time.Millisecond

// allowance is how much longer than a change at once a process may lack a change of the topic.
func (topic Topic) allowance() time.Duration {
	if topic.Bulk && topic.Revision() == 0 {
		return topic.Pace + snapshotTime
	}
	return topic.Pace
}

func (topic Topic) lane() lane {
	if topic.Bulk {
		return bulk
	}
	return prompt
}

// changedAt returns up to which revisions another node has to know topics in order to lack nothing that this one has.
func changedAt(topics []Topic) []*clusterv1.PrefixRevision {
	list := make([]*clusterv1.PrefixRevision, 0, len(topics))
	for _, topic := range topics {
		list = append(list, &clusterv1.PrefixRevision{Prefix: topic.Prefix(), Revision: int64(topic.ChangedAt())})
	}
	return list
}

// known returns up to which revisions topics are known.
func known(topics []Topic) []*clusterv1.PrefixRevision {
	list := make([]*clusterv1.PrefixRevision, 0, len(topics))
	for _, topic := range topics {
		list = append(list, &clusterv1.PrefixRevision{Prefix: topic.Prefix(), Revision: int64(topic.Revision())})
	}
	return list
}

func encodeDifference(difference *metadata.Difference) *clusterv1.PrefixUpdate {
	update := &clusterv1.PrefixUpdate{
		Prefix: difference.Prefix, Revision: int64(difference.Revision), Whole: difference.Whole, BaseRevision: int64(difference.Base),
	}
	for _, item := range difference.Items {
		update.Items = append(update.Items, &clusterv1.StoredItem{Key: item.Key, Value: item.Value, Revision: int64(item.Revision)})
	}
	for _, removal := range difference.Removals {
		update.Removals = append(update.Removals, &clusterv1.Removal{Key: removal.Key, Revision: int64(removal.Revision)})
	}
	return update
}

func decodeDifference(update *clusterv1.PrefixUpdate) *metadata.Difference {
	difference := &metadata.Difference{
		Prefix: update.GetPrefix(), Whole: update.GetWhole(), Base: metadata.Revision(update.GetBaseRevision()),
		Revision: metadata.Revision(update.GetRevision()),
	}
	for _, item := range update.GetItems() {
		difference.Items = append(difference.Items, metadata.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: metadata.Revision(item.GetRevision())})
	}
	for _, removal := range update.GetRemovals() {
		difference.Removals = append(difference.Removals, metadata.Removal{Key: removal.GetKey(), Revision: metadata.Revision(removal.GetRevision())})
	}
	return difference
}

// unpaced returns topics as a relay pushes them: at once. What it knows comes at the origin's pace already, and a pace at each level would add up along the
// tree, while a node is given the time of one.
func unpaced(topics []Topic) []Topic {
	list := slices.Clone(topics)
	for index := range list {
		list[index].Pace = 0
	}
	return list
}
