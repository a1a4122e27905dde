package role

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/lab/freeport"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// startFronts starts fronts of two zones that share a store, with a service of 40 slots. They stop with the test.
func startFronts(t *testing.T, overloadControl ...bool) []*Front {
	t.Helper()
	addresses, err := freeport.Pairs(len(overloadControl))
	must.NoError(t, err)
	store := memstore.New()
	var fronts []*Front
	for index, control := range overloadControl {
		table := catalog.NewTable()
		table.SetReplicas([]catalog.Replica{{ID: "r", Service: "s", Slots: 40}}, 1)
		front := NewFront(FrontOptions{
			Node: "front-" + string(rune('a'+index)), Zone: []string{"north", "south"}[index%2], Role: "front", Incarnation: time.Now().UnixNano(), PeerAddress: addresses[index].String(),
			Store: store, PeerClient: http.DefaultClient, Logger: log.New(io.Discard), Catalog: table, OverloadControl: control,
			ConfigurationPrefix: "configuration/", ConfigurationHandler: metadata.Handlers{}, ReplicaPrefix: "replicas/", ReplicaHandler: metadata.Handlers{},
		})
		must.NoError(t, front.Start())
		t.Cleanup(func() {
			front.cancel()
			_ = front.datagrams.Conn.Close()
		})
		fronts = append(fronts, front)
	}
	return fronts
}

// othersKnown returns what a front knows of the others' requests in flight; negative if nothing.
func othersKnown(front *Front) int {
	for _, status := range front.loadExchange.room.Refresh(nil, nil) {
		if status.Service == "s" && status.Known {
			return status.Others.InFlight
		}
	}
	return -1
}

// Fronts of several zones learn over the network what the others have in flight, and that it has ended. Fronts without the control take no part.
func TestFrontsLearnOfEachOther(t *testing.T) {
	fronts := startFronts(t, true, true, true, true, false, false, false, false)
	for _, front := range fronts[4:] {
		must.Nil(t, front.Forwarder.Admission)
		must.Nil(t, front.Runner.Admission)
	}
	var grants []admission.Grant
	for index, front := range fronts[:4] {
		must.NotNil(t, front.Forwarder.Admission)
		must.True(t, front.Forwarder.Admission == front.Runner.Admission)
		for range 1 + index {
			grant, err := front.Forwarder.Admission.Admit(t.Context(), admission.Demand{Service: "s"})
			must.NoError(t, err)
			grants = append(grants, grant)
		}
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
		for index, front := range fronts[:4] {
			if othersKnown(front) != 10-(1+index) {
				return false
			}
		}
		return true
	}), wait.Timeout(10*time.Second), wait.Gap(20*time.Millisecond)))
	for _, grant := range grants[1:] {
		grant.Release(admission.Outcome{})
	}
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return othersKnown(fronts[0]) == 0 }), wait.Timeout(5*time.Second), wait.Gap(20*time.Millisecond)))
	grants[0].Release(admission.Outcome{})
}

// A request that waits is admitted when the catalog changes, without waiting for the next interval of the exchange.
func TestNewReplicasAdmitWaitingRequests(t *testing.T) {
	front := startFronts(t, true)[0]
	for range 40 {
		_, err := front.Forwarder.Admission.Admit(t.Context(), admission.Demand{Service: "s"})
		must.NoError(t, err)
	}
	admitted := make(chan error, 1)
	go func() {
		_, err := front.Forwarder.Admission.Admit(t.Context(), admission.Demand{Service: "s"})
		admitted <- err
	}()
	time.Sleep(50 * time.Millisecond)
	select {
	case <-admitted:
		t.Fatal("admitted although all slots are in use")
	default:
	}
	front.Catalog.SetReplicas([]catalog.Replica{{ID: "r", Service: "s", Slots: 80}}, 2)
	select {
	case err := <-admitted:
		must.NoError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("not admitted")
	}
}

// A front that takes no part in the exchange must not be chosen to sum up the reports of its zone.
func TestSummingNodesHaveTheControl(t *testing.T) {
	for _, front := range startFronts(t, true, false) {
		must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool {
			return len(front.Registry.Records(map[string]bool{front.Node: true})) == 1
		}), wait.Timeout(10*time.Second), wait.Gap(20*time.Millisecond)))
		own := front.Registry.Records(map[string]bool{front.Node: true})[0]
		must.Eq(t, front.OverloadControl, slices.Contains(own.GetCapabilities(), clusterv1.Capability_CAPABILITY_SERVICE_LOADS))
		must.SliceNotEmpty(t, own.GetCapabilities())
	}
}
