package simulation

import (
	"slices"
	"testing"

	"github.com/charmbracelet/log"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/lab/bubble"
)

// InBubble runs a plan in a testing/synctest bubble, which has its own virtual clock.
func InBubble(t *testing.T, plan Plan, logger *log.Logger) (Outcome, error) {
	var outcome Outcome
	err := bubble.Run(t, func(folder string) error {
		world, err := NewWorld(plan, folder, logger)
		if err != nil {
			return err
		}
		outcome, err = world.Run()
		return err
	})
	return outcome, err
}

// Example returns the plan of a seed. The same seed always gives the same plan.
func Example(seed int) Plan { return rapid.Custom(Draw).Example(seed) }

// Shorten removes events one at a time from a failing plan while the plan still fails, and returns the shortest plan found.
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
