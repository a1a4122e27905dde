package dissemination

import (
	"slices"
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// Topic is a key prefix of the metadata store whose changes are published.
type Topic struct {
	*metadata.Mirror
	// MinInterval is the minimum time from one push to a node to the next if the node lacks only changes of such topics; zero for topics
	// that are pushed at each change.
	MinInterval time.Duration
	// Bulk is true for topics that may be large. They are pushed in a lane of their own, so that other topics never wait for them.
	Bulk bool
}

// lane is one of two concurrent sequences of pushes to a process. With a lane for bulk topics, a configuration change does not wait while a
// process loads all replicas, which takes a slow machine longer than a change may be delayed.
type lane int

const (
	prompt lane = iota
	bulk
	laneCount
)

// snapshotAllowance is the additional time for which a process without any data of a bulk topic may lack it: the time that a slow machine
// needs to load a full snapshot. Reading the store takes as long, and no requests are sent to the process until it knows replicas.
// A full snapshot has 10,000 entries.
const snapshotAllowance = 700 * time.Millisecond

// allowance returns how long a process may lack a change of the topic in addition to Limits.MaxLag.
func (topic Topic) allowance() time.Duration {
	if topic.Bulk && topic.Revision() == 0 {
		return topic.MinInterval + snapshotAllowance
	}
	return topic.MinInterval
}

func (topic Topic) lane() lane {
	if topic.Bulk {
		return bulk
	}
	return prompt
}

// changedRevisions returns the revision of the newest change of each topic. A node that has reached these revisions lacks nothing that this
// node has.
func changedRevisions(topics []Topic) []*clusterv1.PrefixRevision {
	list := make([]*clusterv1.PrefixRevision, 0, len(topics))
	for _, topic := range topics {
		list = append(list, &clusterv1.PrefixRevision{Prefix: topic.Prefix(), Revision: int64(topic.ChangedAt())})
	}
	return list
}

// knownRevisions returns the revision that each topic has reached.
func knownRevisions(topics []Topic) []*clusterv1.PrefixRevision {
	list := make([]*clusterv1.PrefixRevision, 0, len(topics))
	for _, topic := range topics {
		list = append(list, &clusterv1.PrefixRevision{Prefix: topic.Prefix(), Revision: int64(topic.Revision())})
	}
	return list
}

func encodeDelta(delta *metadata.Delta) *clusterv1.PrefixUpdate {
	update := &clusterv1.PrefixUpdate{
		Prefix: delta.Prefix, Revision: int64(delta.Revision), Whole: delta.IsSnapshot, BaseRevision: int64(delta.Base),
	}
	for _, item := range delta.Items {
		update.Items = append(update.Items, &clusterv1.StoredItem{Key: item.Key, Value: item.Value, Revision: int64(item.Revision)})
	}
	for _, removal := range delta.Removals {
		update.Removals = append(update.Removals, &clusterv1.Removal{Key: removal.Key, Revision: int64(removal.Revision)})
	}
	return update
}

func decodeDelta(update *clusterv1.PrefixUpdate) *metadata.Delta {
	delta := &metadata.Delta{
		Prefix: update.GetPrefix(), IsSnapshot: update.GetWhole(), Base: metadata.Revision(update.GetBaseRevision()),
		Revision: metadata.Revision(update.GetRevision()),
	}
	for _, item := range update.GetItems() {
		delta.Items = append(delta.Items, metadata.Item{Key: item.GetKey(), Value: item.GetValue(), Revision: metadata.Revision(item.GetRevision())})
	}
	for _, removal := range update.GetRemovals() {
		delta.Removals = append(delta.Removals, metadata.Removal{Key: removal.GetKey(), Revision: metadata.Revision(removal.GetRevision())})
	}
	return delta
}

// withoutMinInterval returns topics as a relay pushes them: immediately. The origin already applies the minimum interval. Applied again at
// each level of the tree it would add up, while a node is allowed the delay of one level.
func withoutMinInterval(topics []Topic) []Topic {
	list := slices.Clone(topics)
	for index := range list {
		list[index].MinInterval = 0
	}
	return list
}
