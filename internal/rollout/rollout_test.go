package rollout

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Guards against chunks of abandoned attempts, of other requests or at wrong positions that enter a sample, and against
// tokens with a wrong version.
func TestTranscriptAgainstOracle(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		transcript := NewTranscript("r", 10)
		transcript.BeginAttempt(1)
		attempt := uint64(1)
		var versions []uint64
		for range rapid.IntRange(1, 30).Draw(draw, "events") {
			if rapid.IntRange(0, 4).Draw(draw, "what") == 0 {
				attempt++
				transcript.BeginAttempt(attempt)
				continue
			}
			chunk := Chunk{RequestID: rapid.SampledFrom([]string{"r", "r", "r", "other"}).Draw(draw, "request"),
				Attempt:  attempt - min(attempt-1, uint64(rapid.IntRange(0, 1).Draw(draw, "late"))),
				Position: len(versions) + rapid.SampledFrom([]int{0, 0, 0, 1, -1}).Draw(draw, "gap"),
				Version:  uint64(rapid.IntRange(1, 3).Draw(draw, "version")),
				TokenIDs: make([]uint32, rapid.IntRange(0, 3).Draw(draw, "tokens"))}
			accepted, err := transcript.Append(chunk)
			current := chunk.RequestID == "r" && chunk.Attempt == attempt
			must.Eq(draw, current && chunk.Position == len(versions), accepted)
			must.Eq(draw, current && chunk.Position != len(versions), err != nil)
			if accepted {
				for range chunk.TokenIDs {
					versions = append(versions, chunk.Version)
				}
			}
		}
		sample := transcript.Sample()
		var spanVersions []uint64
		for _, span := range sample.Spans {
			for range span.Last - span.First + 1 {
				spanVersions = append(spanVersions, span.Version)
			}
		}
		must.Eq(draw, versions, spanVersions)
		must.Eq(draw, len(versions) > 0, sample.Check() == nil)
	})
}

func TestTokensWithoutAVersionCannotBeUsed(t *testing.T) {
	transcript := NewTranscript("r", 2)
	_, err := transcript.Append(Chunk{RequestID: "r", TokenIDs: []uint32{1, 2}})
	must.NoError(t, err)
	must.False(t, transcript.Trainable())
	sample := transcript.Sample()
	must.Eq(t, result.InvalidField, result.CodeOf(sample.Check()))
}

func BenchmarkTranscriptChunk(b *testing.B) {
	chunk := Chunk{RequestID: "r", Text: " some text", TokenIDs: make([]uint32, 8), LogProbs: make([]float32, 8), Version: 3}
	transcript := NewTranscript("r", 8*b.N)
	b.ReportAllocs()
	b.ResetTimer()
	for index := range b.N {
		chunk.Position = 8 * index
		if _, err := transcript.Append(chunk); err != nil {
			b.Fatal(err)
		}
	}
}
