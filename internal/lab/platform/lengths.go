package platform

import (
	"math"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
)

// Lengths is a log-normal distribution of completion lengths in tokens, truncated at the request's maximum. Patel et al.,
// "Splitwise: Efficient Generative LLM Inference Using Phase Splitting", ISCA 2024, report such long-tailed lengths in
// production traces.
type Lengths struct {
	Median float64
	// Sigma is the standard deviation of the logarithm of the length; with zero, every completion has the median length.
	Sigma float64
}

// Of returns the completion length of a request. The length depends only on the request ID and the maximum.
func (lengths Lengths) Of(requestID string, maximum int) int {
	seed := xxhash.Sum64String(requestID)
	random := rand.New(rand.NewPCG(seed, seed))
	length := int(lengths.Median * math.Exp(lengths.Sigma*random.NormFloat64()))
	return min(max(length, 1), maximum)
}
