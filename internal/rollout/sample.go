// Package rollout holds the values of one rollout: the tokens it produced, the weight versions that truly produced
// them, and the attempt that gathers them from an engine's stream. It is pure.
package rollout

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Span says that the tokens First to Last (counted from zero, inclusive) were produced under Version.
type Span struct {
	Version uint64 `json:"version" cbor:"1,keyasint"`
	First   int    `json:"first" cbor:"2,keyasint"`
	Last    int    `json:"last" cbor:"3,keyasint"`
}

// Token is one generated token with its log-probability under the version that produced it.
type Token struct {
	ID             uint32  `json:"id" cbor:"1,keyasint"`
	LogProbability float32 `json:"logprob" cbor:"2,keyasint"`
}

// Sample is a complete rollout as it is stored and delivered.
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

// OldestVersion returns the smallest version of all spans; zero when there is none.
func (sample Sample) OldestVersion() uint64 {
	oldest := uint64(0)
	for _, span := range sample.Spans {
		if oldest == 0 || span.Version < oldest {
			oldest = span.Version
		}
	}
	return oldest
}

// Check reports why the sample cannot be used for training, or nil: its spans must cover its tokens without gap or
// overlap, and each must name a version.
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

// AppendSpan adds count tokens of a version after those that spans already cover.
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
