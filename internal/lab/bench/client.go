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

// errCut means that a connection ended in the middle of an answer.
var errCut = errors.New("the connection ended before the answer was whole")

// errNotSent means that no connection was had.
var errNotSent = errors.New("no connection")

// Client calls nodes' HTTP interface.
type Client struct{ http *http.Client }

// NewClient returns a client.
func NewClient(client *http.Client) *Client { return &Client{http: client} }

// Close closes idle connections.
func (client *Client) Close() { client.http.CloseIdleConnections() }

// Call posts a body and decodes the answer. A failure that the node reports is a result.Error.
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
			return errors.Mark(err, errCut)
		}
		return errors.Mark(err, errNotSent)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Mark(err, errCut)
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

// Execute carries out a script of commands and fails on the first statement that does.
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
