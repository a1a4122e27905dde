// Package verdict decides whether a run of "go test -json" passes. It ignores failures of tests that are known to fail, and no other failures. A
// package that does not run all of its tests (because of os.Exit, a fatal error, a panic, a signal, a timeout or a failed build) fails the run,
// since the results of its other tests are unknown.
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

// Actions of events, as documented in "go doc test2json".
const (
	actionRun    = "run"
	actionOutput = "output"
	actionPass   = "pass"
	actionFail   = "fail"
	actionSkip   = "skip"
)

// failedLine is what a test program prints, outside of any test, when it has run all of its tests and some failed. A program that ends early does
// not print it.
const failedLine = "FAIL\n"

// passedLine is what a test program prints if all tests passed. "go test" omits it.
const passedLine = "PASS\n"

// maxLineBytes bounds a line of the input. An event contains one line of a test's output.
const maxLineBytes = 16 << 20

// event is an event of "go test -json".
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// packageRun is the state of the run of a package's tests.
type packageRun struct {
	output      map[string]*strings.Builder // by test, until the test has ended
	running     map[string]bool             // tests that started and have not ended
	failedTests []string
	// finished is true if the test program printed that it has run all of its tests. failed is true if the package as a whole failed.
	finished, failed bool
}

// Run is a run of the tests of some packages.
type Run struct {
	// Module is the path of the module that the packages belong to.
	Module string
	// Known are the failures to ignore.
	Known []KnownFailure

	packages   map[string]*packageRun
	endedTests int
}

// Read reads a run to its end. Like "go test", it prints a line for each package and the output of failed tests.
func (run *Run) Read(source io.Reader, out io.Writer) error {
	run.packages = make(map[string]*packageRun)
	lines := bufio.NewScanner(source)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		parsed := event{}
		if json.Unmarshal(lines.Bytes(), &parsed) != nil || parsed.Action == "" {
			fmt.Fprintln(out, lines.Text()) // output of the go command itself
			continue
		}
		run.record(&parsed, out)
	}
	return errors.Wrap(lines.Err(), "read the run of the tests")
}

func (run *Run) record(event *event, out io.Writer) {
	if event.Package == "" {
		fmt.Fprint(out, event.Output) // output of a build
		return
	}
	state := run.packages[event.Package]
	if state == nil {
		state = &packageRun{output: make(map[string]*strings.Builder), running: make(map[string]bool)}
		run.packages[event.Package] = state
	}
	if event.Test == "" {
		state.recordPackageEvent(event, out)
		return
	}
	if event.Action == actionPass || event.Action == actionFail || event.Action == actionSkip {
		run.endedTests++
	}
	state.recordTestEvent(event, out)
}

// recordPackageEvent records an event of the package as a whole.
func (state *packageRun) recordPackageEvent(event *event, out io.Writer) {
	switch event.Action {
	case actionOutput:
		state.finished = state.finished || event.Output == failedLine
		if event.Output != passedLine {
			fmt.Fprint(out, event.Output)
		}
	case actionFail:
		state.failed = true
		for _, test := range slices.Sorted(maps.Keys(state.running)) { // their output shows why the package ended early
			fmt.Fprint(out, state.output[test])
		}
	}
}

// recordTestEvent records an event of a test.
func (state *packageRun) recordTestEvent(event *event, out io.Writer) {
	switch event.Action {
	case actionRun:
		state.running[event.Test] = true
		state.output[event.Test] = &strings.Builder{}
	case actionOutput:
		if output := state.output[event.Test]; output != nil {
			output.WriteString(event.Output)
		}
	case actionPass, actionSkip:
		delete(state.running, event.Test)
		delete(state.output, event.Test)
	case actionFail:
		delete(state.running, event.Test)
		state.failedTests = append(state.failedTests, event.Test)
		fmt.Fprint(out, state.output[event.Test])
		delete(state.output, event.Test)
	}
}

// Failures returns the problems of the run, or none if it passed except for known failures. The status is the exit status of "go test". Failures also
// prints the known failures, and for each whether it occurred in this run.
func (run *Run) Failures(status int, out io.Writer) []string {
	var problems []string
	observed := make(map[string]bool)
	for _, path := range slices.Sorted(maps.Keys(run.packages)) {
		state := run.packages[path]
		problems = append(problems, run.unexpectedFailures(path, state, observed)...)
		if state.failed && !state.finished {
			problems = append(problems, path+": ended before its tests were over")
		}
		if state.failed && len(state.failedTests) == 0 {
			problems = append(problems, path+": failed, but none of its tests did")
		}
		for _, test := range slices.Sorted(maps.Keys(state.running)) {
			problems = append(problems, path+"."+test+": began and did not end")
		}
	}
	for _, known := range run.Known {
		label := "known red, and failed:"
		if !observed[known.Line] {
			label = "known red, and did not fail this time:"
		}
		fmt.Fprintln(out, label, known.Line)
	}
	if status != 0 && len(problems) == 0 && len(observed) == 0 {
		problems = append(problems, fmt.Sprintf("go test ended with status %d, and no package says why", status))
	}
	if run.endedTests == 0 {
		problems = append(problems, "no test was run")
	}
	return problems
}

// unexpectedFailures returns the failed tests of a package that are not known failures, and adds the known ones that failed to observed.
func (run *Run) unexpectedFailures(path string, state *packageRun, observed map[string]bool) []string {
	var list []string
	for _, test := range state.failedTests {
		index := slices.IndexFunc(run.Known, func(known KnownFailure) bool { return known.matches(run.Module, path, test) })
		if index < 0 {
			list = append(list, path+"."+test+": failed")
			continue
		}
		observed[run.Known[index].Line] = true
	}
	return list
}
