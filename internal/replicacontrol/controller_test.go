package replicacontrol

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/engine"
	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/lab/platform"
	"github.com/thistlewalk/thistlewalk/internal/network"
)

func TestWantedOrders(t *testing.T) {
	policy := experiment.Policy{Name: "p", State: experiment.PolicyActive, Target: 2, Published: 3}
	cases := []struct {
		name   string
		loaded engine.LoadedPolicy
		state  experiment.PolicyState
		action engine.Action
		number uint64
		due    bool
	}{
		{"nothing held", engine.LoadedPolicy{}, experiment.PolicyActive, engine.ActionStage, 2, true},
		{"target staged", engine.LoadedPolicy{Active: 1, Staged: 2}, experiment.PolicyActive, engine.ActionActivate, 2, true},
		{"target active, newer published", engine.LoadedPolicy{Active: 2, Staged: 2}, experiment.PolicyActive, engine.ActionStage, 3, true},
		{"all done", engine.LoadedPolicy{Active: 2, Staged: 3}, experiment.PolicyActive, "", 0, false},
		{"paused policies are kept", engine.LoadedPolicy{Active: 1, Staged: 2}, experiment.PolicyPaused, engine.ActionActivate, 2, true},
		{"retired", engine.LoadedPolicy{Active: 2}, experiment.PolicyRetired, engine.ActionDiscard, 0, true},
		{"retired and gone", engine.LoadedPolicy{}, experiment.PolicyRetired, engine.ActionDiscard, 0, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			test.loaded.Policy = "p"
			policy.State = test.state
			order, due := nextOrder(policy, engine.Report{Policies: []engine.LoadedPolicy{test.loaded}})
			must.Eq(t, test.due, due)
			if due {
				must.Eq(t, test.action, order.Action)
				must.Eq(t, test.number, order.Version)
			}
		})
	}
}

// If two nodes both consider themselves the home of a replica, the later term wins and the orders of the other are refused.
func TestOnlyOneHomeOrdersAReplica(t *testing.T) {
	server := httptest.NewServer(platform.NewEngine(platform.EngineSettings{ID: "e"}, platform.NewEngineLog(), nil).Handler())
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := engine.NewHTTP(network.NewClient(network.NewTCP(time.Second), time.Minute, network.Connections{PerHost: 1}))
	order := func(holder string, term, revision uint64) error {
		return client.Order(t.Context(), address, engine.Order{Action: engine.ActionHold, Fence: engine.Fence{Term: term, Holder: holder, Revision: revision}}, time.Second)
	}
	must.NoError(t, order("a", 1, 5))
	must.True(t, errors.Is(order("b", 1, 6), engine.ErrFenced), must.Sprint("the same term by another holder"))
	must.NoError(t, order("b", 2, 5))
	must.True(t, errors.Is(order("a", 1, 9), engine.ErrFenced), must.Sprint("an older term"))
	must.True(t, errors.Is(order("b", 2, 4), engine.ErrFenced), must.Sprint("an older revision"))
	change := engine.Order{Action: engine.ActionRole, Role: "prefill", Fence: engine.Fence{Term: 2, Holder: "b", Revision: 6}}
	must.NoError(t, client.Order(t.Context(), address, change, time.Second))
	change.Role, change.Fence.Holder = "decode", "a"
	must.True(t, errors.Is(client.Order(t.Context(), address, change, time.Second), engine.ErrFenced))
	report, err := client.Report(t.Context(), address, time.Second)
	must.NoError(t, err)
	must.Eq(t, "prefill", report.Role)
}
