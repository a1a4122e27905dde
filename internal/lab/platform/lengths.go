package platform

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Lengths is a log-normal distribution of completion lengths in tokens, cut at the request's maximum. Long-tailed
// completion lengths of this shape are reported for production traces in Patel et al., "Splitwise: Efficient Generative
// LLM Inference Using Phase Splitting", ISCA 2024.
type Lengths struct {
	// Median is the length that half of the completions do not exceed.
	Median float64
	// Sigma is the standard deviation of the logarithm; zero makes every completion Median long.
	Sigma float64
}

// Of returns the length of a request's completion: always the same for the same identifier.
func (lengths Lengths) Of(requestID string, maximum int) int {
	seed := xxhash.Sum64String(requestID)
	random := rand.New(rand.NewPCG(seed, seed))
	length := int(lengths.Median * math.Exp(lengths.Sigma*random.NormFloat64()))
	return min(max(length, 1), maximum)
}
