package soak

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against two running incarnations of one process, started by two faults, and against one that outlives the soak.
func TestProcessRunsOnce(t *testing.T) {
	folder := t.TempDir()
	binary := filepath.Join(folder, "program")
	must.NoError(t, os.WriteFile(binary, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700))
	process := &Process{Name: "p", binary: binary, folder: folder, OnUnexpectedExit: func(*Process, string) {}}
	must.NoError(t, process.Start())
	must.NoError(t, process.Start())
	must.Eq(t, 1, process.Incarnation())
	process.Close()
	must.True(t, process.AwaitExit(time.Second))
	must.NoError(t, process.Start())
	must.Eq(t, 1, process.Incarnation())
}
