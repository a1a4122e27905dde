package rollout

import "github.com/thistlewalk/thistlewalk/internal/result"

// Chunk is one event of an engine's stream. The engine names the request, the attempt and the position it belongs to,
// so that a chunk of an abandoned attempt, a repeated chunk or a gap is recognised.
type Chunk struct {
	RequestID    string
	Attempt      uint64
	Position     int // index of the first token of this chunk in the whole rollout
	Text         string
	TokenIDs     []uint32
	LogProbs     []float32
	Version      uint64 // zero when the engine did not say
	FinishReason string // empty but on the last chunk
}

// Transcript gathers the chunks of a rollout over one or more attempts. Its zero value is not usable; see NewTranscript.
type Transcript struct {
	requestID    string
	attempt      uint64
	text         []byte
	tokenIDs     []uint32
	logProbs     []float32
	spans        []Span
	finishReason string
	unlabelled   bool
}

// NewTranscript returns a transcript without chunks. tokens is the expected length, used to size buffers.
func NewTranscript(requestID string, tokens int) *Transcript {
	const bytesPerToken = 6
	return &Transcript{
		requestID: requestID,
		text:      make([]byte, 0, tokens*bytesPerToken),
		tokenIDs:  make([]uint32, 0, tokens),
		logProbs:  make([]float32, 0, tokens),
	}
}

// BeginAttempt makes attempt the only one whose chunks are taken.
func (transcript *Transcript) BeginAttempt(attempt uint64) { transcript.attempt = attempt }

// Append takes a chunk. It returns false, without error, for a chunk of another request or an abandoned attempt, and an
// error when tokens are missing before the chunk or it overlaps what is there.
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
		transcript.unlabelled = true
	}
	if chunk.FinishReason != "" {
		transcript.finishReason = chunk.FinishReason
	}
	return true, nil
}

// Complete reports whether the last chunk has come.
func (transcript *Transcript) Complete() bool { return transcript.finishReason != "" }

// Trainable reports whether every token names its version.
func (transcript *Transcript) Trainable() bool { return !transcript.unlabelled }

// Tokens returns the number of tokens gathered.
func (transcript *Transcript) Tokens() int { return len(transcript.tokenIDs) }

// TokenIDs returns the tokens gathered; the caller must not change them.
func (transcript *Transcript) TokenIDs() []uint32 { return transcript.tokenIDs }

// Text returns the text gathered.
func (transcript *Transcript) Text() string { return string(transcript.text) }

// Sample fills the produced fields of a sample; the caller adds policy, times and score.
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
