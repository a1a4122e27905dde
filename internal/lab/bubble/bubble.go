// Package bubble runs code on the fake clock of testing/synctest, inside and outside of test binaries.
package bubble

import (
	"os"
	"os/signal"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// drainDuration is how long the fake clock keeps running after the work, so that idle connections and pending calls end.
// The clock stops when the function of a bubble returns.
const drainDuration = 3 * time.Minute

// Run runs work in a bubble, with a temporary folder that is removed afterwards.
func Run(t *testing.T, work func(folder string) error) error {
	folder, err := os.MkdirTemp("", "thistlewalk-")
	if err != nil {
		return errors.Wrap(err, "create a folder for samples")
	}
	defer os.RemoveAll(folder)
	var failure error
	synctest.Test(t, func(*testing.T) {
		failure = work(folder)
		time.Sleep(drainDuration)
	})
	return failure
}

// Main runs work outside a test binary and exits the process, with code 0 if work returns true and 1 otherwise. It runs
// work as a test, because a bubble needs a testing.T, which only the testing package creates.
func Main(work func(t *testing.T) bool) {
	signal.Reset(os.Interrupt, syscall.SIGTERM) // a signal ends the process, since nothing in a bubble can wait for it
	testing.Init()
	session := testing.InternalTest{Name: "modelled", F: func(t *testing.T) {
		if !work(t) {
			t.Fail()
		}
	}}
	matchAll := func(string, string) (bool, error) { return true, nil }
	testing.Main(matchAll, []testing.InternalTest{session}, nil, nil)
}

// Each runs work for all items in parallel subtests and returns when all of them have finished.
func Each[Item any](t *testing.T, items []Item, work func(t *testing.T, item Item)) {
	t.Run("all", func(t *testing.T) {
		for _, item := range items {
			t.Run("one", func(t *testing.T) {
				t.Parallel()
				work(t, item)
			})
		}
	})
}
