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

// Extension is the field "thistlewalk" that extends an OpenAI request.
type Extension struct {
	// RequestID identifies the request; the node generates one if it is empty. It is required if Repeatable is false.
	RequestID string `json:"request_id,omitempty"`
	// Rollout is the handle from the previous turn's answer, or a key chosen by the caller; empty on the first turn.
	Rollout string `json:"rollout,omitempty"`
	// DeadlineMilliseconds is how long the caller waits; zero selects the default.
	DeadlineMilliseconds int64 `json:"deadline_ms,omitempty"`
	// Priority is -100 to 100; requests with a greater one are admitted first.
	Priority int `json:"priority,omitempty"`
	// Repeatable is true if missing. If it is false, the request runs at most once.
	Repeatable *bool `json:"repeatable,omitempty"`
}

// sampling holds the OpenAI fields that are accepted and, except for N, ignored: engines use their own sampling settings.
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

const (
	maximumTokens     = 131072
	defaultTokens     = 1024
	maximumIdentifier = 128 // bytes
	maximumPriority   = 100
)

// turn is one validated request, from either of the completion calls.
type turn struct {
	token      string // of the caller
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

// flatten formats a chat as one prompt. The prompt of a chat is a prefix of the prompts of its continuations, so that a replica can reuse
// its cache.
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

// prepare validates a request and assigns it to an arm of its experiment.
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

// prefixBytes is the length of the prompt prefix by which a replica with a matching cache is selected.
const prefixBytes = 256

func prefixKey(prompt string) string { return prompt[:min(len(prompt), prefixBytes)] }

// assign returns the arm and the key of a rollout. If text is a handle, both come from the handle, and preferred is the replica of the last
// turn. Otherwise text is the key, or a random key is used if text is empty, and the key selects the arm.
func (gateway *Gateway) assign(token, model, text string) (arm experiment.Arm, key, preferred string, err error) {
	document := gateway.follower.Document()
	parsed, isHandle, err := parseHandle(token, text)
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
	definition, ok := document.Experiment(model)
	if !ok {
		return arm, "", "", result.New(result.InvalidNotFound, "experiment %q does not exist", model)
	}
	arm, ok = definition.Arm(parsed.policy)
	policy, _ := document.Policy(parsed.policy)
	if !ok {
		return arm, "", "", result.New(result.InvalidField, "rollout: experiment %q has no policy %q", model, parsed.policy)
	}
	if policy.State != experiment.PolicyActive {
		return arm, "", "", result.New(result.NotRunPaused, "policy %q is %s", policy.Name, policy.State).WithRetryAfter(time.Second)
	}
	return arm, parsed.key, parsed.replica, nil
}

// serveTurn admits, runs and answers a turn.
func (gateway *Gateway) serveTurn(writer http.ResponseWriter, request *http.Request, prepared turn) error {
	if gateway.stopping.Load() {
		return result.New(result.NotRunStopping, "the node is stopping").WithRetryAfter(time.Second)
	}
	if err := gateway.callers.Admit(callerOf(request), time.Now()); err != nil {
		return err
	}
	ctx := request.Context()
	if !prepared.repeatable {
		// The run continues if the caller disconnects, so that a retry gets its answer.
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
		outcome, err := gateway.runner.Run(ctx, prepared.execution, responder.sendChunk)
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

// contentHash identifies the content of a request: its experiment and prompt.
func contentHash(prepared turn) uint64 {
	return xxhash.Sum64String(prepared.model + "\x00" + prepared.execution.Prompt)
}

// usage counts tokens in the format of OpenAI. PromptTokens is zero, because the gateway does not tokenize prompts.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// AnswerExtension is the field "thistlewalk" that extends an OpenAI answer.
type AnswerExtension struct {
	RequestID string         `json:"request_id"`
	Rollout   string         `json:"rollout"`
	Policy    string         `json:"policy"`
	Spans     []rollout.Span `json:"spans,omitempty"`
	Replica   string         `json:"replica,omitempty"`
	Code      int            `json:"code"`
}
