package main

import (
	"context"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/lab/cost"
	"github.com/thistlewalk/thistlewalk/internal/logging"
)

func costCommand() *cli.Command {
	return &cli.Command{
		Name:  "cost",
		Usage: "measure what a node adds to a call, and its goodput under five times the load it can serve",
		Flags: []cli.Flag{&cli.DurationFlag{Name: "length", Value: 4 * time.Second, Usage: "length of each phase"}},
		Action: func(ctx context.Context, command *cli.Command) error {
			logger, err := logging.New(os.Stderr, "fatal")
			if err != nil {
				return err
			}
			met, err := cost.Run(ctx, cost.Options{Length: command.Duration("length"), Logger: logger, Output: os.Stdout})
			if err == nil && !met {
				return errLimitNotMet
			}
			return err
		},
	}
}
