package role

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/lab/freeport"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// peerNetwork carries the calls between fronts, except those to the addresses of lost ones.
type peerNetwork struct {
	mu   sync.Mutex
	lost map[string]bool
}

// RoundTrip implements http.RoundTripper.
func (network *peerNetwork) RoundTrip(request *http.Request) (*http.Response, error) {
	network.mu.Lock()
	lost := network.lost[request.URL.Host]
	network.mu.Unlock()
	if lost {
		return nil, errors.New("no route to host")
	}
	return http.DefaultTransport.RoundTrip(request)
}

// lose ends a front without notice, as a loss of power does. It must be the last front with calls in progress at the store.
func (network *peerNetwork) lose(front *Front) {
	network.mu.Lock()
	network.lost[front.PeerAddress] = true
	network.mu.Unlock()
	front.Runner.Close()
	front.cancel()
	_ = front.datagrams.Conn.Close()
}

// startPeers starts fronts that share a store and waits until each knows all of them.
func startPeers(t *testing.T, store metadata.Store, count int) (*peerNetwork, []*Front) {
	t.Helper()
	addresses, err := freeport.Pairs(count)
	must.NoError(t, err)
	network := &peerNetwork{lost: make(map[string]bool)}
	var fronts []*Front
	for index := range count {
		table := catalog.NewTable()
		configuration := &catalog.Configuration{Version: 1, Routes: []catalog.Route{
			{Name: "jobs", Host: "h", Prefix: "/jobs/", Kind: catalog.Batch, MaxAttempts: 3, Targets: []catalog.RouteTarget{{Service: "engine", Weight: 1}}},
		}}
		configuration.Index()
		table.SetConfiguration(configuration)
		table.SetReplicas(nil, 1)
		front := NewFront(FrontOptions{
			Node: "front-" + string(rune('a'+index)), Zone: "north", Role: "front", Incarnation: time.Now().UnixNano(), PeerAddress: addresses[index].String(),
			Store: store, PeerClient: &http.Client{Transport: network}, Logger: log.New(t.Output()), Catalog: table,
			ConfigurationPrefix: "configuration/", ConfigurationHandler: metadata.Handlers{}, ReplicaPrefix: "replicas/", ReplicaHandler: metadata.Handlers{},
		})
		must.NoError(t, front.Start())
		t.Cleanup(func() {
			front.Runner.Close()
			front.cancel()
			_ = front.datagrams.Conn.Close()
		})
		fronts = append(fronts, front)
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		for _, front := range fronts {
			if front.Registry.Count() != count {
				return false
			}
		}
		return true
	}), wait.Timeout(20*time.Second), wait.Gap(20*time.Millisecond)))
	return network, fronts
}

// isRegistered reports whether the store has a record of a node.
func isRegistered(t *testing.T, store metadata.Store, node string) bool {
	t.Helper()
	_, found, err := store.Get(t.Context(), cluster.Prefix+node)
	must.NoError(t, err)
	return found
}

// Guards against a job whose owner nobody monitors: the store applies the acceptance of a front after the front was lost for good and
// its registration was removed, and a caller that submits the job again is told that it is accepted.
func TestLateAcceptanceOfALostFront(t *testing.T) {
	store := memstore.New()
	network, fronts := startPeers(t, store, 3)
	lost, other := fronts[0], fronts[1]
	job := &batchv1.Job{Id: "job", Host: "h", Path: "/jobs/job", Model: "m", Items: []*batchv1.Item{{Id: "item", Path: "/jobs/item", Model: "m"}}}
	route := lost.Catalog.Configuration().FindRoute("h", "/jobs/job")
	const applyDelay = 7 * time.Second
	preferred := lost.Registry.Preferred("m")
	for index, front := range fronts {
		if front.Node == preferred { // accepts the job itself
			lost, other = front, fronts[(index+1)%len(fronts)]
		}
	}
	store.SetFaults(memstore.Faults{LoseResponses: 1, CommitDelay: applyDelay})
	submitted := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 350*time.Millisecond)
	defer cancel()
	must.Error(t, lost.Runner.Submit(ctx, job, route))
	network.lose(lost)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return !isRegistered(t, store, lost.Node) }), wait.Timeout(10*time.Second), wait.Gap(20*time.Millisecond)))
	must.Less(t, applyDelay, time.Since(submitted), must.Sprint("the acceptance was applied before the registration was removed"))
	time.Sleep(applyDelay + 200*time.Millisecond - time.Since(submitted))

	must.NoError(t, other.Runner.Submit(t.Context(), job, route))
	owner, _, err := (&batchlog.Log{Store: store, Node: "reader"}).Owner(t.Context(), "job")
	must.NoError(t, err)
	must.True(t, isRegistered(t, store, owner.GetNode()), must.Sprintf("%s owns the job and is not registered", owner.GetNode()))
	must.NotEq(t, lost.Node, owner.GetNode())
}
