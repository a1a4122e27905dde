// Package rollout assembles the samples of rollouts from the streams of engines: the generated tokens, and the weight
// version that produced each of them. It does no I/O.
package rollout

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Span is a range of tokens produced by one weight version: First to Last, counted from zero, both inclusive.
type Span struct {
	Version uint64 `json:"version" cbor:"1,keyasint"`
	First   int    `json:"first" cbor:"2,keyasint"`
	Last    int    `json:"last" cbor:"3,keyasint"`
}

// Token is one generated token with its log probability under the weight version that produced it.
type Token struct {
	ID             uint32  `json:"id" cbor:"1,keyasint"`
	LogProbability float32 `json:"logprob" cbor:"2,keyasint"`
}

// Sample is a complete rollout in its stored and delivered form.
type Sample struct {
	Policy        string    `json:"policy" cbor:"1,keyasint"`
	RequestID     string    `json:"request" cbor:"2,keyasint"`
	Text          string    `json:"text" cbor:"3,keyasint"`
	TokenIDs      []uint32  `json:"tokens" cbor:"4,keyasint"`
	LogProbs      []float32 `json:"logprobs" cbor:"5,keyasint"`
	Spans         []Span    `json:"spans" cbor:"6,keyasint"`
	Score         float64   `json:"score" cbor:"7,keyasint"`
	Started       time.Time `json:"started" cbor:"8,keyasint"`
	Finished      time.Time `json:"finished" cbor:"9,keyasint"`
	FinishReason  string    `json:"finish_reason" cbor:"10,keyasint"`
	Replicas      []string  `json:"replicas" cbor:"11,keyasint"`
	EngineAttempt []uint64  `json:"engine_attempts" cbor:"12,keyasint"`
}

// OldestVersion returns the smallest version of all spans, or zero if there are none.
func (sample Sample) OldestVersion() uint64 {
	oldest := uint64(0)
	for _, span := range sample.Spans {
		if oldest == 0 || span.Version < oldest {
			oldest = span.Version
		}
	}
	return oldest
}

// Check returns an error if the sample cannot be used for training: its spans must cover all tokens without gaps or
// overlaps, and each span must have a version.
func (sample Sample) Check() error {
	if len(sample.TokenIDs) == 0 {
		return result.New(result.InvalidField, "a sample without tokens")
	}
	next := 0
	for _, span := range sample.Spans {
		if span.Version == 0 {
			return result.New(result.InvalidField, "tokens %d to %d name no version", span.First, span.Last)
		}
		if span.First != next || span.Last < span.First {
			return result.New(result.InvalidField, "span %d to %d does not follow token %d", span.First, span.Last, next-1)
		}
		next = span.Last + 1
	}
	if next != len(sample.TokenIDs) {
		return result.New(result.InvalidField, "spans cover %d tokens of %d", next, len(sample.TokenIDs))
	}
	return nil
}

// AppendSpan extends spans by count tokens of the given version.
func AppendSpan(spans []Span, version uint64, count int) []Span {
	if count <= 0 {
		return spans
	}
	first := 0
	if length := len(spans); length > 0 {
		last := &spans[length-1]
		if last.Version == version {
			last.Last += count
			return spans
		}
		first = last.Last + 1
	}
	return append(spans, Span{Version: version, First: first, Last: first + count - 1})
}
