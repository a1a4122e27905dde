package result

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
)

// The whole table in docs/RESULT_CODES.md must match the code, so that no code is added, removed or reworded in one place only.
func TestTableInDocsAgreesWithCode(t *testing.T) {
	page, err := os.ReadFile("../../docs/RESULT_CODES.md")
	must.NoError(t, err)
	var rows []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| code") && !strings.HasPrefix(line, "| ---") {
			rows = append(rows, line)
		}
	}
	var want []string
	for _, description := range Descriptions() {
		want = append(want, fmt.Sprintf("| %d | %s | %s | %d | %s |", description.Code, description.Name, description.Code.Class(), description.HTTP, description.Meaning))
	}
	must.Eq(t, want, rows)
}

func TestCodesAreUniqueAndInOrder(t *testing.T) {
	previous := Code(0)
	for _, description := range Descriptions() {
		must.Greater(t, previous, description.Code)
		previous = description.Code
	}
}

func TestFromFindsTheErrorInAChain(t *testing.T) {
	failure := New(NotRunOverload, "full")
	must.Eq(t, failure, From(errors.Wrap(failure, "outer")))
	must.Eq(t, InternalFault, CodeOf(errors.New("other")))
	must.Eq(t, Done, CodeOf(nil))
}

func TestMessageKeepsEverything(t *testing.T) {
	failure := New(NotRunLimit, "slow down").WithRetryAfter(1500000000)
	must.Eq(t, failure, From(FromMessage(ToMessage(failure))))
	must.NoError(t, FromMessage(ToMessage(nil)))
}
