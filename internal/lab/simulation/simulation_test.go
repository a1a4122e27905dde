package simulation

import (
	"flag"
	"io"
	"os"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/logging"
)

// simulate runs a plan in a bubble and returns its outcome.
func simulate(t *testing.T, plan Plan) Outcome {
	logger, err := logging.New(logOutput(), "info")
	must.NoError(t, err)
	outcome, err := InBubble(t, plan, logger)
	must.NoError(t, err)
	return outcome
}

// logOutput returns standard error if THISTLEWALK_TEST_LOG is set, and discards the nodes' logs otherwise.
func logOutput() io.Writer {
	if os.Getenv("THISTLEWALK_TEST_LOG") != "" {
		return os.Stderr
	}
	return io.Discard
}

func TestQuietHistory(t *testing.T) {
	outcome := simulate(t, Plan{Slots: 12, Bound: 1, Events: []Event{{Kind: CallOnce}, {Kind: CallRepeatable}}})
	must.False(t, outcome.Failed(), must.Sprint(outcome))
	must.Eq(t, 12, outcome.Verdict.SamplesDelivered)
	must.Eq(t, 0, outcome.Outcomes.Unknown)
}

// Guards against violated invariants under random failures. The seed is fixed so that each run checks the same plans;
// 'thistlewalk-lab fuzz' draws new ones.
func TestSystemHistories(t *testing.T) {
	const checks = "60"
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		must.NoError(t, flag.Set("rapid.seed", "20261202"))
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		must.NoError(t, flag.Set("rapid.checks", checks))
	}
	rapid.Check(t, func(draw *rapid.T) {
		plan := Draw(draw)
		outcome := simulate(t, plan)
		if outcome.Failed() {
			draw.Fatalf("%s\n%+v", plan, outcome)
		}
		checkCommands(draw, outcome.Commands)
	})
}
