package bench

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/thistlewalk/thistlewalk/internal/gateway"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
)

// CallResult is the result of sending a request to a node once.
type CallResult struct {
	RequestID  string
	Repeatable bool
	Node       string
	// Code is zero if the call returned no result code.
	Code result.Code
	// NotSent is true if no connection was established, so the request cannot have reached the node.
	NotSent bool
	// Interrupted is true if the call failed after a connection was established and returned no result code.
	Interrupted bool
	Text        string
	Spans       []rollout.Span
	Sent        time.Time
	Took        time.Duration
}

// Callers sends requests and records their results. It is safe for concurrent use.
type Callers struct {
	client     *Client
	experiment string
	mu         sync.Mutex
	calls      []CallResult
	pending    sync.WaitGroup
}

// NewCallers returns Callers that send requests to an experiment.
func NewCallers(client *Client, experiment string) *Callers {
	return &Callers{client: client, experiment: experiment}
}

// Send sends a request to a node, and records and returns the result.
func (callers *Callers) Send(ctx context.Context, node, requestID, prompt string, tokens int, repeatable bool) CallResult {
	request := gateway.CompletionRequest{Model: callers.experiment, Prompt: prompt, MaxTokens: tokens, Extension: gateway.Extension{
		RequestID: requestID, Repeatable: &repeatable,
	}}
	var answer struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
		Extension gateway.AnswerExtension `json:"thistlewalk"`
	}
	began := time.Now()
	err := callers.client.Call(ctx, node+"/v1/completions", request, &answer)
	call := CallResult{RequestID: requestID, Repeatable: repeatable, Node: node, Sent: began, Took: time.Since(began)}
	var failure *result.Error
	switch {
	case err == nil && len(answer.Choices) == 1:
		call.Code = result.Code(answer.Extension.Code)
		call.Text = answer.Choices[0].Text
		call.Spans = answer.Extension.Spans
	case errors.As(err, &failure):
		call.Code = failure.Code
	case errors.Is(err, errNotConnected):
		call.NotSent = true
	default:
		call.Interrupted = true
	}
	callers.mu.Lock()
	callers.calls = append(callers.calls, call)
	callers.mu.Unlock()
	return call
}

// Load describes a stream of requests.
type Load struct {
	// PerSecond is the mean rate of arrivals, which follow a Poisson process.
	PerSecond float64
	// NotRepeatable is the fraction of requests that must run at most once. Each is sent to two nodes concurrently.
	NotRepeatable float64
	Tokens        int // maximum number of tokens per request
}

// Run sends requests to the nodes until the context ends, and then waits for the pending answers.
func (callers *Callers) Run(ctx context.Context, load Load, nodes func() []string, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(random.ExpFloat64() / load.PerSecond * float64(time.Second))):
			callers.dispatch(load, nodes(), random)
		}
	}
	callers.pending.Wait()
}

// answerTimeout limits the wait for an answer, which may be lost.
const answerTimeout = 2 * time.Minute

func (callers *Callers) dispatch(load Load, nodes []string, random *rand.Rand) {
	if len(nodes) == 0 {
		return
	}
	identifier, err := uuid.NewV7()
	if err != nil {
		return
	}
	requestID := identifier.String()
	once := random.Float64() < load.NotRepeatable
	first := random.IntN(len(nodes))
	targets := []string{nodes[first]}
	if once && len(nodes) > 1 {
		targets = append(targets, nodes[(first+1)%len(nodes)])
	}
	for _, target := range targets {
		callers.pending.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
			defer cancel()
			callers.Send(ctx, target, requestID, "request "+requestID, load.Tokens, !once)
		})
	}
}

// Wait waits for the answers to all requests sent by Run.
func (callers *Callers) Wait() { callers.pending.Wait() }

// Calls returns the results recorded so far.
func (callers *Callers) Calls() []CallResult {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	return append([]CallResult(nil), callers.calls...)
}
