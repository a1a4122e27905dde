// Package scoring asks the platform's scoring service for the score of a sample.
package scoring

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// HTTP is a delivery.Scorer for the service's HTTP protocol (docs/PLATFORM.md).
type HTTP struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

// NewHTTP returns a scorer at base, "http://host:port".
func NewHTTP(base string, client *http.Client, timeout time.Duration) *HTTP {
	return &HTTP{base: base, client: client, timeout: timeout}
}

// Request is the body of POST /v1/score.
type Request struct {
	Policy     string `json:"policy"`
	Prompt     string `json:"prompt"`
	Completion string `json:"completion"`
}

// Response is the answer.
type Response struct {
	Score float64 `json:"score"`
}

const maximumAnswer = 64 << 10

// Score implements delivery.Scorer.
func (scorer *HTTP) Score(ctx context.Context, policy, prompt, completion string) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, scorer.timeout)
	defer cancel()
	encoded, err := json.Marshal(Request{Policy: policy, Prompt: prompt, Completion: completion})
	if err != nil {
		return 0, errors.Wrap(err, "scorer")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, scorer.base+"/v1/score", bytes.NewReader(encoded))
	if err != nil {
		return 0, errors.Wrap(err, "scorer")
	}
	response, err := scorer.client.Do(request)
	if err != nil {
		return 0, errors.Wrap(err, "scorer")
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return 0, errors.Newf("scorer answered %d", response.StatusCode)
	}
	var answer Response
	err = json.NewDecoder(io.LimitReader(response.Body, maximumAnswer)).Decode(&answer)
	return answer.Score, errors.Wrap(err, "scorer")
}
