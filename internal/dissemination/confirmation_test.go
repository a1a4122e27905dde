package dissemination

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/capability"
	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// respondingProcess is the process at an address. It records requests, and responds that it knows a revision.
type respondingProcess struct {
	clusterv1.Nodes
	capabilities []clusterv1.Capability
	known        int64
	requests     []*clusterv1.PublishRequest
}

func (process *respondingProcess) Publish(_ context.Context, request *clusterv1.PublishRequest) (*clusterv1.PublishResponse, error) {
	process.requests = append(process.requests, request)
	for _, update := range request.GetUpdates() {
		process.known = update.GetRevision()
	}
	response := &clusterv1.PublishResponse{Known: []*clusterv1.PrefixRevision{{Prefix: "servers/", Revision: process.known}}}
	if request.GetAskCapabilities() {
		response.Capabilities = process.capabilities
	}
	return response, nil
}

// RoundTrip implements http.RoundTripper.
func (process *respondingProcess) RoundTrip(request *http.Request) (*http.Response, error) {
	recorder := httptest.NewRecorder()
	clusterv1.NewNodesServer(process).ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// Guards against packed updates for a process that does not decode them and has replaced the registered one, whether the sender knows what
// its predecessor had or nothing.
func TestPackedUpdatesAreConfirmed(t *testing.T) {
	for _, check := range []struct {
		name         string
		capabilities []clusterv1.Capability
		known        map[string]metadata.Revision
		packed       bool
	}{
		{"first push", capability.Own(), nil, true},
		{"later push", capability.Own(), map[string]metadata.Revision{"servers/": 3}, true},
		{"first push, former build", nil, nil, false},
		{"later push, former build", nil, map[string]metadata.Revision{"servers/": 3}, false},
	} {
		process := &respondingProcess{capabilities: check.capabilities, known: int64(check.known["servers/"])}
		topic := Topic{Mirror: metadata.NewMirror("servers/", metadata.Handlers{})}
		topic.Reset(replicaItems(40), 40)
		record := &clusterv1.NodeRecord{Name: "node", Address: "127.0.0.1:1", Life: 1, Capabilities: capability.Own()}
		registry := cluster.NewRegistry(&clusterv1.NodeRecord{Name: "publisher"}, memstore.New(), &http.Client{Transport: process}, log.New(io.Discard))
		publisher := &Publisher{Node: "publisher", Logger: log.New(io.Discard), Topics: []Topic{topic}, Registry: registry}
		publisher.initialize()
		publisher.receivers[processOf(record)] = &receiver{record: record, known: check.known}
		publisher.push(t.Context(), processOf(record), prompt)
		must.Len(t, 2, process.requests, must.Sprint(check.name))
		must.SliceEmpty(t, process.requests[0].GetUpdates(), must.Sprint(check.name))
		must.Len(t, 1, process.requests[1].GetUpdates(), must.Sprint(check.name))
		must.Eq(t, check.packed, isPacked(process.requests[1].GetUpdates()[0]), must.Sprint(check.name))
		must.Eq(t, 40, process.known, must.Sprint(check.name))
		must.False(t, publisher.needsPush(publisher.receivers[processOf(record)], prompt, time.Now()), must.Sprint(check.name))
	}
}

// Guards against a response that lists capabilities to a sender that did not ask: small responses are the most frequent messages.
func TestCapabilitiesAreListedOnRequest(t *testing.T) {
	for _, asks := range []bool{true, false} {
		response, err := newTestSubscriber().Publish(t.Context(), &clusterv1.PublishRequest{AskCapabilities: asks})
		must.NoError(t, err)
		must.Eq(t, asks, capability.Has(response, clusterv1.Capability_CAPABILITY_PACKED_UPDATES))
	}
}
