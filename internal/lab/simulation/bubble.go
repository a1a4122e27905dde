package simulation

import (
	"io"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/logging"
)

// afterwards is how long modelled time goes on after a history, so that idle connections and last calls end: it stands
// still once the function of a bubble has returned.
const afterwards = 3 * time.Minute

// InBubble runs a plan in a bubble of modelled time. Samples go into the folder.
func InBubble(t *testing.T, plan Plan, folder string, logger *log.Logger) (Outcome, error) {
	var outcome Outcome
	var failure error
	synctest.Test(t, func(*testing.T) {
		world, err := NewWorld(plan, folder, logger)
		if err != nil {
			failure = err
			return
		}
		outcome, failure = world.Run()
		time.Sleep(afterwards)
	})
	return outcome, failure
}

// Example returns the plan of a seed: always the same one.
func Example(seed int) Plan { return rapid.Custom(Draw).Example(seed) }

// Runner runs a plan and tells what it showed.
type Runner func(plan Plan) (Outcome, error)

// Main runs work outside a test binary and ends the process: with code 0 if work returns true, else 1. A bubble needs a
// testing.T, and only the testing package makes one.
func Main(work func(run Runner) bool) {
	session := testing.InternalTest{Name: "histories", F: func(t *testing.T) {
		run := func(plan Plan) (Outcome, error) {
			folder, err := os.MkdirTemp("", "thistlewalk-fuzz-")
			if err != nil {
				return Outcome{}, errors.Wrap(err, "folder for samples")
			}
			defer os.RemoveAll(folder)
			logger, err := logging.New(io.Discard, "fatal")
			if err != nil {
				return Outcome{}, err
			}
			return InBubble(t, plan, folder, logger)
		}
		if !work(run) {
			t.Fail()
		}
	}}
	matchAll := func(string, string) (bool, error) { return true, nil }
	testing.Main(matchAll, []testing.InternalTest{session}, nil, nil)
}

// Shorten removes events from a failing plan as long as it goes on failing, and returns the shortest found.
func Shorten(plan Plan, fails func(Plan) bool) Plan {
	for index := 0; index < len(plan.Events); {
		shorter := plan
		shorter.Events = slices.Delete(slices.Clone(plan.Events), index, index+1)
		if len(shorter.Events) > 0 && fails(shorter) {
			plan = shorter
			continue
		}
		index++
	}
	return plan
}
