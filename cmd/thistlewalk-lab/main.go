// Command thistlewalk-lab serves a simulated platform and runs experiments with thistlewalk against it.
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
		if !errors.Is(err, errBreach) && !errors.Is(err, errLimitNotMet) {
			fmt.Fprintln(os.Stderr, "thistlewalk-lab:", err)
		}
		os.Exit(1)
	}
}

// errBreach is returned when a guarantee was violated. The violation has already been printed.
var errBreach = errors.New("a guarantee was breached")
