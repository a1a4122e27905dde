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

// Format is how answers are written.
type Format string

// The formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// Write writes the outcomes of a script and returns the first failure, nil when all statements were done.
func Write(output io.Writer, format Format, response gateway.CommandResponse) error {
	if format == FormatJSON {
		encoder := json.NewEncoder(output)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(response); err != nil {
			return errors.Wrap(err, "output")
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

// WriteTable writes a table in aligned columns, with its notes below.
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

var placePattern = regexp.MustCompile(`^line (\d+), column (\d+): `)

// Explain writes a failure for people; a syntax error shows the line with a mark under the column.
func Explain(output io.Writer, text string, failure error) {
	told := result.From(failure)
	place := placePattern.FindStringSubmatch(told.Message)
	if told.Code != result.InvalidSyntax || place == nil {
		fmt.Fprintf(output, "%d %s: %s\n", told.Code, told.Code, told.Message)
		return
	}
	lineNumber, _ := strconv.Atoi(place[1])
	column, _ := strconv.Atoi(place[2])
	lines := strings.Split(text, "\n")
	fmt.Fprintf(output, "%d %s: %s\n", told.Code, told.Code, told.Message)
	if lineNumber <= len(lines) {
		fmt.Fprintf(output, "  %s\n  %s^\n", lines[lineNumber-1], strings.Repeat(" ", column-1))
	}
}

// ExitCode returns the process's exit code for an outcome: 0 for done, else the digit of the class.
func ExitCode(failure error) int {
	if failure == nil {
		return 0
	}
	return int(result.CodeOf(failure).Class())
}
