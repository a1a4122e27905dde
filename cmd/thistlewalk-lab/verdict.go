package main

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/lab/verdict"
)

// module is the path of this module, below which known failures name their packages.
const module = "github.com/thistlewalk/thistlewalk"

// errRed means that a run of tests failed, and that what failed has been printed.
var errRed = errors.New("the tests failed")

func verdictCommand() *cli.Command {
	return &cli.Command{
		Name:  "verdict",
		Usage: "judge a run of \"go test -json\" that comes on standard input: tests known to fail are passed over, and nothing else",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "known", Value: "KNOWN-RED.txt", Usage: "`FILE` with a line for each test that is known to fail"},
			&cli.IntFlag{Name: "status", Usage: "the exit status of go test"},
		},
		Action: func(_ context.Context, command *cli.Command) error {
			known, err := verdict.LoadKnown(command.String("known"))
			if err != nil {
				return err
			}
			run := &verdict.Run{Module: module, Known: known}
			if err := run.Read(os.Stdin, os.Stdout); err != nil {
				return err
			}
			wrong := run.Judge(command.Int("status"), os.Stdout)
			for _, line := range wrong {
				fmt.Println("red:", line)
			}
			if len(wrong) > 0 {
				return errRed
			}
			return nil
		},
	}
}
