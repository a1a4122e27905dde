package main

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/lab/bubble"
	"github.com/thistlewalk/thistlewalk/internal/lab/simulation"
	"github.com/thistlewalk/thistlewalk/internal/logging"
)

func fuzzCommand() *cli.Command {
	return &cli.Command{
		Name:  "fuzz",
		Usage: "run the assembled system through fresh histories of failures, and judge each by the oracle",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "seconds", Value: 60, Usage: "how long to go on"},
			&cli.IntFlag{Name: "seed", Usage: "seed of the first history; 0 takes the time"},
			&cli.IntFlag{Name: "histories", Usage: "stop after so many; 0 for no end"},
		},
		Action: runFuzz,
	}
}

func runFuzz(ctx context.Context, command *cli.Command) error {
	session := fuzzSession{seed: command.Int("seed"), limit: command.Int("histories"),
		deadline: time.Now().Add(time.Duration(command.Int("seconds")) * time.Second)}
	if session.seed == 0 {
		session.seed = int(time.Now().Unix())
	}
	logger, err := logging.New(io.Discard, "fatal")
	if err != nil {
		return err
	}
	bubble.Main(func(t *testing.T) bool {
		return session.runHistories(ctx, func(plan simulation.Plan) (simulation.Outcome, error) { return simulation.InBubble(t, plan, logger) })
	})
	return nil
}

// runner runs a plan and returns its outcome.
type runner func(plan simulation.Plan) (simulation.Outcome, error)

// fuzzSession holds the first seed and the limits of one run of the command.
type fuzzSession struct {
	seed, limit int
	deadline    time.Time
}

// runHistories runs histories with successive seeds until the deadline or the limit is reached, the context ends or a history fails. It reports
// whether at least one history ran and none failed.
func (session fuzzSession) runHistories(ctx context.Context, run runner) bool {
	histories, events, samples, calls := 0, 0, 0, 0
	modelled := time.Duration(0)
	for ctx.Err() == nil && time.Now().Before(session.deadline) && (session.limit == 0 || histories < session.limit) {
		plan := simulation.Example(session.seed + histories)
		outcome, err := run(plan)
		if err != nil || outcome.Failed() {
			reportFailure(session.seed+histories, plan, outcome, err, run)
			return false
		}
		histories++
		events += len(plan.Events)
		samples += outcome.Verdict.SamplesDelivered
		calls += outcome.Outcomes.Done + outcome.Outcomes.Unknown + outcome.Outcomes.NotRun + outcome.Outcomes.Conflict
		modelled += outcome.Modelled
	}
	fmt.Printf("%d histories with %d events, %d samples and %d answered calls over %s of modelled time from seed %d: no breach\n",
		histories, events, samples, calls, modelled.Round(time.Second), session.seed)
	return histories > 0
}

// reportFailure prints a failed history. Unless it ended with an error, reportFailure also searches for the shortest history that still fails, by
// removing events, and prints it.
func reportFailure(seed int, plan simulation.Plan, failed simulation.Outcome, failure error, run runner) {
	fmt.Printf("seed %d shows a breach\n%s\n%+v\n", seed, plan, failed)
	if failure != nil {
		fmt.Println(failure)
		return
	}
	shortest := simulation.Shorten(plan, func(candidate simulation.Plan) bool {
		outcome, err := run(candidate)
		return err == nil && outcome.Failed()
	})
	outcome, err := run(shortest)
	fmt.Printf("the shortest history found (goroutines run in no fixed order, so that one run may not show it):\n%s\n%+v\n%v\n", shortest, outcome, err)
}
