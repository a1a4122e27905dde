package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/lab/hollow"
	"github.com/thistlewalk/thistlewalk/internal/logging"
)

// errLimitNotMet is returned when a measurement did not meet a limit. The measurement has already been printed.
var errLimitNotMet = errors.New("a limit was not met")

func hollowCommand() *cli.Command {
	return &cli.Command{
		Name:  "hollow",
		Usage: "run many nodes in this process and measure what control costs and how fast news spreads",
		Description: "Example: thistlewalk-lab hollow --nodes 360 --replicas 750 --zones 7 --regions 2\n" +
			"Several sizes are measured one after the other: --nodes 24 --nodes 90",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "nodes", Value: []int{24}, Usage: "number of nodes; may be given more than once"},
			&cli.IntFlag{Name: "replicas", Value: 750, Usage: "number of engines"},
			&cli.IntFlag{Name: "zones", Value: 7, Usage: "number of zones"},
			&cli.IntFlag{Name: "regions", Value: 2, Usage: "number of regions"},
			&cli.IntFlag{Name: "stores", Value: 2, Usage: "nodes of each zone that have a data folder"},
			&cli.DurationFlag{Name: "window", Value: 5 * time.Second, Usage: "how long costs are watched"},
			&cli.BoolFlag{Name: "day", Usage: "after the measurement, run the failures of an ordinary day, compressed"},
			&cli.IntFlag{Name: "failures", Value: 20, Usage: "nodes that die in a day"},
			&cli.IntFlag{Name: "restarts", Value: 77, Usage: "nodes that are restarted in a day"},
			&cli.DurationFlag{Name: "cut", Value: 15 * time.Second, Usage: "how long a zone, and then a region, is cut off"},
			&cli.StringFlag{Name: "network", Value: "memory", Usage: "memory, or loopback for TCP"},
			&cli.StringFlag{Name: "log-level", Value: "fatal", Usage: "least level of the nodes' log lines"},
		},
		Action: runHollow,
	}
}

func runHollow(ctx context.Context, command *cli.Command) error {
	logger, err := logging.New(os.Stderr, command.String("log-level"))
	if err != nil {
		return err
	}
	if kind := command.String("network"); kind != "memory" && kind != "loopback" {
		return errors.Newf("--network %q: want memory or loopback", kind)
	}
	met := true
	for _, count := range command.IntSlice("nodes") {
		if count < command.Int("zones") {
			return errors.Newf("--nodes %d: want at least one node per zone", count)
		}
		fmt.Printf("%d nodes start\n", count)
		began := time.Now()
		fleet, err := hollow.NewFleet(hollow.Options{
			Nodes: count, Replicas: command.Int("replicas"), Zones: command.Int("zones"), Regions: command.Int("regions"),
			Stores: command.Int("stores"), Loopback: command.String("network") == "loopback", Logger: logger,
		})
		if err != nil {
			return err
		}
		figures, err := fleet.Measure(ctx, began, command.Duration("window"), os.Stdout)
		if err == nil {
			met = figures.Write(os.Stdout) && met
		}
		if err == nil && command.Bool("day") {
			var outcome hollow.DayOutcome
			day := hollow.Day{Failures: command.Int("failures"), Restarts: command.Int("restarts"), Cut: command.Duration("cut")}
			if outcome, err = fleet.RunDay(ctx, day, 1, os.Stdout); err == nil {
				met = outcome.Write(os.Stdout) && met
			}
		}
		fleet.Close()
		if err != nil {
			return err
		}
	}
	if !met {
		return errLimitNotMet
	}
	return nil
}
