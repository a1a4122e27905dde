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
	quotedMessage    = regexp.MustCompile(`(?m)^msg=("([^"]+)"|(\S+))`)
	tabulatedMessage = regexp.MustCompile("(?m)^\\| `([a-z][a-z ]+)`")
)

// Guards against log messages on the operators' page that the code does not write.
func TestOperationsPageShowsTrueLines(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "OPERATIONS.md"))
	must.NoError(t, err)
	_, section, found := strings.Cut(string(page), "# On the users' platform")
	must.True(t, found)
	sources := readSources(t)
	messages := make(map[string]bool)
	for _, match := range quotedMessage.FindAllStringSubmatch(section, -1) {
		messages[match[2]+match[3]] = true
	}
	for _, match := range tabulatedMessage.FindAllStringSubmatch(section, -1) {
		messages[match[1]] = true
	}
	must.Greater(t, 12, len(messages))
	for message := range messages {
		must.True(t, strings.Contains(sources, `("`+message+`"`) || strings.Contains(sources, `\"`+message+`\"`), must.Sprint("no log line has the message ", message))
	}
}

// readSources returns the source text of all programs, without tests.
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
