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

// Process is one of the real programs. It is started again when it was ended, until Close.
type Process struct {
	Name     string
	binary   string
	role     string
	settings string
	folder   string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed when the present life has ended
	wanted  bool          // its end was asked for
	lives   int
	faulted time.Time // when a fault of this process last was in force
	// OnDeath is called when a life ends that nobody asked to end.
	OnDeath func(process *Process, state string)
}

// ErrNotRunning says that there is no life to signal.
var ErrNotRunning = errors.New("the process does not run")

// Start begins a life. Its output is added to the log file of the process.
func (process *Process) Start() error {
	process.mu.Lock()
	defer process.mu.Unlock()
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
	process.command, process.ended, process.wanted = command, make(chan struct{}), false
	process.lives++
	go process.wait(command, process.ended)
	return nil
}

// Use has the next lives run a program.
func (process *Process) Use(binary string) {
	process.mu.Lock()
	defer process.mu.Unlock()
	process.binary = binary
}

// LogPath is the file that holds the output of all lives.
func (process *Process) LogPath() string { return filepath.Join(process.folder, process.Name+".log") }

func (process *Process) wait(command *exec.Cmd, ended chan struct{}) {
	_ = command.Wait() // its state tells
	process.mu.Lock()
	unasked := !process.wanted
	process.mu.Unlock()
	close(ended)
	if unasked {
		process.OnDeath(process, command.ProcessState.String())
	}
}

// Life counts the starts.
func (process *Process) Life() int {
	process.mu.Lock()
	defer process.mu.Unlock()
	return process.lives
}

// Signal sends a signal to the present life. ends says that the signal is to end it.
func (process *Process) Signal(signal syscall.Signal, ends bool) error {
	process.mu.Lock()
	defer process.mu.Unlock()
	if process.command == nil {
		return ErrNotRunning
	}
	select {
	case <-process.ended:
		return ErrNotRunning
	default:
	}
	process.wanted = process.wanted || ends
	return process.command.Process.Signal(signal)
}

// AwaitEnd waits for the end of the present life and reports whether it came in time.
func (process *Process) AwaitEnd(limit time.Duration) bool {
	process.mu.Lock()
	ended := process.ended
	process.mu.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// Fault notes that a fault of this process is in force now, or has just ended.
func (process *Process) Fault() {
	process.mu.Lock()
	defer process.mu.Unlock()
	process.faulted = time.Now()
}

// Faulted returns when a fault of this process was last in force.
func (process *Process) Faulted() time.Time {
	process.mu.Lock()
	defer process.mu.Unlock()
	return process.faulted
}

// Close ends the process for good.
func (process *Process) Close() {
	if process.Signal(syscall.SIGCONT, true) == nil {
		_ = process.Signal(syscall.SIGKILL, true) // it may have ended by itself
		process.AwaitEnd(closeLimit)
	}
}

const closeLimit = 3 * time.Second
