package dissemination

import (
	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// removalsKept bounds how many replicas that are gone are remembered.
const removalsKept = 4096

// changes remembers when replicas changed, so that a node gets what it lacks and not all of them. It is pure; its owner
// serializes calls.
type changes struct {
	set *catalog.ReplicaSet
	// since is the revision from which on all changes are known.
	since     int64
	changedAt map[string]int64
	removedAt map[string]int64
}

func newChanges() *changes {
	return &changes{set: &catalog.ReplicaSet{}, changedAt: make(map[string]int64), removedAt: make(map[string]int64)}
}

// advance notes how a newer set differs from the last.
func (changes *changes) advance(next *catalog.ReplicaSet) {
	before := changes.set
	if next == before {
		return
	}
	changes.set = next
	if before.Revision == 0 || len(changes.removedAt) > removalsKept {
		changes.since = next.Revision
		clear(changes.changedAt)
		clear(changes.removedAt)
		return
	}
	for index := range next.All {
		replica := &next.All[index]
		if known := before.Find(replica.ID); known == nil || !known.Equal(replica) {
			changes.changedAt[replica.ID] = next.Revision
			delete(changes.removedAt, replica.ID)
		}
	}
	for index := range before.All {
		if id := before.All[index].ID; next.Find(id) == nil {
			changes.removedAt[id] = next.Revision
			delete(changes.changedAt, id)
		}
	}
}

// request returns what brings a node that has reached a base up to date: all replicas if its base is too old.
func (changes *changes) request(base int64) *clusterv1.PublishRequest {
	request := &clusterv1.PublishRequest{Revision: changes.set.Revision}
	if base < changes.since {
		for index := range changes.set.All {
			request.Replicas = append(request.Replicas, encodeReplica(&changes.set.All[index]))
		}
		return request
	}
	request.BaseRevision = base
	for id, revision := range changes.changedAt {
		if revision > base {
			request.Replicas = append(request.Replicas, encodeReplica(changes.set.Find(id)))
		}
	}
	for id, revision := range changes.removedAt {
		if revision > base {
			request.Removed = append(request.Removed, id)
		}
	}
	return request
}
