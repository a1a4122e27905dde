// Package bubble runs code in modelled time, by testing/synctest, inside and outside of test binaries.
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

// afterwards is how long modelled time goes on after the work, so that idle connections and last calls end: it stands
// still once the function of a bubble has returned.
const afterwards = 3 * time.Minute

// Run runs work in a bubble, with a folder that is removed afterwards.
func Run(t *testing.T, work func(folder string) error) error {
	folder, err := os.MkdirTemp("", "thistlewalk-")
	if err != nil {
		return errors.Wrap(err, "folder for samples")
	}
	defer os.RemoveAll(folder)
	var failure error
	synctest.Test(t, func(*testing.T) {
		failure = work(folder)
		time.Sleep(afterwards)
	})
	return failure
}

// Main runs work outside a test binary and ends the process: with code 0 if work returns true, else 1. A bubble needs a
// testing.T, and only the testing package makes one.
func Main(work func(t *testing.T) bool) {
	signal.Reset(os.Interrupt, syscall.SIGTERM) // nothing in a bubble waits for a signal: it ends the process
	testing.Init()
	session := testing.InternalTest{Name: "modelled", F: func(t *testing.T) {
		if !work(t) {
			t.Fail()
		}
	}}
	matchAll := func(string, string) (bool, error) { return true, nil }
	testing.Main(matchAll, []testing.InternalTest{session}, nil, nil)
}

// Each runs work for every item, several at a time, and returns when all are done.
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
