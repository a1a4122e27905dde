package catalog_test

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// Any sequence of changes leads to the same set as building it from the resulting replicas.
func TestChangesLeadToTheSameSet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, known := catalog.NewTable(), make(map[string]catalog.Replica)
		most := rapid.SampledFrom([]int{12, 600}).Draw(t, "most replicas")
		for id := range rapid.IntRange(0, most).Draw(t, "replicas") {
			known[fmt.Sprint("r", id)] = catalog.Replica{ID: fmt.Sprint("r", id), Service: "a"}
		}
		table.SetReplicas(slices.Collect(maps.Values(known)), 0)
		for revision := int64(1); revision < 8; revision++ {
			var changes []catalog.ReplicaChange
			for range rapid.IntRange(0, 40).Draw(t, "changes") {
				id := fmt.Sprint("r", rapid.IntRange(0, most).Draw(t, "replica"))
				if rapid.IntRange(0, 3).Draw(t, "gone") == 0 {
					delete(known, id)
					changes = append(changes, catalog.ReplicaChange{ID: id})
					continue
				}
				replica := catalog.Replica{
					ID: id, Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"),
					Draining: rapid.Bool().Draw(t, "draining"), Slots: rapid.IntRange(0, 9).Draw(t, "slots"), Models: []catalog.ModelVersion{{Model: "m", Version: rapid.Int64Range(1, 2).Draw(t, "version")}},
				}
				known[id] = replica
				changes = append(changes, catalog.ReplicaChange{ID: id, Replica: &replica})
			}
			table.ChangeReplicas(changes, revision)
			checkSame(t, known, table.Replicas(), revision)
		}
	})
}

func checkSame(t *rapid.T, known map[string]catalog.Replica, set *catalog.ReplicaSet, revision int64) {
	rebuilt := catalog.NewTable()
	var list []catalog.Replica
	for _, replica := range known {
		list = append(list, replica)
	}
	rebuilt.SetReplicas(list, revision)
	must.Eq(t, revision, set.Revision)
	must.Eq(t, values(rebuilt.Replicas().All()), values(set.All()))
	for _, service := range []string{"a", "b"} {
		must.Eq(t, values(rebuilt.Replicas().Service(service)), values(set.Service(service)))
	}
	for id := range known {
		must.Eq(t, known[id], *set.Find(id))
	}
	must.Nil(t, set.Find("s"))
	working, slots := 0, 0
	for replica := range set.All().Each() {
		if !replica.Draining {
			working++
			slots += max(replica.Slots, 1)
		}
	}
	must.Eq(t, working, set.All().Working())
	must.Eq(t, slots, set.All().Slots())
	for place, replica := range values(set.All()) {
		must.Eq(t, replica, *set.All().At(place))
	}
}

func values(list catalog.ReplicaList) []catalog.Replica {
	result := make([]catalog.Replica, 0, list.Len())
	for replica := range list.Each() {
		result = append(result, *replica)
	}
	return result
}

// A snapshot does not change when the table does.
func TestSnapshotsStayAsTheyAre(t *testing.T) {
	table := catalog.NewTable()
	table.SetReplicas([]catalog.Replica{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}}, 1)
	before := table.Replicas()
	table.ChangeReplicas([]catalog.ReplicaChange{{ID: "a"}, {ID: "c", Replica: &catalog.Replica{ID: "c", Service: "s"}}}, 2)
	must.Eq(t, []string{"a", "b"}, identifiers(before.Service("s")))
	must.Eq(t, []string{"b", "c"}, identifiers(table.Replicas().Service("s")))
}

func identifiers(list catalog.ReplicaList) []string {
	names := make([]string, 0, list.Len())
	for replica := range list.Each() {
		names = append(names, replica.ID)
	}
	slices.SortFunc(names, cmp.Compare)
	return names
}

// The cost of one change grows far less than the size of the set. The test compares allocated bytes, which are reproducible,
// instead of time.
func TestCostOfAChange(t *testing.T) {
	perChange := func(count int) int64 {
		table := tableOf(count)
		revision := int64(1)
		result := testing.Benchmark(func(b *testing.B) {
			for b.Loop() {
				revision++
				table.ChangeReplicas(oneChange(count, revision), revision)
			}
		})
		return result.AllocedBytesPerOp()
	}
	must.LessEq(t, 5*perChange(100), perChange(10_000))
}

func tableOf(count int) *catalog.Table {
	table := catalog.NewTable()
	list := make([]catalog.Replica, 0, count)
	for index := range count {
		list = append(list, catalog.Replica{ID: fmt.Sprint("replica-", index), Service: "s", Models: []catalog.ModelVersion{{Model: "m", Version: 1}}})
	}
	table.SetReplicas(list, 1)
	return table
}

func oneChange(count int, revision int64) []catalog.ReplicaChange {
	id := fmt.Sprint("replica-", revision%int64(count))
	return []catalog.ReplicaChange{{ID: id, Replica: &catalog.Replica{ID: id, Service: "s", Models: []catalog.ModelVersion{{Model: "m", Version: revision}}}}}
}

// BenchmarkOneReplicaChanges measures the change of one replica by the size of the set.
func BenchmarkOneReplicaChanges(b *testing.B) {
	for _, count := range []int{100, 1000, 10_000, 20_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table, revision := tableOf(count), int64(1)
			b.ReportAllocs()
			for b.Loop() {
				revision++
				table.ChangeReplicas(oneChange(count, revision), revision)
			}
		})
	}
}

// FindByName finds incarnations with and without a start time, also among names with a common prefix.
func TestFindNamed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, ids := catalog.NewTable(), make(map[string]string)
		var list []catalog.Replica
		for number := range rapid.IntRange(0, 700).Draw(t, "replicas") {
			name := fmt.Sprint("i-", number)
			ids[name] = catalog.ReplicaID(name, rapid.Int64Range(0, 3).Draw(t, "born"))
			list = append(list, catalog.Replica{ID: ids[name], Service: "a"})
		}
		table.SetReplicas(list, 1)
		for name, id := range ids {
			must.Eq(t, id, table.Replicas().FindByName(name).ID)
			must.Eq(t, name, catalog.ReplicaName(id))
		}
		for _, other := range []string{"", "i-", "i-701", "i-1@", "j"} {
			must.Nil(t, table.Replicas().FindByName(other))
		}
	})
}
