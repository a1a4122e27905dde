package role_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/role"
)

// failingSender answers with 500 at one replica.
type failingSender struct{ replica string }

func (sender failingSender) Send(_ context.Context, replica *catalog.Replica, _ *backend.Request) (*backend.Response, error) {
	status := http.StatusOK
	if replica.ID == sender.replica {
		status = http.StatusInternalServerError
	}
	return &backend.Response{Status: status, Body: io.NopCloser(strings.NewReader(""))}, nil
}

// Requests and scoring calls of a front avoid a replica that answers with 500, but only under overload control: elsewhere they take the path
// that they took before.
func TestBalancingOnlyUnderOverloadControl(t *testing.T) {
	for _, overload := range []bool{false, true} {
		front := role.NewFront(role.FrontOptions{
			Node: "front-1", Zone: "a", PeerAddress: freeAddress(t), Store: memstore.New(), PeerClient: http.DefaultClient, Logger: log.New(io.Discard),
			Catalog: catalog.NewTable(), ConfigurationHandler: discardHandler{}, ReplicaHandler: discardHandler{}, Sender: failingSender{replica: "x"}, OverloadControl: overload,
		})
		failing := &catalog.Replica{ID: "x", Service: "app", Slots: 6, Zone: "a"}
		other := &catalog.Replica{ID: "y", Service: "app", Slots: 6, Zone: "a"}
		for _, sender := range []backend.Sender{front.Forwarder.Sender, front.Runner.Sender} {
			for range 10 {
				for _, replica := range []*catalog.Replica{failing, other} {
					response, err := sender.Send(t.Context(), replica, &backend.Request{ID: "q", Header: http.Header{}})
					must.NoError(t, err)
					must.NoError(t, response.Body.Close())
				}
			}
		}
		picker, chosen := backend.Picker{Loads: front.Forwarder.Loads, Zone: "a"}, 0
		must.True(t, front.Forwarder.Loads == front.Runner.Loads)
		for range 100 {
			if picker.Pick(catalog.NewReplicaList(failing, other), nil, time.Now()) == failing {
				chosen++
			}
		}
		if overload {
			must.Less(t, 10, chosen)
		} else {
			must.Between(t, 20, chosen, 80)
		}
	}
}
