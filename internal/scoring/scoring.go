// Package scoring is a client of the platform's scoring service.
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

// HTTP implements delivery.Scorer by the HTTP protocol of the scoring service (docs/PLATFORM.md).
type HTTP struct {
	base    string
	client  *http.Client
	timeout time.Duration
}

// NewHTTP returns a scorer for the service at base, which has the form "http://host:port".
func NewHTTP(base string, client *http.Client, timeout time.Duration) *HTTP {
	return &HTTP{base: base, client: client, timeout: timeout}
}

// Request is the body of POST /v1/score.
type Request struct {
	Policy     string `json:"policy"`
	Prompt     string `json:"prompt"`
	Completion string `json:"completion"`
}

// Response is the body of the response.
type Response struct {
	Score float64 `json:"score"`
}

const maximumResponseBytes = 64 << 10

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
		return 0, errors.Newf("scoring service returned status %d", response.StatusCode)
	}
	var answer Response
	err = json.NewDecoder(io.LimitReader(response.Body, maximumResponseBytes)).Decode(&answer)
	return answer.Score, errors.Wrap(err, "scorer")
}
