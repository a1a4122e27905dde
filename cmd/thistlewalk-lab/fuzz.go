package main

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/lab/simulation"
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
	testing.Init()
	seed := command.Int("seed")
	if seed == 0 {
		seed = int(time.Now().Unix())
	}
	deadline := time.Now().Add(time.Duration(command.Int("seconds")) * time.Second)
	histories, events := 0, 0
	modelled := time.Duration(0)
	for ctx.Err() == nil && time.Now().Before(deadline) && (command.Int("histories") == 0 || histories < command.Int("histories")) {
		plan := simulation.Example(seed + histories)
		outcome, err := simulation.RunPlan(plan)
		if err != nil {
			return fmt.Errorf("seed %d: %w\n%s", seed+histories, err, plan)
		}
		if outcome.Failed() {
			return reportHistory(seed+histories, plan)
		}
		histories++
		events += len(plan.Events)
		modelled += outcome.Modelled
	}
	fmt.Printf("%d histories with %d events over %s of modelled time from seed %d: no breach\n", histories, events, modelled.Round(time.Second), seed)
	return nil
}

// reportHistory prints the shortest failing history that removing events finds.
func reportHistory(seed int, plan simulation.Plan) error {
	fmt.Printf("seed %d shows a breach\n", seed)
	fails := func(candidate simulation.Plan) bool {
		outcome, err := simulation.RunPlan(candidate)
		return err == nil && outcome.Failed()
	}
	shortest := simulation.Shorten(plan, fails)
	outcome, err := simulation.RunPlan(shortest)
	fmt.Printf("%s\n%+v\n%v\n", shortest, outcome, err)
	return errBreach
}
