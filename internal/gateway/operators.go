package gateway

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/thistlewalk/thistlewalk/internal/command"
	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/query"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

// CommandRequest is the body of POST /v1/commands: a script of changes and queries that run in order.
type CommandRequest struct {
	Text string `json:"text"`
	// CommandID identifies the script, so that a retry has no further effect; the node generates one if it is empty.
	CommandID string `json:"command_id,omitempty"`
	// BaseRevision is the revision on which the script is based; a later change of the same object is a conflict.
	BaseRevision uint64 `json:"base_revision,omitempty"`
	// DryRun reports what the script would change, without changing it.
	DryRun bool `json:"dry_run,omitempty"`
}

// StatementResponse is the outcome of one statement.
type StatementResponse struct {
	Statement string       `json:"statement"`
	Code      int          `json:"code"`
	Name      string       `json:"name"`
	Message   string       `json:"message,omitempty"`
	Revision  uint64       `json:"revision,omitempty"`
	Table     *query.Table `json:"table,omitempty"`
}

// CommandResponse lists the outcomes up to the first failure. Later statements are not run.
type CommandResponse struct {
	Statements []StatementResponse `json:"statements"`
	// Skipped counts the statements after the first failure.
	Skipped int `json:"skipped"`
}

// commandWait bounds the time of one statement.
const commandWait = 20 * time.Second

func (gateway *Gateway) commands(writer http.ResponseWriter, request *http.Request) error {
	var body CommandRequest
	if err := gateway.readJSON(writer, request, &body); err != nil {
		return err
	}
	statements, err := command.Parse(body.Text)
	if err != nil {
		return err
	}
	if body.CommandID == "" {
		body.CommandID = uuid.NewString()
	}
	response := CommandResponse{Statements: []StatementResponse{}}
	preview := *gateway.follower.Document()
	for index, statement := range statements {
		ctx, cancel := context.WithTimeout(request.Context(), commandWait)
		var outcome StatementResponse
		if body.DryRun {
			outcome = previewStatement(&preview, statement)
		} else {
			outcome = gateway.execute(ctx, statement, fmt.Sprintf("%s/%d", body.CommandID, index), body.BaseRevision)
		}
		cancel()
		response.Statements = append(response.Statements, outcome)
		if result.Code(outcome.Code).Class() != result.ClassDone {
			response.Skipped = len(statements) - index - 1
			break
		}
	}
	writeJSON(writer, http.StatusOK, response)
	return nil
}

func outcomeOf(statement command.Statement, err error) StatementResponse {
	code := result.CodeOf(err)
	outcome := StatementResponse{Statement: statement.Text, Code: int(code), Name: code.String()}
	if err != nil {
		outcome.Message = result.From(err).Message
	}
	return outcome
}

// execute runs one statement.
func (gateway *Gateway) execute(ctx context.Context, statement command.Statement, commandID string, baseRevision uint64) StatementResponse {
	switch {
	case statement.Show != nil:
		table, err := gateway.show(ctx, statement.Show)
		outcome := outcomeOf(statement, err)
		if err == nil {
			outcome.Table = &table
		}
		return outcome
	case statement.EndStep != "":
		_, err := gateway.end(ctx, statement.EndStep)
		return outcomeOf(statement, err)
	default:
		if baseRevision == 0 {
			baseRevision = gateway.follower.Document().Revision
		}
		document, err := gateway.committer.Commit(ctx, experiment.Envelope{CommandID: commandID, Command: statement.Change, BaseRevision: baseRevision})
		outcome := outcomeOf(statement, err)
		outcome.Revision = document.Revision
		gateway.logger.Info("command", "statement", statement.Text, "code", outcome.Code, "revision", outcome.Revision)
		return outcome
	}
}

// previewStatement applies a change to preview, which is a copy of the configuration, and describes the difference.
func previewStatement(preview *experiment.Document, statement command.Statement) StatementResponse {
	if statement.Change == nil {
		return outcomeOf(statement, nil)
	}
	next, err := preview.Apply(experiment.Envelope{CommandID: uuid.NewString(), Command: statement.Change}, time.Now())
	outcome := outcomeOf(statement, err)
	if err == nil {
		outcome.Message = "would change revision " + fmt.Sprint(preview.Revision) + " to " + fmt.Sprint(next.Revision) + ": " + query.Difference(*preview, next)
		*preview = next
	}
	return outcome
}

func (gateway *Gateway) show(ctx context.Context, show *command.Show) (query.Table, error) {
	table, err := gateway.cluster.Query(ctx, show)
	if err != nil {
		return query.Table{}, err
	}
	return table.Narrow(show)
}

// QueryRequest is the body of POST /v1/queries.
type QueryRequest struct {
	Text string `json:"text"`
}

// queries runs a script that may contain only queries.
func (gateway *Gateway) queries(writer http.ResponseWriter, request *http.Request) error {
	var body QueryRequest
	if err := gateway.readJSON(writer, request, &body); err != nil {
		return err
	}
	statements, err := command.Parse(body.Text)
	if err != nil {
		return err
	}
	response := CommandResponse{Statements: []StatementResponse{}}
	for _, statement := range statements {
		if statement.Show == nil {
			return result.New(result.InvalidState, "%q is not a query; send it to /v1/commands", statement.Text)
		}
		ctx, cancel := context.WithTimeout(request.Context(), commandWait)
		response.Statements = append(response.Statements, gateway.execute(ctx, statement, "", 0))
		cancel()
	}
	writeJSON(writer, http.StatusOK, response)
	return nil
}
