package platform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/engine"
)

var (
	errCrashed   = errors.New("engine crashed")
	errCancelled = errors.New("cancelled")
	errCut       = errors.New("stream cut")
)

// streamBuffer is how many chunks a slow reader may be behind before its stream waits.
const streamBuffer = 64

// stream is one request in an engine. Its fields are guarded by the engine's mu, but for chunks.
type stream struct {
	request  engine.Request
	length   int // tokens of the whole completion
	produced int
	readyAt  time.Time // when its prompt has been read
	credit   float64   // tokens earned and not yet produced
	arrived  time.Time
	sent     int
	chunks   chan wireChunk
	failure  error
	ended    bool
}

type wireChunk struct {
	RequestID    string    `json:"request_id"`
	Attempt      uint64    `json:"attempt"`
	Position     int       `json:"position"`
	Text         string    `json:"text"`
	TokenIDs     []uint32  `json:"token_ids"`
	LogProbs     []float32 `json:"logprobs"`
	Version      uint64    `json:"version"`
	FinishReason string    `json:"finish_reason,omitempty"`
}

// end closes the stream; must hold the engine's mu.
func (stream *stream) end(failure error) {
	if !stream.ended {
		stream.ended = true
		stream.failure = failure
		close(stream.chunks)
	}
}

type refusal struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason"`
}

func (model *Engine) completions(writer http.ResponseWriter, request *http.Request) {
	var body engine.Request
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writeJSON(writer, http.StatusBadRequest, refusal{Reason: "bad body"})
		return
	}
	accepted, reason := model.accept(body)
	if accepted == nil {
		writeJSON(writer, http.StatusServiceUnavailable, refusal{Reason: reason})
		return
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(writer)
	for {
		select {
		case chunk, open := <-accepted.chunks:
			if !open {
				model.finishStream(writer, accepted)
				return
			}
			encoded, _ := json.Marshal(chunk)
			if _, err := fmt.Fprintf(writer, "data: %s\n\n", encoded); err != nil || flusher.Flush() != nil {
				model.abandon(accepted)
				return
			}
		case <-request.Context().Done():
			model.abandon(accepted)
			return
		}
	}
}

// finishStream ends the answer, or breaks the connection when the stream failed.
func (model *Engine) finishStream(writer http.ResponseWriter, ended *stream) {
	model.mu.Lock()
	failure := ended.failure
	model.mu.Unlock()
	if failure != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(writer, "data: [DONE]\n\n")
}

func (model *Engine) abandon(stream *stream) {
	model.mu.Lock()
	defer model.mu.Unlock()
	stream.end(errCancelled)
	model.remove(stream)
}

// remove takes a stream off both lists; must hold mu.
func (model *Engine) remove(gone *stream) {
	isGone := func(candidate *stream) bool { return candidate == gone }
	model.running = slices.DeleteFunc(model.running, isGone)
	model.waiting = slices.DeleteFunc(model.waiting, isGone)
}

// accept takes a request into the queue, or says why not.
func (model *Engine) accept(request engine.Request) (*stream, string) {
	model.mu.Lock()
	defer model.mu.Unlock()
	weights, held := model.policies[request.Policy]
	switch {
	case model.closed || model.leaving || model.faults.RefuseNew:
		return nil, "leaving"
	case !held || weights.active == 0:
		return nil, "policy not loaded"
	case weights.active < request.FirstVersion || request.LastVersion != 0 && weights.active > request.LastVersion:
		return nil, "version not allowed"
	case len(model.waiting) >= queuePerSlot*model.settings.Capacity:
		return nil, "queue full"
	}
	accepted := &stream{request: request, arrived: time.Now(), chunks: make(chan wireChunk, streamBuffer),
		length: model.settings.Lengths.Of(request.RequestID, request.MaxTokens), produced: len(request.ResumeTokens)}
	model.truth.begin(Begun{Engine: model.settings.ID, RequestID: request.RequestID, Attempt: request.Attempt, At: time.Now()})
	model.waiting = append(model.waiting, accepted)
	if !model.looping {
		model.looping = true
		model.done.Go(model.loop)
	}
	return accepted, ""
}

// queuePerSlot bounds the queue as a multiple of the capacity.
const queuePerSlot = 8

const defaultRoundTime = 5 * time.Millisecond

// loop runs the batch until nothing is left.
func (model *Engine) loop() {
	last := time.Now()
	for {
		select {
		case <-model.ctx.Done():
			return
		case <-time.After(model.settings.RoundTime):
		}
		now := time.Now()
		if !model.round(now, now.Sub(last)) {
			return
		}
		last = now
	}
}

// round admits waiting streams and lets every running one earn tokens; it returns false when the engine is idle.
func (model *Engine) round(now time.Time, passed time.Duration) bool {
	model.mu.Lock()
	defer model.mu.Unlock()
	if model.faults.Frozen {
		return true
	}
	model.admit(now)
	if len(model.running) == 0 {
		model.looping = false
		return false
	}
	model.busy += passed
	rate := model.settings.TokensPerSecond / (1 + model.settings.BatchSlowdown*float64(len(model.running)-1))
	for _, stream := range slices.Clone(model.running) {
		if now.Before(stream.readyAt) {
			continue
		}
		stream.credit += rate * passed.Seconds()
		model.produce(stream)
		if stream.ended {
			model.remove(stream)
		}
	}
	return true
}

// admit fills the batch, the greatest priority first; must hold mu.
func (model *Engine) admit(now time.Time) {
	slices.SortStableFunc(model.waiting, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(b.request.Priority, a.request.Priority), a.arrived.Compare(b.arrived))
	})
	for len(model.running) < model.settings.Capacity && len(model.waiting) > 0 {
		next := model.waiting[0]
		model.waiting = model.waiting[1:]
		unread := model.cache.read(next.request.Policy + "\x00" + next.request.Prompt)
		if unread {
			seconds := float64(len(next.request.Prompt)/bytesPerToken) / model.settings.PrefillPerSecond
			next.readyAt = now.Add(time.Duration(seconds * float64(time.Second)))
		}
		model.running = append(model.running, next)
	}
}

const bytesPerToken = 4

// produce emits the tokens that a stream has earned under the version active now; must hold mu.
func (model *Engine) produce(stream *stream) {
	count := max(0, min(model.settings.ChunkTokens, stream.length-stream.produced))
	if stream.credit < float64(count) {
		return // a chunk is sent when it is full, or the last
	}
	if len(stream.chunks) == cap(stream.chunks) {
		return // the reader is behind
	}
	stream.credit -= float64(count)
	version := model.policies[stream.request.Policy].active
	chunk := wireChunk{RequestID: stream.request.RequestID, Attempt: stream.request.Attempt, Position: stream.produced, Version: version}
	var text strings.Builder
	for range count {
		token := tokenAt(stream.request, version, stream.produced)
		chunk.TokenIDs = append(chunk.TokenIDs, token)
		chunk.LogProbs = append(chunk.LogProbs, -float32(token%1000)/1000)
		text.WriteByte(' ')
		text.WriteString(strconv.FormatUint(uint64(token), 36))
		stream.produced++
	}
	chunk.Text = text.String()
	model.tokens += int64(len(chunk.TokenIDs))
	if stream.produced >= stream.length {
		chunk.FinishReason = "stop"
	}
	model.truth.produce(Produced{Engine: model.settings.ID, RequestID: chunk.RequestID, Attempt: chunk.Attempt, Position: chunk.Position,
		TokenIDs: chunk.TokenIDs, Text: chunk.Text, Version: version})
	stream.chunks <- chunk
	stream.sent++
	if cut := model.faults.CutAfterChunks; cut > 0 && stream.sent >= cut {
		model.faults.CutAfterChunks = 0
		stream.end(errCut)
	}
	if chunk.FinishReason != "" {
		stream.end(nil)
	}
}

// vocabulary is the number of tokens that engines know.
const vocabulary = 50000

// tokenAt is the token that a version produces at a position: another version produces another one.
func tokenAt(request engine.Request, version uint64, position int) uint32 {
	seed := request.Policy + "\x00" + strconv.FormatUint(version, 10) + "\x00" + strconv.Itoa(position) + "\x00" + request.RequestID + "\x00" + request.Prompt
	return uint32(xxhash.Sum64String(seed) % vocabulary)
}

type cancelBody struct {
	RequestID string `json:"request_id"`
	Attempt   uint64 `json:"attempt"`
}

func (model *Engine) cancel(writer http.ResponseWriter, request *http.Request) {
	var body cancelBody
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		http.Error(writer, "bad body", http.StatusBadRequest)
		return
	}
	model.mu.Lock()
	defer model.mu.Unlock()
	for _, stream := range append(slices.Clone(model.running), model.waiting...) {
		if stream.request.RequestID == body.RequestID && stream.request.Attempt == body.Attempt {
			stream.end(errCancelled)
			model.remove(stream)
		}
	}
	writeJSON(writer, http.StatusOK, struct{}{})
}
