package platform

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/time/rate"

	"github.com/thistlewalk/thistlewalk/internal/scoring"
)

// WeightStore accepts weight transfers at a limited rate.
type WeightStore struct {
	limiter  *rate.Limiter
	accepted atomic.Int64
	rejected atomic.Int64
}

// NewWeightStore returns a store that accepts perSecond transfers per second, with bursts of the same size.
func NewWeightStore(perSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

// Handler serves GET /v1/weights/{policy}/{version}.
func (store *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{policy}/{version}", func(writer http.ResponseWriter, _ *http.Request) {
		if !store.limiter.Allow() {
			store.rejected.Add(1)
			http.Error(writer, "rate limit", http.StatusTooManyRequests)
			return
		}
		store.accepted.Add(1)
		writeJSON(writer, http.StatusOK, struct{}{})
	})
	return mux
}

// Transfers returns the number of accepted and the number of rejected transfers.
func (store *WeightStore) Transfers() (accepted, rejected int64) {
	return store.accepted.Load(), store.rejected.Load()
}

// Scorer is a scoring service that derives each score from a hash of policy, prompt and completion.
type Scorer struct {
	delay time.Duration
	down  atomic.Bool
}

// NewScorer returns a scorer that responds after delay.
func NewScorer(delay time.Duration) *Scorer { return &Scorer{delay: delay} }

// SetDown makes the scorer reject calls while down is true.
func (scorer *Scorer) SetDown(down bool) { scorer.down.Store(down) }

// ScoreOf returns the score that the service assigns to a completion, in [0, 1).
func ScoreOf(policy, prompt, completion string) float64 {
	const scale = 1 << 20
	return float64(xxhash.Sum64String(policy+"\x00"+prompt+"\x00"+completion)%scale) / scale
}

// Handler serves POST /v1/score.
func (scorer *Scorer) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/score", func(writer http.ResponseWriter, request *http.Request) {
		var body scoring.Request
		if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
			http.Error(writer, "bad body", http.StatusBadRequest)
			return
		}
		time.Sleep(scorer.delay)
		if scorer.down.Load() {
			http.Error(writer, "down", http.StatusServiceUnavailable)
			return
		}
		writeJSON(writer, http.StatusOK, scoring.Response{Score: ScoreOf(body.Policy, body.Prompt, body.Completion)})
	})
	return mux
}
