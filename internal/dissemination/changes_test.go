package dissemination

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// follower is a node that takes pushes now and then, or reads the store itself.
type follower struct{ table *catalog.Table }

// take sends a node what it lacks, in as many steps as a push may have.
func (node *follower) take(changes *changes, acked int64) int64 {
	for range pushSteps {
		request := changes.request(acked)
		if request.GetBaseRevision() == 0 {
			node.table.SetReplicas(decodeReplicas(request), request.GetRevision())
			acked = node.table.Replicas().Revision
		} else {
			acked = node.table.ChangeReplicas(request.GetBaseRevision(), decodeReplicas(request), request.GetRemoved(), request.GetRevision())
		}
		if acked >= request.GetRevision() {
			break
		}
	}
	return acked
}

func drawReplica(t *rapid.T, id string) catalog.Replica {
	return catalog.Replica{
		ID: id, Service: "s", Draining: rapid.Bool().Draw(t, "draining"),
		Models: []catalog.ModelVersion{{Model: "m", Version: rapid.Int64Range(1, 3).Draw(t, "version")}},
	}
}

// Whatever changes between two pushes, and whatever a node read itself meanwhile, it has the whole set after a push.
func TestChangesBringNodesUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		changes, source := newChanges(), catalog.NewTable()
		node, acked, told := &follower{table: catalog.NewTable()}, int64(0), false
		replicas := make(map[string]catalog.Replica)
		for revision := int64(1); revision < 30; revision++ {
			id := fmt.Sprint("replica-", rapid.IntRange(0, 5).Draw(t, "replica"))
			if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
				delete(replicas, id)
			} else {
				replicas[id] = drawReplica(t, id)
			}
			list := func() []catalog.Replica {
				var all []catalog.Replica
				for _, replica := range replicas {
					all = append(all, replica)
				}
				return all
			}
			switch rapid.IntRange(0, 4).Draw(t, "reader") {
			case 0: // the publisher misses this revision
				continue
			case 1:
				node.table.SetReplicas(list(), revision)
			case 2:
				node, told = &follower{table: catalog.NewTable()}, rapid.Bool().Draw(t, "publisher remembers the process before")
			}
			source.SetReplicas(list(), revision)
			changes.advance(source.Replicas())
			if rapid.Bool().Draw(t, "no push") {
				continue
			}
			if !told {
				acked, told = changes.since, true
			}
			acked = node.take(changes, acked)
			if acked < revision {
				t.Fatalf("the node is at %d after a push of %d", acked, revision)
			}
			must.Eq(t, len(source.Replicas().All), len(node.table.Replicas().All))
			for index := range source.Replicas().All {
				must.Eq(t, source.Replicas().All[index], node.table.Replicas().All[index])
			}
		}
	})
}

// A change of one replica of many is told as one.
func TestChangesAreSmall(t *testing.T) {
	changes, source := newChanges(), catalog.NewTable()
	var all []catalog.Replica
	for index := range 3000 {
		all = append(all, catalog.Replica{ID: fmt.Sprint("replica-", index), Service: "s"})
	}
	source.SetReplicas(append([]catalog.Replica(nil), all...), 5)
	changes.advance(source.Replicas())
	all[7].Draining = true
	source.SetReplicas(append([]catalog.Replica(nil), all[1:]...), 9)
	changes.advance(source.Replicas())
	request := changes.request(5)
	must.Len(t, 1, request.GetReplicas())
	must.Eq(t, []string{"replica-0"}, request.GetRemoved())
	must.Len(t, 2999, changes.request(4).GetReplicas())
}
