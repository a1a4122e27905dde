// Package operator is the operators' side of the HTTP interface: it sends scripts to a node and writes the answers for
// people or programs.
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

// Client sends scripts to nodes: to the first that answers.
type Client struct {
	nodes []string
	token string
	http  *http.Client
}

// NewClient returns a client of the nodes at base URLs. token may be empty.
//
// secure is the TLS configuration for https nodes; nil is the standard one.
func NewClient(nodes []string, token string, timeout time.Duration, secure *tls.Config) *Client {
	trimmed := make([]string, 0, len(nodes))
	for _, node := range nodes {
		trimmed = append(trimmed, strings.TrimSuffix(node, "/"))
	}
	return &Client{nodes: trimmed, token: token, http: &http.Client{Timeout: timeout, Transport: &http.Transport{TLSClientConfig: secure}}}
}

// Script is what to carry out.
type Script struct {
	Text         string
	BaseRevision uint64
	DryRun       bool
}

const maximumAnswer = 64 << 20

// Execute carries out a script. A node that cannot be reached is passed over: all tries carry one command identifier, so
// a script that took effect without an answer does not take effect twice.
func (client *Client) Execute(ctx context.Context, script Script) (gateway.CommandResponse, error) {
	body := gateway.CommandRequest{Text: script.Text, CommandID: uuid.NewString(), BaseRevision: script.BaseRevision, DryRun: script.DryRun}
	var failure error
	for _, node := range client.nodes {
		var response gateway.CommandResponse
		err := client.call(ctx, node+"/v1/commands", body, &response)
		var told *result.Error
		if err == nil || errors.As(err, &told) && told.Code != result.NotRunStopping {
			return response, err
		}
		failure = err
	}
	if failure == nil {
		failure = errors.New("no node is named; use --node")
	}
	return gateway.CommandResponse{}, failure
}

func (client *Client) call(ctx context.Context, url string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return errors.Wrap(err, "request")
	}
	request.Header.Set("Content-Type", "application/json")
	if client.token != "" {
		request.Header.Set("Authorization", "Bearer "+client.token)
	}
	response, err := client.http.Do(request)
	if err != nil {
		return errors.Wrap(err, "node")
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswer))
	if err != nil {
		return errors.Wrap(err, "node")
	}
	if response.StatusCode == http.StatusOK {
		return errors.Wrap(json.Unmarshal(content, answer), "node")
	}
	var failure gateway.ErrorBody
	if err := json.Unmarshal(content, &failure); err != nil || failure.Error.Number == 0 {
		return errors.Newf("%s answered %d", url, response.StatusCode)
	}
	return result.New(result.Code(failure.Error.Number), "%s", failure.Error.Message)
}
