package gateway

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/thistlewalk/thistlewalk/internal/execution"
	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
)

// Extension is the documented addition to the OpenAI request: field "thistlewalk".
type Extension struct {
	// RequestID identifies the request; made by the node when empty. Not-repeatable requests must bring one.
	RequestID string `json:"request_id,omitempty"`
	// Rollout is the handle that the last turn's answer gave, or a key of the caller's own; empty on a first turn.
	Rollout string `json:"rollout,omitempty"`
	// DeadlineMilliseconds is how long the caller waits.
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
	// Priority orders requests: -100 to 100, greater first.
	Priority int `json:"priority,omitempty"`
	// Repeatable false lets the request run at most once. Missing is true.
	Repeatable *bool `json:"repeatable,omitempty"`
}

// sampling holds the OpenAI fields that are taken and passed over: engines sample by their own settings.
type sampling struct {
	Temperature      *float64 `json:"temperature,omitempty"`
	TopP             *float64 `json:"top_p,omitempty"`
	N                *int     `json:"n,omitempty"`
	Seed             *int64   `json:"seed,omitempty"`
	User             string   `json:"user,omitempty"`
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// CompletionRequest is the body of POST /v1/completions. Model names the experiment.
type CompletionRequest struct {
	Model         string         `json:"model"`
	Prompt        string         `json:"prompt"`
	MaxTokens     int            `json:"max_tokens"`
	Stream        bool           `json:"stream,omitempty"`
	StreamOptions *streamOptions `json:"stream_options,omitempty"`
	Extension     Extension      `json:"thistlewalk"`
	sampling
}

// ChatMessage is one message of a chat.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model               string         `json:"model"`
	Messages            []ChatMessage  `json:"messages"`
	MaxTokens           int            `json:"max_tokens,omitempty"`
	MaxCompletionTokens int            `json:"max_completion_tokens,omitempty"`
	Stream              bool           `json:"stream,omitempty"`
	StreamOptions       *streamOptions `json:"stream_options,omitempty"`
	Extension           Extension      `json:"thistlewalk"`
	sampling
}

// Limits of a request.
const (
	maximumTokens     = 131072
	defaultTokens     = 1024
	maximumIdentifier = 128
	maximumPriority   = 100
)

// turn is one checked request, whichever call it came by.
type turn struct {
	token      string // the caller's
	chat       bool
	stream     bool
	model      string
	requestID  string
	rolloutKey string
	repeatable bool
	deadline   time.Duration
	execution  execution.Request
}

func (gateway *Gateway) completions(writer http.ResponseWriter, request *http.Request) error {
	var body CompletionRequest
	if err := gateway.readJSON(writer, request, &body); err != nil {
		return err
	}
	prepared, err := gateway.prepare(callerToken(request), body.Model, body.Prompt, body.MaxTokens, body.N, body.Extension)
	if err != nil {
		return err
	}
	prepared.stream = body.Stream
	return gateway.serveTurn(writer, request, prepared)
}

func (gateway *Gateway) chatCompletions(writer http.ResponseWriter, request *http.Request) error {
	var body ChatRequest
	if err := gateway.readJSON(writer, request, &body); err != nil {
		return err
	}
	prepared, err := gateway.prepare(callerToken(request), body.Model, flatten(body.Messages), max(body.MaxTokens, body.MaxCompletionTokens), body.N, body.Extension)
	if err != nil {
		return err
	}
	prepared.stream = body.Stream
	prepared.chat = true
	return gateway.serveTurn(writer, request, prepared)
}

// flatten writes a chat as one prompt, so that a longer chat has a shorter one as its prefix.
func flatten(messages []ChatMessage) string {
	var prompt strings.Builder
	for _, message := range messages {
		prompt.WriteString(message.Role)
		prompt.WriteString(": ")
		prompt.WriteString(message.Content)
		prompt.WriteString("\n")
	}
	return prompt.String()
}

// prepare checks a request and picks its policy.
func (gateway *Gateway) prepare(token, model, prompt string, tokens int, choices *int, extension Extension) (turn, error) {
	if tokens == 0 {
		tokens = defaultTokens
	}
	if err := checkRequest(prompt, tokens, choices, extension); err != nil {
		return turn{}, err
	}
	prepared := turn{token: token, model: model, requestID: extension.RequestID, repeatable: extension.Repeatable == nil || *extension.Repeatable,
		deadline: gateway.settings.DefaultDeadline}
	if extension.DeadlineMilliseconds > 0 {
		prepared.deadline = time.Duration(extension.DeadlineMilliseconds) * time.Millisecond
	}
	if prepared.requestID == "" {
		identifier, err := uuid.NewV7()
		if err != nil {
			return turn{}, err
		}
		prepared.requestID = identifier.String()
	}
	arm, key, preferred, err := gateway.assign(token, model, extension.Rollout)
	if err != nil {
		return turn{}, err
	}
	prepared.rolloutKey = key
	prepared.execution = execution.Request{
		RequestID: scoped(token, prepared.requestID), Arm: arm, Prompt: prompt, MaxTokens: tokens, Priority: extension.Priority,
		Repeatable: prepared.repeatable, Preferred: preferred, PrefixKey: prefixKey(prompt),
	}
	return prepared, nil
}

func checkRequest(prompt string, tokens int, choices *int, extension Extension) error {
	switch {
	case prompt == "":
		return result.New(result.InvalidField, "prompt: must not be empty")
	case tokens < 1 || tokens > maximumTokens:
		return result.New(result.InvalidField, "max_tokens %d: want 1 to %d", tokens, maximumTokens)
	case choices != nil && *choices != 1:
		return result.New(result.InvalidField, "n %d: only 1 is supported", *choices)
	case len(extension.RequestID) > maximumIdentifier || len(extension.Rollout) > 4*maximumIdentifier:
		return result.New(result.InvalidField, "request_id or rollout is too long")
	case extension.DeadlineMilliseconds < 0:
		return result.New(result.InvalidField, "deadline_ms %d: must not be negative", extension.DeadlineMilliseconds)
	case extension.Priority < -maximumPriority || extension.Priority > maximumPriority:
		return result.New(result.InvalidField, "priority %d: want -%d to %d", extension.Priority, maximumPriority, maximumPriority)
	case extension.Repeatable != nil && !*extension.Repeatable && extension.RequestID == "":
		return result.New(result.InvalidField, "request_id: a request that is not repeatable must bring one")
	default:
		return nil
	}
}

// prefixBytes of a prompt decide which replica's cache it looks for.
const prefixBytes = 256

func prefixKey(prompt string) string { return prompt[:min(len(prompt), prefixBytes)] }

// assign picks the arm of a rollout: that of its handle, else by its key.
func (gateway *Gateway) assign(token, model, text string) (arm experiment.Arm, key, preferred string, err error) {
	document := gateway.follower.Document()
	given, isHandle, err := parseHandle(token, text)
	if err != nil {
		return arm, "", "", err
	}
	if !isHandle {
		key = text
		if key == "" {
			key = uuid.NewString()
		}
		arm, err = document.AssignPolicy(model, key)
		return arm, key, "", err
	}
	found, ok := document.Experiment(model)
	if !ok {
		return arm, "", "", result.New(result.InvalidNotFound, "experiment %q does not exist", model)
	}
	arm, ok = found.Arm(given.policy)
	policy, _ := document.Policy(given.policy)
	if !ok {
		return arm, "", "", result.New(result.InvalidField, "rollout: experiment %q has no policy %q", model, given.policy)
	}
	if policy.State != experiment.PolicyActive {
		return arm, "", "", result.New(result.NotRunPaused, "policy %q is %s", policy.Name, policy.State).WithRetryAfter(time.Second)
	}
	return arm, given.key, given.replica, nil
}

// serveTurn admits, runs and answers a request.
func (gateway *Gateway) serveTurn(writer http.ResponseWriter, request *http.Request, prepared turn) error {
	if gateway.stopping.Load() {
		return result.New(result.NotRunStopping, "the node is stopping").WithRetryAfter(time.Second)
	}
	if err := gateway.callers.Admit(callerOf(request), time.Now()); err != nil {
		return err
	}
	ctx := request.Context()
	if !prepared.repeatable {
		// A caller that goes away and asks again gets the answer of the one run.
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, prepared.deadline)
	defer cancel()
	release, err := gateway.limiter.Acquire(ctx, prepared.execution.Priority)
	if err != nil {
		return err
	}
	defer release()
	responder := newResponder(writer, prepared)
	if prepared.repeatable {
		outcome, err := gateway.runner.Run(ctx, prepared.execution, responder.chunk)
		return responder.finish(outcome, err)
	}
	return gateway.runOnce(ctx, prepared, responder)
}

func callerOf(request *http.Request) string {
	if token := callerToken(request); token != "" {
		return token
	}
	host, _, _ := strings.Cut(request.RemoteAddr, ":")
	return host
}

// contentHash identifies what a request asks for.
func contentHash(prepared turn) uint64 {
	return xxhash.Sum64String(prepared.model + "\x00" + prepared.execution.Prompt)
}

// usage counts tokens as OpenAI clients expect; prompt tokens are not known to the gateway.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// AnswerExtension is the documented addition to the OpenAI answer: field "thistlewalk".
type AnswerExtension struct {
	RequestID string         `json:"request_id"`
	Rollout   string         `json:"rollout"`
	Policy    string         `json:"policy"`
	Spans     []rollout.Span `json:"spans,omitempty"`
	Replica   string         `json:"replica,omitempty"`
	Code      int            `json:"code"`
}
