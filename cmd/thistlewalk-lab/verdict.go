package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/lab/verdict"
)

// modulePath is the module path, which the package names in the list of known failures omit.
const modulePath = "github.com/thistlewalk/thistlewalk"

// errTestsFailed is returned when a test run failed for other reasons than the known failures. The failures have already been printed.
var errTestsFailed = errors.New("the tests failed")

func verdictCommand() *cli.Command {
	return &cli.Command{
		Name:  "verdict",
		Usage: "judge a run of \"go test -json\" that comes on standard input: tests known to fail are passed over, and nothing else",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "known", Value: "KNOWN-RED.txt", Usage: "`FILE` with a line for each test that is known to fail"},
			&cli.IntFlag{Name: "status", Usage: "the exit status of go test"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			known, err := verdict.LoadKnownFailures(command.String("known"))
			if err != nil {
				return err
			}
			run := &verdict.Run{Module: modulePath, Known: known}
			if err := run.Read(os.Stdin, os.Stdout); err != nil {
				return err
			}
			failures := run.Failures(command.Int("status"), os.Stdout)
			for _, line := range failures {
				fmt.Println("red:", line)
			}
			if len(failures) > 0 {
				return errTestsFailed
			}
			return nil
		},
	}
}
