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
)

// ringOf returns the registry of one of some nodes, and the nodes that it watches, those first of which it is the first successor.
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

// A node that hears of nobody it watches holds itself for cut off, unless it hears of anybody else: then those have died.
func TestSilenceOfAllWatchedNodes(t *testing.T) {
	now := time.Now()
	registry, watched := ringOf(t, 9)
	must.Len(t, monitorsOfNode, watched)
	registry.forgiveSilence(now)
	now = now.Add(silenceLimit + time.Millisecond)
	must.True(t, registry.Isolated(now))
	must.SliceEmpty(t, registry.silent(now))
	registry.HeardAny(now)
	must.False(t, registry.Isolated(now))
	must.SliceContains(t, registry.silent(now), watched[0])
}

// A node waits for the successors before it only if these may be alive: it knows of those that it watches too.
func TestSilentSuccessorsArePassedOver(t *testing.T) {
	now := time.Now()
	registry, watched := ringOf(t, 9)
	last := watched[len(watched)-1]
	must.Eq(t, monitorsOfNode-1, registry.ring.Rank("node-0", last))
	registry.forgiveSilence(now)
	later := now.Add(silenceLimit + time.Millisecond)
	registry.HeardAny(later)
	for _, name := range watched[:len(watched)-1] {
		registry.hear(name, later)
	}
	must.SliceNotContains(t, registry.silent(later), last, must.Sprint("two successors before this one are alive"))
	latest := now.Add(silenceLimit + (monitorsOfNode-1)*rankDelay)
	registry.HeardAny(latest)
	must.SliceContains(t, registry.silent(latest), last)
	registry.forgiveSilence(now)
	must.SliceContains(t, registry.silent(later), last, must.Sprint("the successors before this one are silent"))
}

// Candidates are the successors of a node and some others, each once, without the node itself.
func TestCandidatesGoBeyondSuccessors(t *testing.T) {
	registry, _ := ringOf(t, 20)
	candidates := registry.Candidates()
	must.Len(t, candidatesMost, candidates)
	must.Greater(t, monitorsOfNode, len(candidates))
	must.Eq(t, registry.Nearest(), candidates[:monitorsOfNode])
	must.SliceNotContains(t, candidates, "node-0")
	slices.Sort(candidates)
	must.Len(t, candidatesMost, slices.Compact(candidates))
	registry, _ = ringOf(t, 3)
	must.Len(t, 2, registry.Candidates())
}

// A take-over begins as soon as the metadata store answers, and not at all if the node is heard again meanwhile: many may be frozen
// while the store is lost.
func TestTakeOverWaitsForStore(t *testing.T) {
	for _, back := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			registry, watched := ringOf(t, 9)
			lost, dead := make(chan struct{}), make(chan string, 1)
			monitor := &Monitor{
				Registry: registry, Logger: log.New(io.Discard), AwaitStore: func(context.Context) { <-lost },
				OnDead: func(_ context.Context, name string, _ int64) error {
					dead <- name
					return errors.New("the test ends here")
				},
			}
			registry.http = &http.Client{Transport: refusing{}}
			registry.forgiveSilence(time.Now())
			time.Sleep(silenceLimit)
			for _, name := range watched[1:] {
				registry.hear(name, time.Now())
			}
			monitor.check(t.Context(), time.Now())
			time.Sleep(3 * time.Second)
			must.Eq(t, 0, len(dead))
			if back {
				registry.hear(watched[0], time.Now())
			}
			close(lost)
			synctest.Wait()
			must.Eq(t, !back, len(dead) == 1)
			time.Sleep(takeOverPause)
		})
	}
}

// refusing is a transport that reaches nobody.
type refusing struct{}

func (refusing) RoundTrip(*http.Request) (*http.Response, error) { return nil, errors.New("refused") }

// Work that any node could do goes to the strong ones, and to all where they are alike or do not say how strong they are.
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
