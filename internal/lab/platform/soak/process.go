package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process runs a program as an operating system process. It may be started again after each exit.
type Process struct {
	Name     string
	binary   string
	role     string
	settings string
	folder   string

	mu            sync.Mutex
	command       *exec.Cmd
	exited        chan struct{} // closed when the current incarnation has exited
	stopRequested bool          // the exit of the current incarnation was requested
	incarnations  int
	lastFault     time.Time // when a fault of this process was last active
	closed        bool
	// OnUnexpectedExit is called when an incarnation exits without a request.
	OnUnexpectedExit func(process *Process, state string)
}

// ErrNotRunning is returned if there is no running incarnation to signal.
var ErrNotRunning = errors.New("the process is not running")

// Start starts an incarnation, whose output is appended to the log file of the process. It does nothing if one runs, which another fault has started,
// and after Close.
func (process *Process) Start() error {
	process.mu.Lock()
	defer process.mu.Unlock()
	if process.closed || process.isRunning() {
		return nil
	}
	output, err := os.OpenFile(process.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open the log of a process")
	}
	defer output.Close()
	command := exec.Command(process.binary, "--settings", process.settings, process.role)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return errors.Wrapf(err, "start %s", process.binary)
	}
	process.command, process.exited, process.stopRequested = command, make(chan struct{}), false
	process.incarnations++
	go process.wait(command, process.exited)
	return nil
}

// isRunning must be called with mu held.
func (process *Process) isRunning() bool {
	if process.command == nil {
		return false
	}
	select {
	case <-process.exited:
		return false
	default:
		return true
	}
}

// SetBinary sets the program that later incarnations run.
func (process *Process) SetBinary(binary string) {
	process.mu.Lock()
	defer process.mu.Unlock()
	process.binary = binary
}

// LogPath returns the path of the log file, which holds the output of all incarnations.
func (process *Process) LogPath() string { return filepath.Join(process.folder, process.Name+".log") }

func (process *Process) wait(command *exec.Cmd, exited chan struct{}) {
	_ = command.Wait() // ProcessState holds the outcome
	process.mu.Lock()
	unexpected := !process.stopRequested
	process.mu.Unlock()
	close(exited)
	if unexpected {
		process.OnUnexpectedExit(process, command.ProcessState.String())
	}
}

// Incarnation returns how often the process has been started.
func (process *Process) Incarnation() int {
	process.mu.Lock()
	defer process.mu.Unlock()
	return process.incarnations
}

// Signal sends a signal to the current incarnation. With expectExit, a later exit counts as requested.
func (process *Process) Signal(signal syscall.Signal, expectExit bool) error {
	process.mu.Lock()
	defer process.mu.Unlock()
	if !process.isRunning() {
		return ErrNotRunning
	}
	process.stopRequested = process.stopRequested || expectExit
	return process.command.Process.Signal(signal)
}

// AwaitExit waits for the current incarnation to exit and reports whether it did so within the limit.
func (process *Process) AwaitExit(limit time.Duration) bool {
	process.mu.Lock()
	exited := process.exited
	process.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// NoteFault records that a fault of this process is active now or has just ended.
func (process *Process) NoteFault() {
	process.mu.Lock()
	defer process.mu.Unlock()
	process.lastFault = time.Now()
}

// LastFault returns when a fault of this process was last active.
func (process *Process) LastFault() time.Time {
	process.mu.Lock()
	defer process.mu.Unlock()
	return process.lastFault
}

// Close kills the current incarnation. None is started after that.
func (process *Process) Close() {
	process.mu.Lock()
	process.closed = true
	process.mu.Unlock()
	if process.Signal(syscall.SIGCONT, true) == nil {
		_ = process.Signal(syscall.SIGKILL, true) // it may have exited already
		process.AwaitExit(closeTimeout)
	}
}

const closeTimeout = 3 * time.Second
