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

// WeightStore hands out weights at a limited rate.
type WeightStore struct {
	limiter *rate.Limiter
	taken   atomic.Int64
	refused atomic.Int64
}

// NewWeightStore returns a store that starts perSecond transfers a second.
func NewWeightStore(perSecond float64) *WeightStore {
	return &WeightStore{limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

// Handler serves GET /v1/weights/{policy}/{version}.
func (store *WeightStore) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/weights/{policy}/{version}", func(writer http.ResponseWriter, _ *http.Request) {
		if !store.limiter.Allow() {
			store.refused.Add(1)
			http.Error(writer, "rate limit", http.StatusTooManyRequests)
			return
		}
		store.taken.Add(1)
		writeJSON(writer, http.StatusOK, struct{}{})
	})
	return mux
}

// Transfers returns how many transfers were started and refused.
func (store *WeightStore) Transfers() (taken, refused int64) {
	return store.taken.Load(), store.refused.Load()
}

// Scorer is the scoring service: a score is a hash of what is scored.
type Scorer struct {
	delay time.Duration
	down  atomic.Bool
}

// NewScorer returns a scorer that takes the time given for each score.
func NewScorer(delay time.Duration) *Scorer { return &Scorer{delay: delay} }

// SetDown makes the scorer refuse.
func (scorer *Scorer) SetDown(down bool) { scorer.down.Store(down) }

// ScoreOf returns the score that the service gives, from 0 to 1.
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
