package verdict

import (
	"bufio"
	"io"
	"os"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// KnownMost is how many tests may be known to fail at a time, as docs/DEVELOPERS.md has it.
const KnownMost = 3

// Known is a test that fails for a fault which is known and not mended yet.
type Known struct {
	// Package is the path of the test's package below the module's; empty for the module's own.
	Package string
	// Test is the name of the test function.
	Test string
	// Line is what is known, as it was written down.
	Line string
}

// knownName is a package below the module and a test function, as in internal/forwarding.TestForward.
var knownName = regexp.MustCompile(`^([a-z0-9_/-]*)\.(Test\w+)$`)

// ErrKnownFormat says that a list of known failures can't be used as it is.
var ErrKnownFormat = errors.New("the list of known failures is not valid")

// LoadKnown reads the list of known failures from a file; a file that does not exist lists none.
func LoadKnown(path string) ([]Known, error) {
	file, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "open the list of known failures")
	}
	defer file.Close()
	return ParseKnown(file)
}

// ParseKnown reads a list of known failures: a line each that begins with the test, as internal/forwarding.TestForward, and a comma. The
// rest of the line is for readers. A name without its package is refused, since other packages may have a test of that name.
func ParseKnown(source io.Reader) ([]Known, error) {
	var list []Known
	lines := bufio.NewScanner(source)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		name, _, more := strings.Cut(line, ",")
		parts := knownName.FindStringSubmatch(name)
		if parts == nil || !more {
			return nil, errors.Wrapf(ErrKnownFormat, "%q does not begin with a package, a test and a comma", line)
		}
		list = append(list, Known{Package: parts[1], Test: parts[2], Line: line})
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read the list of known failures")
	}
	if len(list) > KnownMost {
		return nil, errors.Wrapf(ErrKnownFormat, "%d lines where %d may stand", len(list), KnownMost)
	}
	return list, nil
}

// is reports whether a test of a package, given by its full import path, is the known one.
func (known *Known) is(module, packagePath, test string) bool {
	below := strings.TrimPrefix(strings.TrimPrefix(packagePath, module), "/")
	return below == known.Package && topLevel(test) == known.Test
}

// topLevel returns the test function of a test or of one of its subtests.
func topLevel(test string) string {
	name, _, _ := strings.Cut(test, "/")
	return name
}
