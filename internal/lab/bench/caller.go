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

// Told is what a caller was told about one sending of a request.
type Told struct {
	RequestID  string
	Repeatable bool
	Node       string
	// Code is zero when the connection failed; NotSent and Cut tell how.
	Code    result.Code
	NotSent bool
	Cut     bool
	Text    string
	Spans   []rollout.Span
	Sent    time.Time
	Took    time.Duration
}

// Callers send requests and note what they are told. They are safe for concurrent use.
type Callers struct {
	client     *Client
	experiment string
	mu         sync.Mutex
	told       []Told
	pending    sync.WaitGroup
}

// NewCallers returns callers of an experiment.
func NewCallers(client *Client, experiment string) *Callers {
	return &Callers{client: client, experiment: experiment}
}

// Send sends one request to a node and notes the answer.
func (callers *Callers) Send(ctx context.Context, node, requestID, prompt string, tokens int, repeatable bool) Told {
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
	told := Told{RequestID: requestID, Repeatable: repeatable, Node: node, Sent: began, Took: time.Since(began)}
	var failure *result.Error
	switch {
	case err == nil && len(answer.Choices) == 1:
		told.Code = result.Code(answer.Extension.Code)
		told.Text = answer.Choices[0].Text
		told.Spans = answer.Extension.Spans
	case errors.As(err, &failure):
		told.Code = failure.Code
	case errors.Is(err, errNotSent):
		told.NotSent = true
	default:
		told.Cut = true
	}
	callers.mu.Lock()
	callers.told = append(callers.told, told)
	callers.mu.Unlock()
	return told
}

// Load is a stream of requests.
type Load struct {
	// PerSecond is the mean rate of arrivals, which follow a Poisson process.
	PerSecond float64
	// NotRepeatable is the share of requests that may run once only; each is sent to two nodes at the same time.
	NotRepeatable float64
	Tokens        int
}

// Run sends requests to the nodes until the context ends, and then waits for the answers.
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

// callerPatience bounds the wait for an answer, since one may be lost on the way.
const callerPatience = 2 * time.Minute

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
			ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
			defer cancel()
			callers.Send(ctx, target, requestID, "request "+requestID, load.Tokens, !once)
		})
	}
}

// Wait waits for all answers.
func (callers *Callers) Wait() { callers.pending.Wait() }

// Told returns what callers were told so far.
func (callers *Callers) Told() []Told {
	callers.mu.Lock()
	defer callers.mu.Unlock()
	return append([]Told(nil), callers.told...)
}
