package role_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var (
	shownLine = regexp.MustCompile(`(?m)^msg=("([^"]+)"|(\S+))`)
	shownSign = regexp.MustCompile("(?m)^\\| `([a-z][a-z ]+)`")
)

// Each line that the operators' page shows or names has to be one that the code writes.
func TestOperationsPageShowsTrueLines(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	must.NoError(t, err)
	_, section, found := strings.Cut(string(page), "# On the users' platform")
	must.True(t, found)
	sources := readSources(t)
	messages := make(map[string]bool)
	for _, match := range shownLine.FindAllStringSubmatch(section, -1) {
		messages[match[2]+match[3]] = true
	}
	for _, match := range shownSign.FindAllStringSubmatch(section, -1) {
		messages[match[1]] = true
	}
	must.Greater(t, 12, len(messages))
	for message := range messages {
		must.True(t, strings.Contains(sources, `("`+message+`"`) || strings.Contains(sources, `\"`+message+`\"`), must.Sprint("no line says ", message))
	}
}

// readSources returns the text of all programs, tests left out.
func readSources(t *testing.T) string {
	t.Helper()
	var sources strings.Builder
	for _, folder := range []string{"internal", "platform", "cmd"} {
		err := filepath.WalkDir(filepath.Join("..", "..", folder), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			content, err := os.ReadFile(path)
			sources.Write(content)
			return err
		})
		must.NoError(t, err)
	}
	return sources.String()
}
