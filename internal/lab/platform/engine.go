package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/engine"
)

// EngineSettings are the parameters of a simulated engine: its speed, batch size, cache and reporting lag.
type EngineSettings struct {
	ID string
	// Capacity is the maximum batch size.
	Capacity int
	// TokensPerSecond is the decode rate of a stream that is alone in the batch.
	TokensPerSecond float64
	// BatchSlowdown is the slowdown caused by each additional stream: rate = TokensPerSecond / (1 + BatchSlowdown*(n-1)).
	BatchSlowdown float64
	// PrefillPerSecond is the prefill rate of uncached prompts, in tokens per second.
	PrefillPerSecond float64
	// CachedPrefixes is the capacity of the prefix cache, in prompts.
	CachedPrefixes int
	// ChunkTokens is the number of tokens per chunk; the last chunk of a stream may hold fewer.
	ChunkTokens int
	// ReportLag is the age of the load figures and cache events that the engine reports.
	ReportLag time.Duration
	// StageTime is the time that loading weights takes after their transfer from the weight store.
	StageTime time.Duration
	// RoundInterval is the interval between two scheduling rounds of the batch; zero selects 5 ms.
	RoundInterval time.Duration
	// Lengths is the distribution of completion lengths.
	Lengths Lengths
}

// EngineFaults are the faults injected into an engine. The zero value injects none.
type EngineFaults struct {
	// IgnoreActivations makes the engine acknowledge activations without changing its active version.
	IgnoreActivations bool
	// RejectOrders makes every order fail.
	RejectOrders bool
	// Frozen suspends token generation and new calls but keeps connections open.
	Frozen bool
	// BreakAfterChunks breaks one stream after this many chunks, then resets to zero; zero breaks none.
	BreakAfterChunks int
	// RejectRequests makes the engine reject new requests with the reason "leaving".
	RejectRequests bool
}

type policyWeights struct {
	active  uint64
	staged  uint64
	staging uint64
}

// Engine simulates one model engine. It is safe for concurrent use.
type Engine struct {
	settings     EngineSettings
	log          *EngineLog
	fetchWeights func(ctx context.Context, policy string, version uint64) error

	mu          sync.Mutex
	policies    map[string]*policyWeights
	fence       engine.Fence // greatest fence accepted
	role        string
	leaving     bool
	faults      EngineFaults
	running     []*stream
	waiting     []*stream
	cache       *prefixCache
	reports     []timedReport // oldest first
	loopRunning bool          // true while a goroutine runs the batch
	closed      bool
	tokens      int64
	busy        time.Duration

	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup
}

type timedReport struct {
	at     time.Time
	report engine.Report
}

// NewEngine returns an engine that has no weights loaded. fetchWeights transfers a version from the weight store.
func NewEngine(settings EngineSettings, log *EngineLog, fetchWeights func(ctx context.Context, policy string, version uint64) error) *Engine {
	ctx, stop := context.WithCancel(context.Background())
	if settings.RoundInterval == 0 {
		settings.RoundInterval = defaultRoundInterval
	}
	return &Engine{settings: settings, log: log, fetchWeights: fetchWeights, policies: make(map[string]*policyWeights),
		cache: newPrefixCache(settings.CachedPrefixes), ctx: ctx, stop: stop}
}

// Close stops the engine like a crash: every stream breaks.
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

// SetFaults replaces the injected faults.
func (model *Engine) SetFaults(faults EngineFaults) {
	model.mu.Lock()
	defer model.mu.Unlock()
	model.faults = faults
}

// Leave makes the engine report that it is leaving and reject new requests.
func (model *Engine) Leave() {
	model.mu.Lock()
	defer model.mu.Unlock()
	model.leaving = true
}

// Active returns the version of a policy that the engine really runs, or zero.
func (model *Engine) Active(policy string) uint64 {
	model.mu.Lock()
	defer model.mu.Unlock()
	if weights, ok := model.policies[policy]; ok {
		return weights.active
	}
	return 0
}

// Preload activates a version without an order, as if the engine had been serving it before.
func (model *Engine) Preload(policy string, version uint64) {
	model.mu.Lock()
	defer model.mu.Unlock()
	model.policies[policy] = &policyWeights{active: version, staged: version}
}

// Totals returns the number of tokens produced and the time during which at least one stream was running.
func (model *Engine) Totals() (tokens int64, busy time.Duration) {
	model.mu.Lock()
	defer model.mu.Unlock()
	return model.tokens, model.busy
}

// Handler serves the engine protocol.
func (model *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", model.waitWhileFrozen(model.completions))
	mux.HandleFunc("POST /v1/cancel", model.waitWhileFrozen(model.cancel))
	mux.HandleFunc("POST /v1/orders", model.waitWhileFrozen(model.orders))
	mux.HandleFunc("GET /v1/load", model.waitWhileFrozen(model.load))
	mux.HandleFunc("GET /v1/cache/events", model.waitWhileFrozen(model.cacheEvents))
	mux.HandleFunc("POST /v1/cache/export", model.waitWhileFrozen(model.cacheExport))
	mux.HandleFunc("POST /v1/cache/import", model.waitWhileFrozen(model.cacheImport))
	return mux
}

const frozenPollInterval = 20 * time.Millisecond

// waitWhileFrozen wraps a handler so that calls wait while the engine is frozen.
func (model *Engine) waitWhileFrozen(next http.HandlerFunc) http.HandlerFunc {
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
			case <-time.After(frozenPollInterval):
			}
		}
		next(writer, request)
	}
}

// Staged returns the version of a policy that the engine staged last, or zero.
func (model *Engine) Staged(policy string) uint64 {
	model.mu.Lock()
	defer model.mu.Unlock()
	if weights, ok := model.policies[policy]; ok {
		return weights.staged
	}
	return 0
}

// Occupancy returns the number of running and queued requests.
func (model *Engine) Occupancy() int {
	model.mu.Lock()
	defer model.mu.Unlock()
	return len(model.running) + len(model.waiting)
}

// Waiting returns the number of queued requests.
func (model *Engine) Waiting() int {
	model.mu.Lock()
	defer model.mu.Unlock()
	return len(model.waiting)
}
