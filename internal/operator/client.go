// Package operator is the client of the operators' HTTP interface. It sends scripts to a node and prints the responses as
// tables or JSON.
package operator

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/thistlewalk/thistlewalk/internal/gateway"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Client sends a script to the first node that answers.
type Client struct {
	nodes []string
	token string
	http  *http.Client
}

// NewClient returns a client for nodes, given by their base URLs. token may be empty. secure is the TLS configuration for
// https nodes, or nil for the default.
func NewClient(nodes []string, token string, timeout time.Duration, secure *tls.Config) *Client {
	trimmed := make([]string, 0, len(nodes))
	for _, node := range nodes {
		trimmed = append(trimmed, strings.TrimSuffix(node, "/"))
	}
	return &Client{nodes: trimmed, token: token, http: &http.Client{Timeout: timeout, Transport: &http.Transport{TLSClientConfig: secure}}}
}

// Script is the text of a script with its execution options.
type Script struct {
	Text         string
	BaseRevision uint64
	DryRun       bool
}

const maximumResponse = 64 << 20

// Execute sends a script to the nodes in order until one of them answers and is not stopping. All attempts carry the same
// command identifier, so a script whose response was lost does not take effect twice.
func (client *Client) Execute(ctx context.Context, script Script) (gateway.CommandResponse, error) {
	body := gateway.CommandRequest{Text: script.Text, CommandID: uuid.NewString(), BaseRevision: script.BaseRevision, DryRun: script.DryRun}
	var failure error
	for _, node := range client.nodes {
		var response gateway.CommandResponse
		err := client.call(ctx, node+"/v1/commands", body, &response)
		var refusal *result.Error
		if err == nil || errors.As(err, &refusal) && refusal.Code != result.NotRunStopping {
			return response, err
		}
		failure = err
	}
	if failure == nil {
		failure = errors.New("no node address given; use --node")
	}
	return gateway.CommandResponse{}, failure
}

func (client *Client) call(ctx context.Context, url string, body, target any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "create request")
	}
	request.Header.Set("Content-Type", "application/json")
	if client.token != "" {
		request.Header.Set("Authorization", "Bearer "+client.token)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "call node")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maximumResponse))
	if err != nil {
		return errors.Wrap(err, "read response")
	}
	if response.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(content, target), "decode response")
	}
	var failure gateway.ErrorBody
	if err := json.Unmarshal(content, &failure); err != nil || failure.Error.Number == 0 {
		return errors.Newf("%s answered %d", url, response.StatusCode)
	}
	return result.New(result.Code(failure.Error.Number), "%s", failure.Error.Message)
}
