// Package gateway implements the HTTP interface for callers, trainers and operators (docs/API.md).
package gateway

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/admission"
	"github.com/thistlewalk/thistlewalk/internal/command"
	"github.com/thistlewalk/thistlewalk/internal/configuration"
	"github.com/thistlewalk/thistlewalk/internal/execution"
	"github.com/thistlewalk/thistlewalk/internal/query"
)

// Cluster provides clients of partition owners and answers queries about the whole system.
type Cluster interface {
	// Steps returns a client of the owner of a steps partition, which may be this node.
	Steps(partition uint32) (controlv1.Steps, error)
	// Claims returns a client of the owner of a claims partition, which may be this node.
	Claims(partition uint32) (controlv1.Claims, error)
	// Holder returns the identity of this process in claims.
	Holder() (nodeID string, incarnation uint64)
	Query(ctx context.Context, show *command.Show) (query.Table, error)
}

// Settings of the gateway.
type Settings struct {
	MaximumBody     int64
	DefaultDeadline time.Duration
	// OwnerWait is how long a trainer's call waits until its partition has a reachable owner.
	OwnerWait      time.Duration
	OperatorTokens []string
	CallerTokens   []string
}

// Gateway serves the HTTP calls.
type Gateway struct {
	settings  Settings
	cluster   Cluster
	follower  *configuration.Follower
	committer *configuration.Committer
	runner    *execution.Runner
	limiter   *admission.Limiter
	callers   *admission.CallerLimits
	metrics   *Metrics
	logger    *log.Logger
	stopping  atomic.Bool
	ready     func() bool
}

// Dependencies of a gateway.
type Dependencies struct {
	Cluster   Cluster
	Follower  *configuration.Follower
	Committer *configuration.Committer
	Runner    *execution.Runner
	Limiter   *admission.Limiter
	Callers   *admission.CallerLimits
	Metrics   *Metrics
	Logger    *log.Logger
	// Ready reports whether the node has the state that it needs to serve.
	Ready func() bool
}

// New returns a gateway.
func New(settings Settings, dependencies Dependencies) *Gateway {
	return &Gateway{settings: settings, cluster: dependencies.Cluster, follower: dependencies.Follower, committer: dependencies.Committer,
		runner: dependencies.Runner, limiter: dependencies.Limiter, callers: dependencies.Callers, metrics: dependencies.Metrics,
		logger: dependencies.Logger, ready: dependencies.Ready}
}

// StopAccepting makes the gateway refuse new requests and steps with NotRunStopping. Calls in progress continue.
func (gateway *Gateway) StopAccepting() { gateway.stopping.Store(true) }

// Handler returns the routes.
func (gateway *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", gateway.requireCaller(gateway.completions))
	mux.HandleFunc("POST /v1/chat/completions", gateway.requireCaller(gateway.chatCompletions))
	mux.HandleFunc("POST /v1/steps", gateway.requireCaller(gateway.createStep))
	mux.HandleFunc("POST /v1/steps/{step}/fetch", gateway.requireCaller(gateway.fetch))
	mux.HandleFunc("POST /v1/steps/{step}/acknowledge", gateway.requireCaller(gateway.acknowledge))
	mux.HandleFunc("POST /v1/steps/{step}/end", gateway.requireCaller(gateway.endStep))
	mux.HandleFunc("POST /v1/policies/{policy}/versions", gateway.requireCaller(gateway.publish))
	mux.HandleFunc("POST /v1/commands", gateway.requireOperator(gateway.commands))
	mux.HandleFunc("POST /v1/queries", gateway.requireOperator(gateway.queries))
	mux.HandleFunc("GET /healthz", gateway.health)
	mux.HandleFunc("GET /readyz", gateway.readiness)
	mux.Handle("GET /metrics", gateway.metrics.Handler())
	mux.HandleFunc("/", gateway.notFound)
	return mux
}

func (gateway *Gateway) health(writer http.ResponseWriter, _ *http.Request) {
	writer.WriteHeader(http.StatusOK)
}

func (gateway *Gateway) readiness(writer http.ResponseWriter, _ *http.Request) {
	if gateway.stopping.Load() || !gateway.ready() {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writer.WriteHeader(http.StatusOK)
}
