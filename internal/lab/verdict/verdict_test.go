package verdict_test

import (
	"bytes"
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/lab/verdict"
)

// Guards against a list of known failures that excuses other failures: a package that ends early without a failed test, or a test of the same name
// in another package.
func TestOnlyKnownFailuresPass(t *testing.T) {
	const red, green = `t.Fatal("red")`, ``
	const exit, fatal, killed = `os.Exit(1)`, `var mu sync.Mutex; mu.Unlock()`, `process, _ := os.FindProcess(os.Getpid()); process.Kill(); select {}`
	for _, check := range []struct {
		name     string
		a, b     string // what TestOne of the two packages does
		known    string
		passes   bool
		problems string
	}{
		{"all green", green, green, "", true, ""},
		{"red", red, green, "", false, "example/a.TestOne: failed"},
		{"known red", red, green, "a.TestOne, a cause, issue 1", true, ""},
		{"same name in another package", red, red, "a.TestOne, a cause, issue 1", false, "example/b.TestOne: failed"},
		{"known, but in the other package", red, green, "b.TestOne, a cause, issue 1", false, "example/a.TestOne: failed"},
		{"a known red subtest", `t.Run("sub", func(t *testing.T) { t.Fatal("red") })`, green, "a.TestOne, a cause, issue 1", true, ""},
		{"exits", exit, red, "b.TestOne, a cause, issue 1", false, "example/a: ended before its tests were over"},
		{"known test exits the process", exit, green, "a.TestOne, a cause, issue 1", false, "example/a: ended before its tests were over"},
		{"fatal error", fatal, red, "b.TestOne, a cause, issue 1", false, "example/a: ended before its tests were over"},
		{"killed", killed, red, "b.TestOne, a cause, issue 1", false, "example/a: ended before its tests were over"},
		{"known test panics", `panic("red")`, green, "a.TestOne, a cause, issue 1", false, "example/a: ended before its tests were over"},
		{"prints the line of a finished program", `println("FAIL"); os.Stdout.WriteString("FAIL\n"); os.Exit(1)`, red, "b.TestOne, a cause, issue 1", false, "example/a: ended before its tests were over"},
		{"does not build", `undefined()`, red, "b.TestOne, a cause, issue 1", false, "example/a: failed, but none of its tests did"},
	} {
		t.Run(check.name, func(t *testing.T) {
			t.Parallel()
			output, status := runModule(t, check.a, check.b)
			known, err := verdict.ParseKnown(strings.NewReader(check.known))
			must.NoError(t, err)
			run := &verdict.Run{Module: "example", Known: known}
			out := &bytes.Buffer{}
			must.NoError(t, run.Read(bytes.NewReader(output), out))
			problems := strings.Join(run.Failures(status, out), "\n")
			must.Eq(t, check.passes, problems == "", must.Sprint(problems, "\n", out))
			must.StrContains(t, problems, check.problems)
			if check.known != "" {
				must.StrContains(t, out.String(), check.known)
			}
		})
	}
}

// runModule runs the tests of a module with packages a and b. Each has a TestOne with the given body and a TestTwo that passes.
func runModule(t *testing.T, a, b string) (output []byte, status int) {
	t.Helper()
	folder := t.TempDir()
	write := func(path, content string) {
		path = filepath.Join(folder, path)
		must.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	}
	write("go.mod", "module example\n\ngo 1.24\n")
	for name, body := range map[string]string{"a": a, "b": b} {
		write(name+"/one_test.go", "package "+name+"\n\nimport (\n\"os\"\n\"sync\"\n\"testing\"\n)\n\nvar _ sync.Mutex\nvar _ = os.Args\n\n"+
			"func TestOne(t *testing.T) {\n"+body+"\n}\n\nfunc TestTwo(t *testing.T) {}\n")
	}
	command := exec.Command("go", "test", "-vet=off", "-json", "./...")
	command.Dir = folder
	command.Env = append(os.Environ(), "GOFLAGS=-mod=mod", "GOWORK=off")
	output, err := command.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return output, exit.ExitCode()
	}
	must.NoError(t, err)
	return output, 0
}

// Guards against passing a run without tests, with an unexplained exit status, or with a test that did not end.
func TestWhatIsNotExplainedFails(t *testing.T) {
	run := &verdict.Run{Module: "example"}
	must.NoError(t, run.Read(strings.NewReader(""), &bytes.Buffer{}))
	must.Eq(t, []string{"no test was run"}, run.Failures(0, &bytes.Buffer{}))
	passed := `{"Action":"run","Package":"example/a","Test":"TestOne"}` + "\n" + `{"Action":"pass","Package":"example/a","Test":"TestOne"}` + "\n"
	must.NoError(t, run.Read(strings.NewReader(passed), &bytes.Buffer{}))
	must.SliceLen(t, 1, run.Failures(1, &bytes.Buffer{}))
	must.SliceEmpty(t, run.Failures(0, &bytes.Buffer{}))
	must.NoError(t, run.Read(strings.NewReader(`{"Action":"run","Package":"example/a","Test":"TestOne"}`+"\n"), &bytes.Buffer{}))
	must.SliceContains(t, run.Failures(1, &bytes.Buffer{}), "example/a.TestOne: began and did not end")
}

// Guards against accepting a list with an invalid line or with too many lines.
func TestKnownFailuresAreChecked(t *testing.T) {
	list, err := verdict.ParseKnown(strings.NewReader("internal/step.TestOffer, a cause, issue 4\n\n.TestRoot, another\n"))
	must.NoError(t, err)
	must.SliceLen(t, 2, list)
	must.Eq(t, "internal/step", list[0].Package)
	must.Eq(t, "TestRoot", list[1].Test)
	for _, line := range []string{"TestOffer, a cause", "internal/step.TestOffer", "internal/step.Offer, a cause", strings.Repeat("a.TestA, a cause\n", verdict.MaxKnown+1)} {
		_, err := verdict.ParseKnown(strings.NewReader(line))
		must.ErrorIs(t, err, verdict.ErrInvalidKnown, must.Sprint(line))
	}
	none, err := verdict.LoadKnownFailures(filepath.Join(t.TempDir(), "none.txt"))
	must.NoError(t, err)
	must.SliceEmpty(t, none)
}
