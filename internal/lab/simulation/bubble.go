package simulation

import (
	"slices"
	"testing"

	"github.com/charmbracelet/log"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/lab/bubble"
)

// InBubble runs a plan in a bubble of modelled time.
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

// Example returns the plan of a seed: always the same one.
func Example(seed int) Plan { return rapid.Custom(Draw).Example(seed) }

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
