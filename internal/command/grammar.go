// Package command parses the operators' query and command language, which docs/LANGUAGE.md describes.
package command

import (
	"fmt"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

type script struct {
	Statements []*statement `parser:"';'* ( @@ ( ';'+ @@ )* ';'* )?"`
}

type statement struct {
	Pos    lexer.Position
	EndPos lexer.Position

	Add     *addPolicy       `parser:"  'add' 'policy' @@"`
	Swap    *swapPolicy      `parser:"| 'swap' 'policy' @@"`
	Publish *publishPolicy   `parser:"| 'publish' 'policy' @@"`
	Pause   *string          `parser:"| 'pause' 'policy' @Name"`
	Resume  *string          `parser:"| 'resume' 'policy' @Name"`
	Retire  *string          `parser:"| 'retire' 'policy' @Name"`
	Create  *createStatement `parser:"| 'create' 'experiment' @@"`
	Alter   *alterStatement  `parser:"| 'alter' 'experiment' @@"`
	Remove  *string          `parser:"| 'remove' 'experiment' @Name"`
	Drain   *string          `parser:"| 'drain' 'replica' @( Name | Text )"`
	Undrain *string          `parser:"| 'undrain' 'replica' @( Name | Text )"`
	End     *string          `parser:"| 'end' 'step' @( Name | Text )"`
	Show    *Show            `parser:"| 'show' @@"`
}

type addPolicy struct {
	Name      string `parser:"@Name 'version'"`
	Version   uint64 `parser:"@Number"`
	Automatic bool   `parser:"@'automatic'?"`
}

type swapPolicy struct {
	Name    string `parser:"@Name 'to'"`
	Version uint64 `parser:"@Number"`
}

type publishPolicy struct {
	Name    string `parser:"@Name 'version'"`
	Version uint64 `parser:"@Number"`
}

type createStatement struct {
	Name  string       `parser:"@Name 'with'"`
	Arms  []*armClause `parser:"@@ ( ',' @@ )*"`
	Bound boundClause  `parser:"@@"`
}

type alterStatement struct {
	Name  string       `parser:"@Name"`
	Arms  []*armClause `parser:"( 'with' @@ ( ',' @@ )* )?"`
	Bound boundClause  `parser:"@@"`
}

type armClause struct {
	Policy string         `parser:"@Name 'share'"`
	Share  int            `parser:"@Number"`
	Range  *versionClause `parser:"( 'versions' @@ )?"`
}

type versionClause struct {
	First uint64  `parser:"@Number '..'"`
	Last  *uint64 `parser:"@Number?"`
}

type boundClause struct {
	Versions *versionsBound `parser:"( 'staleness' @@ )?"`
	Age      *ageBound      `parser:"( 'age' @@ )?"`
}

type versionsBound struct {
	None     bool   `parser:"( @'none'"`
	Versions uint64 `parser:"| @Number 'versions'? )"`
}

type ageBound struct {
	None bool     `parser:"( @'none'"`
	Age  duration `parser:"| @Duration )"`
}

// duration is the parsed value of a Duration token.
type duration time.Duration

// Capture implements participle.Capture.
func (value *duration) Capture(tokens []string) error {
	parsed, err := time.ParseDuration(tokens[0])
	*value = duration(parsed)
	return err
}

// Show is a query with its subject, conditions, order and limit.
type Show struct {
	Subject    string       `parser:"@( 'versions' | 'policies' | 'experiments' | 'nodes' | 'replicas' | 'steps' | 'partitions' | 'staleness' | 'configuration' | 'health' )"`
	Policy     string       `parser:"( 'of' 'policy' @Name )?"`
	Where      []*Condition `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	OrderBy    string       `parser:"( 'order' 'by' @Name"`
	Descending bool         `parser:"  ( @'descending' | 'ascending' )? )?"`
	Limit      *int         `parser:"( 'limit' @Number )?"`
}

// Condition compares a column with a value.
type Condition struct {
	Column   string `parser:"@Name"`
	Operator string `parser:"@( '=' | '!' '=' | '<' '=' | '>' '=' | '<' | '>' )"`
	Value    string `parser:"@( Name | Number | Duration | Text )"`
}

var lexerDefinition = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `--[^\n]*`},
	{Name: "Space", Pattern: `\s+`},
	{Name: "Text", Pattern: `"(\\.|[^"\\\n])*"`},
	{Name: "Duration", Pattern: `(\d+(\.\d+)?(ms|s|m|h))+`},
	{Name: "Number", Pattern: `\d+`},
	{Name: "Range", Pattern: `\.\.`},
	{Name: "Name", Pattern: `[a-zA-Z][a-zA-Z0-9_/-]*`},
	{Name: "Mark", Pattern: `[;,=!<>]`},
})

var parser = participle.MustBuild[script](
	participle.Lexer(lexerDefinition),
	participle.Elide("Comment", "Space"),
	participle.Unquote("Text"),
	participle.UseLookahead(2),
)

// MaximumText bounds the length of a script in bytes.
const MaximumText = 64 << 10

// parse parses a script. A syntax error has the code InvalidSyntax and names the line, the column and the expected token.
func parse(text string) (*script, error) {
	if len(text) > MaximumText {
		return nil, result.New(result.InvalidTooLarge, "a script of %d bytes: at most %d", len(text), MaximumText)
	}
	parsed, err := parser.ParseString("", text)
	if err == nil {
		return parsed, nil
	}
	var failure participle.Error
	if errors.As(err, &failure) {
		position := failure.Position()
		return nil, result.New(result.InvalidSyntax, "line %d, column %d: %s", position.Line, position.Column, failure.Message())
	}
	return nil, result.New(result.InvalidSyntax, "%s", fmt.Sprint(err))
}
