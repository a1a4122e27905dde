package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// runProgramVariable is the environment variable that makes the test binary run the program instead of the tests.
const runProgramVariable = "THISTLEWALK_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runProgramVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// A SIGHUP while the program starts, before a role runs, must not end the process. The program blocks on its settings file, which is a named pipe.
func TestHangupAtStart(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "node.json")
	must.NoError(t, syscall.Mkfifo(path, 0o600))
	program := exec.Command(os.Args[0], "--settings", path, "check")
	program.Env = append(os.Environ(), runProgramVariable+"=1")
	must.NoError(t, program.Start())
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0) // blocks until the program opens the pipe
	must.NoError(t, err)
	must.NoError(t, program.Process.Signal(syscall.SIGHUP))
	time.Sleep(200 * time.Millisecond)
	_, err = pipe.WriteString("{}")
	must.NoError(t, err)
	must.NoError(t, pipe.Close())
	var ended *exec.ExitError
	must.True(t, errors.As(program.Wait(), &ended))
	must.Eq(t, 1, ended.ExitCode(), must.Sprint("the program reports that its settings are incomplete: ", ended))
}
