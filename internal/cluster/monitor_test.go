package cluster

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// ringOf returns the registry of node-0 in a cluster and the nodes that node-0 watches, ordered by its rank among their
// successors.
func ringOf(t *testing.T, nodes int) (registry *Registry, watched []string) {
	t.Helper()
	var items []metadata.Item
	for index := range nodes {
		name := fmt.Sprint("node-", index)
		value, err := proto.Marshal(&clusterv1.NodeRecord{Name: name, Address: "127.0.0.1:1", Role: "front", Zone: "z"})
		must.NoError(t, err)
		items = append(items, metadata.Item{Key: Prefix + name, Value: value})
	}
	self := &clusterv1.NodeRecord{Name: "node-0", Address: "127.0.0.1:1", Role: "front", Zone: "z"}
	registry = NewRegistry(self, nil, http.DefaultClient, log.New(io.Discard))
	registry.Reset(items, 1)
	for name := range registry.watched() {
		watched = append(watched, name)
	}
	slices.SortFunc(watched, func(a, b string) int {
		return registry.ring.Rank("node-0", a) - registry.ring.Rank("node-0", b)
	})
	return registry, watched
}

// A node without any heartbeats considers itself isolated and suspects nobody. A datagram from any other node shows that
// the watched nodes have failed instead.
func TestSilenceOfAllWatchedNodes(t *testing.T) {
	now := time.Now()
	registry, watched := ringOf(t, 9)
	must.Len(t, monitorsPerNode, watched)
	registry.resetHeartbeats(now)
	now = now.Add(heartbeatTimeout + time.Millisecond)
	must.True(t, registry.Isolated(now))
	must.SliceEmpty(t, registry.suspects(now))
	registry.RecordContact(now)
	must.False(t, registry.Isolated(now))
	must.SliceContains(t, registry.suspects(now), watched[0])
}

// A node does not wait for higher-ranked successors whose heartbeats it watches and that are overdue too.
func TestSilentSuccessorsArePassedOver(t *testing.T) {
	now := time.Now()
	registry, watched := ringOf(t, 9)
	last := watched[len(watched)-1]
	must.Eq(t, monitorsPerNode-1, registry.ring.Rank("node-0", last))
	registry.resetHeartbeats(now)
	later := now.Add(heartbeatTimeout + time.Millisecond)
	registry.RecordContact(later)
	for _, name := range watched[:len(watched)-1] {
		registry.markSeen(name, later)
	}
	must.SliceNotContains(t, registry.suspects(later), last, must.Sprint("two higher-ranked successors are alive"))
	latest := now.Add(heartbeatTimeout + (monitorsPerNode-1)*rankDelay)
	registry.RecordContact(latest)
	must.SliceContains(t, registry.suspects(latest), last)
	registry.resetHeartbeats(now)
	must.SliceContains(t, registry.suspects(later), last, must.Sprint("the higher-ranked successors are silent"))
}

// Candidates returns the node's successors and other nodes, each once, and never the node itself.
func TestCandidatesGoBeyondSuccessors(t *testing.T) {
	registry, _ := ringOf(t, 20)
	candidates := registry.Candidates()
	must.Len(t, maxCandidates, candidates)
	must.Greater(t, monitorsPerNode, len(candidates))
	must.Eq(t, registry.Nearest(), candidates[:monitorsPerNode])
	must.SliceNotContains(t, candidates, "node-0")
	slices.Sort(candidates)
	must.Len(t, maxCandidates, slices.Compact(candidates))
	registry, _ = ringOf(t, 3)
	must.Len(t, 2, registry.Candidates())
}

// A takeover waits for the metadata store, and is abandoned if a heartbeat arrives during the wait.
func TestTakeOverWaitsForStore(t *testing.T) {
	for _, recovers := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			registry, watched := ringOf(t, 9)
			storeAnswers, takeovers := make(chan struct{}), make(chan string, 1)
			monitor := &Monitor{
				Registry: registry, Logger: log.New(io.Discard), AwaitStore: func(context.Context) { <-storeAnswers },
				OnDead: func(_ context.Context, dead DeadNode) error {
					takeovers <- dead.Name
					return errors.New("the test ends here")
				},
			}
			registry.http = &http.Client{Transport: refusingTransport{}}
			registry.resetHeartbeats(time.Now())
			time.Sleep(heartbeatTimeout)
			for _, name := range watched[1:] {
				registry.markSeen(name, time.Now())
			}
			monitor.checkHeartbeats(t.Context(), time.Now())
			time.Sleep(3 * time.Second)
			must.Eq(t, 0, len(takeovers))
			if recovers {
				registry.markSeen(watched[0], time.Now())
			}
			close(storeAnswers)
			synctest.Wait()
			must.Eq(t, !recovers, len(takeovers) == 1)
			time.Sleep(takeoverBackoff)
		})
	}
}

// Guards against removing the record of a dead node that has acquired work since its work was listed, by a write that the store applied
// late.
func TestTakeoverIsRepeatedAfterLateWork(t *testing.T) {
	store := memstore.New()
	leftover := func(node string) string { return "left/" + node }
	register := func(name string) *Registry {
		registry := NewRegistry(&clusterv1.NodeRecord{Name: name, Address: "127.0.0.1:1"}, store, http.DefaultClient, log.New(io.Discard))
		registry.LeftoverWorkKey = leftover
		registry.Register(t.Context())
		return registry
	}
	register("dead")
	registry, takeovers := register("a"), 0
	monitor := &Monitor{Registry: registry, Logger: log.New(io.Discard), OnDead: func(context.Context, DeadNode) error {
		if takeovers++; takeovers == 1 {
			_, err := store.Commit(t.Context(), metadata.Txn{Puts: []metadata.Put{{Key: leftover("dead")}}})
			must.NoError(t, err)
		}
		return nil
	}}
	listing, err := store.List(t.Context(), Prefix)
	must.NoError(t, err)
	registry.Reset(listing.Items, listing.Revision)
	must.ErrorIs(t, monitor.takeOver(t.Context(), registry.deadNode("dead")), errAcquiredWork)
	_, found, err := store.Get(t.Context(), Prefix+"dead")
	must.NoError(t, err)
	must.True(t, found)
	must.NoError(t, monitor.takeOver(t.Context(), registry.deadNode("dead")))
	listing, err = store.List(t.Context(), "")
	must.NoError(t, err)
	must.Len(t, 1, listing.Items)
	must.Eq(t, Prefix+"a", listing.Items[0].Key)
}

// refusingTransport fails every request.
type refusingTransport struct{}

func (refusingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("refused")
}

// Only strong nodes are preferred. All nodes are preferred if they have equal cores or do not report their cores.
func TestStrongNodesArePreferred(t *testing.T) {
	preferred := func(cores func(index int) float64) map[string]bool {
		self := &clusterv1.NodeRecord{Name: "node-0", Role: "front", Zone: "z"}
		registry := NewRegistry(self, nil, http.DefaultClient, log.New(io.Discard))
		var items []metadata.Item
		for index := range 12 {
			record := &clusterv1.NodeRecord{Name: fmt.Sprint("node-", index), Role: "front", Zone: "z", Cores: cores(index)}
			value, err := proto.Marshal(record)
			must.NoError(t, err)
			items = append(items, metadata.Item{Key: Prefix + record.GetName(), Value: value})
		}
		registry.Reset(items, 1)
		names := make(map[string]bool)
		for key := range 300 {
			names[registry.Preferred(fmt.Sprint(key))] = true
			must.Eq(t, registry.Preferred(fmt.Sprint(key)), registry.PreferredAnywhere(fmt.Sprint(key)))
		}
		return names
	}
	strong := preferred(func(index int) float64 { return []float64{0.2, 0.8, 0.78, 0.4}[index%4] })
	must.MapLen(t, 6, strong)
	for name := range strong {
		must.SliceContains(t, []string{"node-1", "node-2", "node-5", "node-6", "node-9", "node-10"}, name)
	}
	must.MapLen(t, 12, preferred(func(int) float64 { return 0.4 }))
	must.MapLen(t, 12, preferred(func(int) float64 { return 0 }))
}
