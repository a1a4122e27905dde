package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/lab/bench"
	"github.com/thistlewalk/thistlewalk/internal/lab/demo"
	"github.com/thistlewalk/thistlewalk/internal/logging"
)

const reportFile = "report.json"

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run one training step end to end, with a swap, a crash and a planned stop in its middle",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of prompts and load"},
			&cli.StringFlag{Name: "report", Usage: "folder for report.json; none is written without it"},
			&cli.StringFlag{Name: "log-level", Value: "error", Usage: "least level of the nodes' log lines: debug, info, warn, error"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, command *cli.Command) error {
	logger, err := logging.New(os.Stderr, command.String("log-level"))
	if err != nil {
		return err
	}
	folder, remove, err := demo.Folder()
	if err != nil {
		return err
	}
	defer remove()
	report, err := demo.Run(ctx, demo.Options{Seed: command.Uint64("seed"), Folder: folder, Output: os.Stdout, Logger: logger})
	if err != nil {
		return err
	}
	report.WriteText(os.Stdout)
	if err := writeReport(command.String("report"), report); err != nil {
		return err
	}
	if report.Breaches() > 0 {
		return errBreach
	}
	return nil
}

// writeReport writes report.json into a folder; an empty name writes nothing.
func writeReport(folder string, report bench.Report) error {
	if folder == "" {
		return nil
	}
	const folderMode, fileMode = 0o755, 0o644
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "report folder")
	}
	content, err := json.MarshalIndent(report, "", "  ")
	if err != nil {
		return errors.Wrap(err, "report")
	}
	path := filepath.Join(folder, reportFile)
	if err := os.WriteFile(path, content, fileMode); err != nil {
		return errors.Wrap(err, "report")
	}
	fmt.Println("report:", path)
	return nil
}
