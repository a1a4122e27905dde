// Package verdict judges a run of "go test -json": it passes over tests that are known to fail, and over nothing else. A package that ends
// in any other way than by the end of its tests (os.Exit, a fatal error, a panic, a signal, a time-out, a failed build) fails the run, since
// nobody knows then what its other tests would have shown.
package verdict

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Actions of events, as "go doc test2json" names them.
const (
	actionRun    = "run"
	actionOutput = "output"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
)

// failedLine is what a test program prints of itself, outside of any test, when it has run all of its tests and some failed. One that ends
// early never comes to it.
const failedLine = "FAIL\n"

// passedLine is what it prints if none failed; "go test" leaves it out.
const passedLine = "PASS\n"

// longestLine bounds a line of the run in bytes: an event carries one line of a test's output.
const longestLine = 16 << 20

// event is one event of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// packageRun is what the run of one package's tests has come to.
type packageRun struct {
	output map[string]*strings.Builder // by test, until the test has passed
	open   map[string]bool             // tests that began and have not ended
	failed []string                    // tests
	// finished says that the test program itself said that it has run all of its tests, over that the package failed as a whole.
	finished, over bool
}

// Run is a run of the tests of some packages, as far as it was read.
type Run struct {
	// Module is the path of the module that the packages belong to.
	Module string
	// Known are the failures that are passed over.
	Known []Known

	packages map[string]*packageRun
	ended    int
}

// Read reads a run to its end, and prints what "go test" would: a line a package, and the output of tests that failed.
func (run *Run) Read(source io.Reader, printed io.Writer) error {
	run.packages = make(map[string]*packageRun)
	lines := bufio.NewScanner(source)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		read := event{}
		if json.Unmarshal(lines.Bytes(), &read) != nil || read.Action == "" {
			fmt.Fprintln(printed, lines.Text()) // what the go command says itself
			continue
		}
		run.take(&read, printed)
	}
	return errors.Wrap(lines.Err(), "read the run of the tests")
}

func (run *Run) take(read *event, printed io.Writer) {
	if read.Package == "" {
		fmt.Fprint(printed, read.Output) // of a build
		return
	}
	state := run.packages[read.Package]
	if state == nil {
		state = &packageRun{output: make(map[string]*strings.Builder), open: make(map[string]bool)}
		run.packages[read.Package] = state
	}
	if read.Test == "" {
		state.takeOwn(read, printed)
		return
	}
	if read.Action == actionPass || read.Action == actionFail || read.Action == actionSkip {
		run.ended++
	}
	state.takeTest(read, printed)
}

// takeOwn takes an event of the package as a whole.
func (state *packageRun) takeOwn(read *event, printed io.Writer) {
	switch read.Action {
	case actionOutput:
		state.finished = state.finished || read.Output == failedLine
		if read.Output != passedLine {
			fmt.Fprint(printed, read.Output)
		}
	case actionFail:
		state.over = true
		for _, test := range slices.Sorted(maps.Keys(state.open)) { // cut short: their output tells by what
			fmt.Fprint(printed, state.output[test])
		}
	}
}

// takeTest takes an event of a test.
func (state *packageRun) takeTest(read *event, printed io.Writer) {
	switch read.Action {
	case actionRun:
		state.open[read.Test] = true
		state.output[read.Test] = &strings.Builder{}
	case actionOutput:
		if output := state.output[read.Test]; output != nil {
			output.WriteString(read.Output)
		}
	case actionPass, actionSkip:
		delete(state.open, read.Test)
		delete(state.output, read.Test)
	case actionFail:
		delete(state.open, read.Test)
		state.failed = append(state.failed, read.Test)
		fmt.Fprint(printed, state.output[read.Test])
		delete(state.output, read.Test)
	}
}

// Judge returns what is wrong with the run, a line each; none if it is green but for known failures. The status is that of "go test", and
// the known failures that showed are printed.
func (run *Run) Judge(status int, printed io.Writer) []string {
	var wrong []string
	shown := make(map[string]bool)
	for _, path := range slices.Sorted(maps.Keys(run.packages)) {
		state := run.packages[path]
		wrong = append(wrong, run.unknown(path, state, shown)...)
		if state.over && !state.finished {
			wrong = append(wrong, path+": ended before its tests were over")
		}
		if state.over && len(state.failed) == 0 {
			wrong = append(wrong, path+": failed, but none of its tests did")
		}
		for _, test := range slices.Sorted(maps.Keys(state.open)) {
			wrong = append(wrong, path+"."+test+": began and did not end")
		}
	}
	for _, known := range run.Known {
		said := "known red, and failed:"
		if !shown[known.Line] {
			said = "known red, and did not fail this time:"
		}
		fmt.Fprintln(printed, said, known.Line)
	}
	if status != 0 && len(wrong) == 0 && len(shown) == 0 {
		wrong = append(wrong, fmt.Sprintf("go test ended with status %d, and no package says why", status))
	}
	if run.ended == 0 {
		wrong = append(wrong, "no test was run")
	}
	return wrong
}

// unknown returns the tests of a package that failed and are not known to, and notes those that are.
func (run *Run) unknown(path string, state *packageRun, shown map[string]bool) []string {
	var list []string
	for _, test := range state.failed {
		index := slices.IndexFunc(run.Known, func(known Known) bool { return known.is(run.Module, path, test) })
		if index < 0 {
			list = append(list, path+"."+test+": failed")
			continue
		}
		shown[run.Known[index].Line] = true
	}
	return list
}
