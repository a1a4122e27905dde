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

// RunPlan runs a plan outside a test binary.
func RunPlan(plan Plan) (Outcome, error) {
	folder, err := os.MkdirTemp("", "thistlewalk-fuzz-")
	if err != nil {
		return Outcome{}, errors.Wrap(err, "folder for samples")
	}
	defer os.RemoveAll(folder)
	logger, err := logging.New(io.Discard, "fatal")
	if err != nil {
		return Outcome{}, err
	}
	var outcome Outcome
	var failure error
	history := testing.InternalTest{Name: "history", F: func(t *testing.T) {
		outcome, failure = InBubble(t, plan, folder, logger)
	}}
	matchAll := func(string, string) (bool, error) { return true, nil }
	if !testing.RunTests(matchAll, []testing.InternalTest{history}) {
		return outcome, errors.New("the history did not end as it should")
	}
	return outcome, failure
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
