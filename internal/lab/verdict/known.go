package verdict

import (
	"bufio"
	"io"
	"os"
	"regexp"
	"strings"

	"github.com/cockroachdb/errors"
)

// MaxKnown is the maximum length of the list of known failures, as specified in docs/DEVELOPERS.md.
const MaxKnown = 3

// KnownFailure is a test that fails because of a known fault that is not fixed yet.
type KnownFailure struct {
	// Package is the path of the test's package relative to the module; empty for the module's root package.
	Package string
	// Test is the name of the test function.
	Test string
	// Line is the whole line of the list.
	Line string
}

// knownName matches a package path relative to the module and a test function, as in internal/forwarding.TestForward.
var knownName = regexp.MustCompile(`^([a-z0-9_/-]*)\.(Test\w+)$`)

// ErrInvalidKnown is returned for a list of known failures that is malformed or too long.
var ErrInvalidKnown = errors.New("the list of known failures is not valid")

// LoadKnownFailures reads the list of known failures from a file. A missing file counts as an empty list.
func LoadKnownFailures(path string) ([]KnownFailure, error) {
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

// ParseKnown reads a list of known failures with one failure a line. A line begins with the package and test, as in
// internal/forwarding.TestForward, and a comma; the rest is free text. A test without a package is an error, since several packages may have a
// test of the same name.
func ParseKnown(source io.Reader) ([]KnownFailure, error) {
	var list []KnownFailure
	lines := bufio.NewScanner(source)
	for lines.Scan() {
		line := strings.TrimSpace(lines.Text())
		if line == "" {
			continue
		}
		name, _, hasDetails := strings.Cut(line, ",")
		parts := knownName.FindStringSubmatch(name)
		if parts == nil || !hasDetails {
			return nil, errors.Wrapf(ErrInvalidKnown, "%q does not begin with a package, a test and a comma", line)
		}
		list = append(list, KnownFailure{Package: parts[1], Test: parts[2], Line: line})
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrap(err, "read the list of known failures")
	}
	if len(list) > MaxKnown {
		return nil, errors.Wrapf(ErrInvalidKnown, "%d lines where %d may stand", len(list), MaxKnown)
	}
	return list, nil
}

// matches reports whether a test is the known one. packagePath is the full import path of its package.
func (known *KnownFailure) matches(module, packagePath, test string) bool {
	relative := strings.TrimPrefix(strings.TrimPrefix(packagePath, module), "/")
	return relative == known.Package && topLevelTest(test) == known.Test
}

// topLevelTest returns the name of the test function of a test or subtest.
func topLevelTest(test string) string {
	name, _, _ := strings.Cut(test, "/")
	return name
}
