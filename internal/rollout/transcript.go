package rollout

import "github.com/thistlewalk/thistlewalk/internal/result"

// Chunk is one event of an engine's stream. Its request, attempt and position come from the engine, so that a Transcript
// detects chunks of abandoned attempts, repeated chunks and gaps.
type Chunk struct {
	RequestID    string
	Attempt      uint64
	Position     int // index of the first token of this chunk in the whole rollout
	Text         string
	TokenIDs     []uint32
	LogProbs     []float32
	Version      uint64 // weight version; zero if the engine did not report it
	FinishReason string // set only on the last chunk
}

// Transcript assembles a rollout from the chunks of one or more attempts. Use NewTranscript to create one.
type Transcript struct {
	requestID      string
	attempt        uint64
	text           []byte
	tokenIDs       []uint32
	logProbs       []float32
	spans          []Span
	finishReason   string
	missingVersion bool
}

// NewTranscript returns an empty transcript with buffers for the expected number of tokens.
func NewTranscript(requestID string, tokens int) *Transcript {
	const bytesPerToken = 6
	return &Transcript{
		requestID: requestID,
		text:      make([]byte, 0, tokens*bytesPerToken),
		tokenIDs:  make([]uint32, 0, tokens),
		logProbs:  make([]float32, 0, tokens),
	}
}

// BeginAttempt makes the transcript accept only chunks of the given attempt.
func (transcript *Transcript) BeginAttempt(attempt uint64) { transcript.attempt = attempt }

// Append adds a chunk. It returns false without an error if the chunk belongs to another request or attempt, and an error
// if the chunk leaves a gap after the transcript's tokens or overlaps them.
func (transcript *Transcript) Append(chunk Chunk) (bool, error) {
	if chunk.RequestID != transcript.requestID || chunk.Attempt != transcript.attempt {
		return false, nil
	}
	if chunk.Position != len(transcript.tokenIDs) {
		return false, result.New(result.UnknownTruncated, "chunk at token %d, want %d", chunk.Position, len(transcript.tokenIDs))
	}
	transcript.text = append(transcript.text, chunk.Text...)
	transcript.tokenIDs = append(transcript.tokenIDs, chunk.TokenIDs...)
	transcript.logProbs = append(transcript.logProbs, chunk.LogProbs...)
	transcript.spans = AppendSpan(transcript.spans, chunk.Version, len(chunk.TokenIDs))
	if chunk.Version == 0 && len(chunk.TokenIDs) > 0 {
		transcript.missingVersion = true
	}
	if chunk.FinishReason != "" {
		transcript.finishReason = chunk.FinishReason
	}
	return true, nil
}

// Complete reports whether the last chunk was added.
func (transcript *Transcript) Complete() bool { return transcript.finishReason != "" }

// Trainable reports whether every token has a version.
func (transcript *Transcript) Trainable() bool { return !transcript.missingVersion }

// Tokens returns the number of tokens added so far.
func (transcript *Transcript) Tokens() int { return len(transcript.tokenIDs) }

// TokenIDs returns the tokens added so far. The caller must not modify them.
func (transcript *Transcript) TokenIDs() []uint32 { return transcript.tokenIDs }

// Text returns the text added so far.
func (transcript *Transcript) Text() string { return string(transcript.text) }

// Sample returns a sample with the fields that the engine produced. The caller sets policy, times, score, replicas and
// engine attempts.
func (transcript *Transcript) Sample() Sample {
	return Sample{
		RequestID:    transcript.requestID,
		Text:         string(transcript.text),
		TokenIDs:     transcript.tokenIDs,
		LogProbs:     transcript.logProbs,
		Spans:        transcript.spans,
		FinishReason: transcript.finishReason,
	}
}
