package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/engine"
)

// EngineSettings describe the model of an engine's speed and memory.
type EngineSettings struct {
	ID string
	// Capacity is the greatest batch.
	Capacity int
	// TokensPerSecond is one stream's rate alone in the batch.
	TokensPerSecond float64
	// BatchSlowdown is how much each further stream slows every stream: rate = TokensPerSecond / (1 + slowdown*(n-1)).
	BatchSlowdown float64
	// PrefillPerSecond is the rate at which prompt tokens that are not cached are read.
	PrefillPerSecond float64
	// CachedPrefixes is how many prompt prefixes fit in the cache.
	CachedPrefixes int
	// ChunkTokens is how many tokens a chunk carries; the last one may carry fewer.
	ChunkTokens int
	// ReportLag is the age of the load that the engine reports.
	ReportLag time.Duration
	// StageTime is how long weights take to load once the weight store gives them.
	StageTime time.Duration
	// RoundTime is the time of one round of the batch; zero is 5 ms.
	RoundTime time.Duration
	// Lengths is the distribution of completion lengths.
	Lengths Lengths
}

// EngineFaults are the faults of an engine. The zero value is none.
type EngineFaults struct {
	// KeepVersion makes the engine acknowledge an activation and stay on its version.
	KeepVersion bool
	// RefuseOrders makes every order fail.
	RefuseOrders bool
	// Frozen stops all work and answers without closing connections.
	Frozen bool
	// CutAfterChunks cuts the next stream after so many chunks; zero never.
	CutAfterChunks int
	// RefuseNew refuses new requests, saying so.
	RefuseNew bool
}

type policyWeights struct {
	active  uint64
	staged  uint64
	staging uint64
}

// Engine is one model engine. It is safe for concurrent use.
type Engine struct {
	settings EngineSettings
	truth    *Truth
	weights  func(ctx context.Context, policy string, version uint64) error

	mu       sync.Mutex
	policies map[string]*policyWeights
	fence    engine.Fence
	role     string
	leaving  bool
	faults   EngineFaults
	running  []*stream
	waiting  []*stream
	cache    *prefixCache
	reports  []timedReport
	looping  bool
	closed   bool
	tokens   int64
	busy     time.Duration

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
}

type timedReport struct {
	at     time.Time
	report engine.Report
}

// NewEngine returns an engine without weights. weights fetches from the weight store.
func NewEngine(settings EngineSettings, truth *Truth, weights func(ctx context.Context, policy string, version uint64) error) *Engine {
	ctx, stop := context.WithCancel(context.Background())
	if settings.RoundTime == 0 {
		settings.RoundTime = defaultRoundTime
	}
	return &Engine{settings: settings, truth: truth, weights: weights, policies: make(map[string]*policyWeights),
		cache: newPrefixCache(settings.CachedPrefixes), ctx: ctx, stop: stop}
}

// Close ends the engine as a crash does: every stream breaks.
func (model *Engine) Close() {
	model.mu.Lock()
	model.closed = true
	for _, stream := range append(model.running, model.waiting...) {
		stream.end(errCrashed)
	}
	model.running, model.waiting = nil, nil
	model.mu.Unlock()
	model.stop()
	model.done.Wait()
}

// SetFaults replaces the faults.
func (model *Engine) SetFaults(faults EngineFaults) {
	model.mu.Lock()
	defer model.mu.Unlock()
	model.faults = faults
}

// Leave makes the engine report that it leaves.
func (model *Engine) Leave() {
	model.mu.Lock()
	defer model.mu.Unlock()
	model.leaving = true
}

// Active returns the version that the engine truly runs of a policy.
func (model *Engine) Active(policy string) uint64 {
	model.mu.Lock()
	defer model.mu.Unlock()
	if weights, ok := model.policies[policy]; ok {
		return weights.active
	}
	return 0
}

// Preload makes the engine run a version without an order, as one that was running before.
func (model *Engine) Preload(policy string, version uint64) {
	model.mu.Lock()
	defer model.mu.Unlock()
	model.policies[policy] = &policyWeights{active: version, staged: version}
}

// Totals returns the tokens produced and the time that at least one stream ran.
func (model *Engine) Totals() (tokens int64, busy time.Duration) {
	model.mu.Lock()
	defer model.mu.Unlock()
	return model.tokens, model.busy
}

// Handler serves the protocol.
func (model *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", model.thawed(model.completions))
	mux.HandleFunc("POST /v1/cancel", model.thawed(model.cancel))
	mux.HandleFunc("POST /v1/orders", model.thawed(model.orders))
	mux.HandleFunc("GET /v1/load", model.thawed(model.load))
	mux.HandleFunc("GET /v1/cache/events", model.thawed(model.cacheEvents))
	mux.HandleFunc("POST /v1/cache/export", model.thawed(model.cacheExport))
	mux.HandleFunc("POST /v1/cache/import", model.thawed(model.cacheImport))
	return mux
}

const frozenPoll = 20 * time.Millisecond

// thawed holds calls back while the engine is frozen.
func (model *Engine) thawed(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		for {
			model.mu.Lock()
			frozen := model.faults.Frozen
			model.mu.Unlock()
			if !frozen {
				break
			}
			select {
			case <-request.Context().Done():
				return
			case <-time.After(frozenPoll):
			}
		}
		next(writer, request)
	}
}

// Staged returns the version that the engine holds ready beside the active one.
func (model *Engine) Staged(policy string) uint64 {
	model.mu.Lock()
	defer model.mu.Unlock()
	if weights, ok := model.policies[policy]; ok {
		return weights.staged
	}
	return 0
}

// Occupancy returns how many requests run or wait.
func (model *Engine) Occupancy() int {
	model.mu.Lock()
	defer model.mu.Unlock()
	return len(model.running) + len(model.waiting)
}

// Waiting returns how many requests wait.
func (model *Engine) Waiting() int {
	model.mu.Lock()
	defer model.mu.Unlock()
	return len(model.waiting)
}
