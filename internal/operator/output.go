package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/gateway"
	"github.com/thistlewalk/thistlewalk/internal/query"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Format is an output format.
type Format string

// The output formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// Write writes the response to a script. It returns the error of the first failed statement, or nil.
func Write(output io.Writer, format Format, response gateway.CommandResponse) error {
	if format == FormatJSON {
		encoder := json.NewEncoder(output)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(response); err != nil {
			return errors.Wrap(err, "write output")
		}
		return firstFailure(response)
	}
	for _, statement := range response.Statements {
		writeStatement(output, statement)
	}
	if response.Skipped > 0 {
		fmt.Fprintf(output, "%d later statements were not carried out\n", response.Skipped)
	}
	return firstFailure(response)
}

func firstFailure(response gateway.CommandResponse) error {
	for _, statement := range response.Statements {
		if code := result.Code(statement.Code); code.Class() != result.ClassDone {
			return result.New(code, "%s: %s", statement.Statement, statement.Message)
		}
	}
	return nil
}

func writeStatement(output io.Writer, statement gateway.StatementResponse) {
	switch {
	case statement.Table != nil:
		WriteTable(output, *statement.Table)
	case result.Code(statement.Code).Class() != result.ClassDone:
	case statement.Message != "":
		fmt.Fprintln(output, statement.Message)
	case statement.Revision > 0:
		fmt.Fprintf(output, "done: revision %d\n", statement.Revision)
	default:
		fmt.Fprintln(output, "done")
	}
}

// WriteTable writes a table in aligned columns, followed by its notes.
func WriteTable(output io.Writer, table query.Table) {
	const padding = 2
	aligned := tabwriter.NewWriter(output, 0, 0, padding, ' ', 0)
	fmt.Fprintln(aligned, strings.ToUpper(strings.Join(table.Columns, "\t")))
	for _, row := range table.Rows {
		fmt.Fprintln(aligned, strings.Join(row, "\t"))
	}
	_ = aligned.Flush()
	for _, note := range table.Notes {
		fmt.Fprintln(output, "note:", note)
	}
}

var positionPattern = regexp.MustCompile(`^line (\d+), column (\d+): `)

// Explain writes an error for the operator. For a syntax error it also writes the line, with a caret under the column.
func Explain(output io.Writer, text string, failure error) {
	problem := result.From(failure)
	position := positionPattern.FindStringSubmatch(problem.Message)
	if problem.Code != result.InvalidSyntax || position == nil {
		fmt.Fprintf(output, "%d %s: %s\n", problem.Code, problem.Code, problem.Message)
		return
	}
	lineNumber, _ := strconv.Atoi(position[1])
	column, _ := strconv.Atoi(position[2])
	lines := strings.Split(text, "\n")
	fmt.Fprintf(output, "%d %s: %s\n", problem.Code, problem.Code, problem.Message)
	if lineNumber <= len(lines) {
		fmt.Fprintf(output, "  %s\n  %s^\n", lines[lineNumber-1], strings.Repeat(" ", column-1))
	}
}

// ExitCode returns the exit code of the process: 0 without an error, otherwise the number of the error's class.
func ExitCode(failure error) int {
	if failure == nil {
		return 0
	}
	return int(result.CodeOf(failure).Class())
}
