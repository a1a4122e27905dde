package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/thistlewalk/thistlewalk/internal/rollout"
)

const (
	maximumReport = 1 << 20
	maximumEvent  = 4 << 20
	doneEvent     = "[DONE]"
)

// HTTP implements Client over the engines' HTTP protocol.
type HTTP struct{ client *http.Client }

// NewHTTP returns a client. The http.Client must not follow redirects or retry requests.
func NewHTTP(client *http.Client) *HTTP { return &HTTP{client: client} }

type wireChunk struct {
	RequestID    string    `json:"request_id"`
	Attempt      uint64    `json:"attempt"`
	Position     int       `json:"position"`
	Text         string    `json:"text"`
	TokenIDs     []uint32  `json:"token_ids"`
	LogProbs     []float32 `json:"logprobs"`
	Version      uint64    `json:"version"`
	FinishReason string    `json:"finish_reason"`
}

// DecodeChunk decodes the data of one event of an engine's stream.
func DecodeChunk(data []byte) (rollout.Chunk, error) {
	var wire wireChunk
	if err := json.Unmarshal(data, &wire); err != nil {
		return rollout.Chunk{}, errors.Wrap(err, "engine chunk")
	}
	if wire.Position < 0 || len(wire.LogProbs) != len(wire.TokenIDs) {
		return rollout.Chunk{}, errors.Newf("engine chunk at %d: %d tokens, %d log-probabilities", wire.Position, len(wire.TokenIDs), len(wire.LogProbs))
	}
	return rollout.Chunk(wire), nil
}

// Stream implements Client.
func (engine *HTTP) Stream(ctx context.Context, address string, request Request, onChunk func(rollout.Chunk) error) error {
	response, err := engine.post(ctx, address, "/v1/completions", request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return refusal(response)
	}
	finished := false
	for event, err := range sse.Read(response.Body, &sse.ReadConfig{MaxEventSize: maximumEvent}) {
		if err != nil {
			return errors.Mark(errors.Wrap(err, "engine stream"), ErrBroken)
		}
		if event.Data == doneEvent {
			break
		}
		chunk, err := DecodeChunk([]byte(event.Data))
		if err != nil {
			return errors.Mark(err, ErrBroken)
		}
		if err := onChunk(chunk); err != nil {
			return errors.Mark(err, ErrBroken)
		}
		finished = finished || chunk.FinishReason != ""
	}
	if !finished {
		return errors.Wrap(ErrBroken, "no last chunk")
	}
	return nil
}

type refusalBody struct {
	Accepted bool   `json:"accepted"`
	Reason   string `json:"reason"`
}

// refusal returns the error of a response other than 200. It is ErrNotAccepted only if the body states that the request was not accepted.
func refusal(response *http.Response) error {
	content, err := io.ReadAll(io.LimitReader(response.Body, maximumReport))
	body := refusalBody{Accepted: true}
	if err == nil {
		err = json.Unmarshal(content, &body)
	}
	if err == nil && !body.Accepted {
		return errors.Mark(errors.Newf("engine refused: %s", body.Reason), ErrNotAccepted)
	}
	return errors.Mark(errors.Newf("engine answered %d", response.StatusCode), ErrBroken)
}

// post sends a JSON request. Its error is ErrNotAccepted if no connection was established, and ErrBroken otherwise.
func (engine *HTTP) post(ctx context.Context, address, path string, body any) (*http.Response, error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "encode"), ErrNotAccepted)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "request"), ErrNotAccepted)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := engine.client.Do(request)
	if err == nil {
		return response, nil
	}
	if connected.Load() {
		return nil, errors.Mark(errors.Wrap(err, "engine"), ErrBroken)
	}
	return nil, errors.Mark(errors.Wrap(err, "engine"), ErrNotAccepted)
}

// Report implements Client.
func (engine *HTTP) Report(ctx context.Context, address string, timeout time.Duration) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", nil)
	if err != nil {
		return Report{}, errors.Wrap(err, "engine report")
	}
	response, err := engine.client.Do(request)
	if err != nil {
		return Report{}, errors.Wrap(err, "engine report")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return Report{}, errors.Newf("engine report answered %d", response.StatusCode)
	}
	var report Report
	err = json.NewDecoder(io.LimitReader(response.Body, maximumReport)).Decode(&report)
	return report, errors.Wrap(err, "engine report")
}

// Order implements Client.
func (engine *HTTP) Order(ctx context.Context, address string, order Order, timeout time.Duration) error {
	return engine.command(ctx, address, "/v1/orders", order, timeout)
}

type cancelBody struct {
	RequestID string `json:"request_id"`
	Attempt   uint64 `json:"attempt"`
}

// Cancel implements Client.
func (engine *HTTP) Cancel(ctx context.Context, address, requestID string, attempt uint64, timeout time.Duration) error {
	return engine.command(ctx, address, "/v1/cancel", cancelBody{requestID, attempt}, timeout)
}

func (engine *HTTP) command(ctx context.Context, address, path string, body any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := engine.post(ctx, address, path, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maximumReport))
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrFenced
	default:
		return errors.Newf("engine answered %d to %s", response.StatusCode, path)
	}
}
