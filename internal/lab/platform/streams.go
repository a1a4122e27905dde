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

// streamBuffer is the number of unread chunks at which a stream pauses for a slow reader.
const streamBuffer = 64

// stream is one request in an engine. The engine's mu guards all fields except chunks.
type stream struct {
	request    engine.Request
	length     int // tokens of the whole completion
	produced   int
	readyAt    time.Time // end of prefill
	credit     float64   // tokens that the elapsed time allows but that are not yet produced
	arrived    time.Time
	sentChunks int
	chunks     chan wireChunk
	failure    error
	ended      bool
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

// end closes the stream unless it has already ended. The caller must hold the engine's mu.
func (stream *stream) end(failure error) {
	if !stream.ended {
		stream.ended = true
		stream.failure = failure
		close(stream.chunks)
	}
}

type rejection struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason"`
}

// completions serves POST /v1/completions as a stream of server-sent events.
func (model *Engine) completions(writer http.ResponseWriter, request *http.Request) {
	var body engine.Request
	if err := json.NewDecoder(request.Body).Decode(&body); err != nil {
		writeJSON(writer, http.StatusBadRequest, rejection{Reason: "bad body"})
		return
	}
	accepted, reason := model.accept(body)
	if accepted == nil {
		writeJSON(writer, http.StatusServiceUnavailable, rejection{Reason: reason})
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

// finishStream completes the response, or breaks the connection if the stream failed.
func (model *Engine) finishStream(writer http.ResponseWriter, ended *stream) {
	model.mu.Lock()
	failure := ended.failure
	model.mu.Unlock()
	if failure != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprint(writer, "data: [DONE]\n\n")
}

// abandon ends a stream whose client has disconnected.
func (model *Engine) abandon(stream *stream) {
	model.mu.Lock()
	defer model.mu.Unlock()
	stream.end(errCancelled)
	model.remove(stream)
}

// remove deletes a stream from the batch and the queue. The caller must hold mu.
func (model *Engine) remove(target *stream) {
	isTarget := func(candidate *stream) bool { return candidate == target }
	model.running = slices.DeleteFunc(model.running, isTarget)
	model.waiting = slices.DeleteFunc(model.waiting, isTarget)
}

// accept queues a request. If it rejects the request, it returns nil and the reason.
func (model *Engine) accept(request engine.Request) (*stream, string) {
	model.mu.Lock()
	defer model.mu.Unlock()
	weights, held := model.policies[request.Policy]
	switch {
	case model.closed || model.leaving || model.faults.RejectRequests:
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
	model.log.recordStart(StartedRequest{Engine: model.settings.ID, RequestID: request.RequestID, Attempt: request.Attempt, At: time.Now()})
	model.waiting = append(model.waiting, accepted)
	if !model.loopRunning {
		model.loopRunning = true
		model.done.Go(model.loop)
	}
	return accepted, ""
}

// queuePerSlot is the maximum queue length as a multiple of the capacity.
const queuePerSlot = 8

const defaultRoundInterval = 5 * time.Millisecond

// loop runs the batch until the engine is idle or closed.
func (model *Engine) loop() {
	last := time.Now()
	for {
		select {
		case <-model.ctx.Done():
			return
		case <-time.After(model.settings.RoundInterval):
		}
		now := time.Now()
		if !model.round(now, now.Sub(last)) {
			return
		}
		last = now
	}
}

// round admits queued streams and advances every running stream by the time passed. It returns false if the engine is idle.
func (model *Engine) round(now time.Time, passed time.Duration) bool {
	model.mu.Lock()
	defer model.mu.Unlock()
	if model.faults.Frozen {
		return true
	}
	model.admit(now)
	if len(model.running) == 0 {
		model.loopRunning = false
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

// admit moves queued streams into the batch by descending priority, then by arrival. The caller must hold mu.
func (model *Engine) admit(now time.Time) {
	slices.SortStableFunc(model.waiting, func(a, b *stream) int {
		return cmp.Or(cmp.Compare(b.request.Priority, a.request.Priority), a.arrived.Compare(b.arrived))
	})
	for len(model.running) < model.settings.Capacity && len(model.waiting) > 0 {
		next := model.waiting[0]
		model.waiting = model.waiting[1:]
		cacheMiss := model.cache.insertPrompt(next.request.Policy + "\x00" + next.request.Prompt)
		if cacheMiss {
			seconds := float64(len(next.request.Prompt)/bytesPerToken) / model.settings.PrefillPerSecond
			next.readyAt = now.Add(time.Duration(seconds * float64(time.Second)))
		}
		model.running = append(model.running, next)
	}
}

const bytesPerToken = 4

// produce emits at most one chunk of a stream, generated by the active version. The caller must hold mu.
func (model *Engine) produce(stream *stream) {
	count := max(0, min(model.settings.ChunkTokens, stream.length-stream.produced))
	if stream.credit < float64(count) {
		return // only full chunks are sent, except the last
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
	model.log.recordChunk(ProducedChunk{Engine: model.settings.ID, RequestID: chunk.RequestID, Attempt: chunk.Attempt, Position: chunk.Position,
		TokenIDs: chunk.TokenIDs, Text: chunk.Text, Version: version})
	stream.chunks <- chunk
	stream.sentChunks++
	if cut := model.faults.BreakAfterChunks; cut > 0 && stream.sentChunks >= cut {
		model.faults.BreakAfterChunks = 0
		stream.end(errCut)
	}
	if chunk.FinishReason != "" {
		stream.end(nil)
	}
}

const vocabularySize = 50000

// tokenAt returns the token that a version generates at a position. The version is part of the hash, so that tokens reveal
// which version generated them.
func tokenAt(request engine.Request, version uint64, position int) uint32 {
	seed := request.Policy + "\x00" + strconv.FormatUint(version, 10) + "\x00" + strconv.Itoa(position) + "\x00" + request.RequestID + "\x00" + request.Prompt
	return uint32(xxhash.Sum64String(seed) % vocabularySize)
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
