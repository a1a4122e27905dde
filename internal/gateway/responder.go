package gateway

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/execution"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
)

// responder sends the answer to one request, as a stream of events or as one body.
type responder struct {
	writer  http.ResponseWriter
	flusher *http.ResponseController
	turn    turn
	created int64
	code    result.Code
	started bool
}

func newResponder(writer http.ResponseWriter, prepared turn) *responder {
	return &responder{writer: writer, flusher: http.NewResponseController(writer), turn: prepared, created: time.Now().Unix(), code: result.Done}
}

type completionChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
	LogProbs     any     `json:"logprobs"`
}

type chatContent struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type chatChoice struct {
	Index        int          `json:"index"`
	Message      *chatContent `json:"message,omitempty"`
	Delta        *chatContent `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type completionBody struct {
	ID        string          `json:"id"`
	Object    string          `json:"object"`
	Created   int64           `json:"created"`
	Model     string          `json:"model"`
	Choices   any             `json:"choices"`
	Usage     *usage          `json:"usage,omitempty"`
	Extension AnswerExtension `json:"thistlewalk"`
}

// sendChunk sends a chunk as an event if the caller requested a stream.
func (responder *responder) sendChunk(chunk rollout.Chunk) error {
	if !responder.turn.stream {
		return nil
	}
	body := responder.body()
	body.Extension.Spans = rollout.AppendSpan(nil, chunk.Version, len(chunk.TokenIDs))
	for index := range body.Extension.Spans {
		body.Extension.Spans[index].First += chunk.Position
		body.Extension.Spans[index].Last += chunk.Position
	}
	body.Choices = responder.choices(chunk.Text, chunk.FinishReason, true)
	return responder.sendEvent(body)
}

func (responder *responder) body() completionBody {
	object := "text_completion"
	switch {
	case responder.turn.chat && responder.turn.stream:
		object = "chat.completion.chunk"
	case responder.turn.chat:
		object = "chat.completion"
	}
	return completionBody{ID: responder.turn.requestID, Object: object, Created: responder.created, Model: responder.turn.model,
		Extension: AnswerExtension{RequestID: responder.turn.requestID, Policy: responder.turn.execution.Arm.Policy,
			Rollout: responder.handle(""), Code: int(responder.code)}}
}

// handle returns the rollout's handle for the next turn.
func (responder *responder) handle(replica string) string {
	next := handle{key: responder.turn.rolloutKey, policy: responder.turn.execution.Arm.Policy, replica: replica}
	return next.encode(responder.turn.token)
}

func (responder *responder) choices(text, finishReason string, delta bool) any {
	var reason *string
	if finishReason != "" {
		reason = &finishReason
	}
	if !responder.turn.chat {
		return []completionChoice{{Text: text, FinishReason: reason}}
	}
	content := &chatContent{Role: "assistant", Content: text}
	if delta {
		return []chatChoice{{Delta: content, FinishReason: reason}}
	}
	return []chatChoice{{Message: content, FinishReason: reason}}
}

func (responder *responder) sendEvent(body any) error {
	if !responder.started {
		responder.started = true
		responder.writer.Header().Set("Content-Type", "text/event-stream")
		responder.writer.Header().Set("Cache-Control", "no-store")
		responder.writer.WriteHeader(http.StatusOK)
	}
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	return responder.sendData(encoded)
}

func (responder *responder) sendData(data []byte) error {
	line := make([]byte, 0, len(data)+len("data: \n\n"))
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, "\n\n"...)
	if _, err := responder.writer.Write(line); err != nil {
		return err
	}
	return responder.flusher.Flush()
}

// finish completes the answer. A failure before the first event is returned, so that the caller gets an HTTP error. A later failure is sent as
// an event, without a final "[DONE]".
func (responder *responder) finish(outcome execution.Outcome, failure error) error {
	if failure != nil && !responder.started {
		return failure
	}
	if failure != nil {
		_ = responder.sendEvent(ErrorBody{Error: detailOf(failure)})
		return nil
	}
	if responder.turn.stream {
		body := responder.finalBody(outcome)
		body.Choices = []completionChoice{}
		if err := responder.sendEvent(body); err != nil {
			return nil
		}
		_ = responder.sendData([]byte("[DONE]"))
		return nil
	}
	return responder.sendWhole(outcome)
}

// finalBody returns the last body of the answer, with the usage and the spans of the whole rollout.
func (responder *responder) finalBody(outcome execution.Outcome) completionBody {
	sample := outcome.Sample
	body := responder.body()
	body.Usage = &usage{CompletionTokens: len(sample.TokenIDs), TotalTokens: len(sample.TokenIDs)}
	body.Extension.Spans = sample.Spans
	body.Extension.Policy = sample.Policy
	body.Extension.Replica = outcome.Replica
	body.Extension.Rollout = responder.handle(outcome.Replica)
	return body
}

// sendWhole sends the whole rollout as one body or event.
func (responder *responder) sendWhole(outcome execution.Outcome) error {
	body := responder.finalBody(outcome)
	if !responder.turn.stream {
		body.Choices = responder.choices(outcome.Sample.Text, outcome.Sample.FinishReason, false)
		writeJSON(responder.writer, http.StatusOK, body)
		return nil
	}
	body.Choices = responder.choices(outcome.Sample.Text, outcome.Sample.FinishReason, true)
	if err := responder.sendEvent(body); err != nil {
		return nil
	}
	_ = responder.sendData([]byte("[DONE]"))
	return nil
}
