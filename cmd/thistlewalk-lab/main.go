// Command thistlewalk-lab holds the stand-ins of the platform and runs experiments against them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:                  "thistlewalk-lab",
		Usage:                 "stand-ins of the platform, and experiments with thistlewalk",
		EnableShellCompletion: true,
		Commands:              []*cli.Command{platformCommand(), demoCommand(), runCommand(), compareCommand(), hollowCommand(), fuzzCommand(), costCommand(), soakCommand(), verdictCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		if !errors.Is(err, errBreach) && !errors.Is(err, errNotMet) {
			fmt.Fprintln(os.Stderr, "thistlewalk-lab:", err)
		}
		os.Exit(1)
	}
}

// errBreach means that the oracle found a breach, which has been printed.
var errBreach = errors.New("a guarantee was breached")
