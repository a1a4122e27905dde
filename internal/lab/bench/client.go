package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/gateway"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

// errInterrupted marks a call that failed after its connection was established and before the response was complete.
var errInterrupted = errors.New("connection closed before the response was complete")

// errNotConnected marks a call for which no connection was established.
var errNotConnected = errors.New("no connection established")

// Client calls the HTTP API of nodes.
type Client struct{ http *http.Client }

// NewClient returns a Client that sends its calls with the given HTTP client.
func NewClient(client *http.Client) *Client { return &Client{http: client} }

// Close closes idle connections.
func (client *Client) Close() { client.http.CloseIdleConnections() }

// Call posts a body as JSON and decodes the response into answer. It returns a result.Error for a failure that the node
// reports.
func (client *Client) Call(ctx context.Context, url string, body, answer any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := client.http.Do(request)
	if err != nil {
		if connected.Load() {
			return errors.Mark(err, errInterrupted)
		}
		return errors.Mark(err, errNotConnected)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Mark(err, errInterrupted)
	}
	if response.StatusCode == http.StatusOK {
		return json.Unmarshal(content, answer)
	}
	var failure gateway.ErrorBody
	if err := json.Unmarshal(content, &failure); err != nil || failure.Error.Number == 0 {
		return errors.Newf("%s answered %d: %s", url, response.StatusCode, content)
	}
	wait := time.Duration(failure.Error.RetryAfterMilliseconds) * time.Millisecond
	return result.New(result.Code(failure.Error.Number), "%s", failure.Error.Message).WithRetryAfter(wait)
}

// Execute runs a script of commands on a node and returns an error for the first statement that failed.
func (client *Client) Execute(ctx context.Context, api, text string) ([]gateway.StatementResponse, error) {
	var answer gateway.CommandResponse
	if err := client.Call(ctx, api+"/v1/commands", gateway.CommandRequest{Text: text}, &answer); err != nil {
		return nil, err
	}
	for _, statement := range answer.Statements {
		if code := result.Code(statement.Code); code.Class() != result.ClassDone {
			return answer.Statements, result.New(code, "%s: %s", statement.Statement, statement.Message)
		}
	}
	return answer.Statements, nil
}
