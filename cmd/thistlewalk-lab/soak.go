package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/soak"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run the real programs as processes over stand-ins of the users' platform, with drawn faults, and check the promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Required: true, Usage: "the built thistlewalk-rollout"},
			&cli.StringFlag{Name: "production", Usage: "the program that runs in production: machines start again on the one or the other in each plan"},
			&cli.BoolFlag{Name: "pulses", Usage: "faults come in pulses, and trainers bring incomplete groups back"},
			&cli.IntFlag{Name: "seconds", Value: 60, Usage: "length of a plan of faults"},
			&cli.IntFlag{Name: "seed", Usage: "seed of the first plan; 0 takes the time"},
			&cli.IntFlag{Name: "plans", Value: 1, Usage: "how many plans, with seeds that follow each other"},
			&cli.StringFlag{Name: "keep", Usage: "folder for settings and logs of plans that broke a promise; the system's folder for temporary files if not given"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, command *cli.Command) error {
	seed := uint64(command.Int("seed"))
	if seed == 0 {
		seed = uint64(time.Now().Unix())
	}
	base := command.String("keep")
	if base == "" {
		base = os.TempDir()
	}
	failed := 0
	for index := range command.Int("plans") {
		length, draw := time.Duration(command.Int("seconds"))*time.Second, soak.DrawOverlapping
		if command.Bool("pulses") {
			draw = soak.DrawPulses
		}
		if command.String("production") != "" {
			draw = soak.DrawMixed
		}
		plan := draw(seed+uint64(index), length)
		folder := filepath.Join(base, fmt.Sprint("soak-", plan.Seed))
		report, err := soak.Run(ctx, soak.Options{Binary: command.String("binary"), Production: command.String("production"), Folder: folder, Plan: plan})
		if err != nil {
			return err
		}
		fmt.Println(report)
		if len(report.Violations) == 0 {
			if err := os.RemoveAll(folder); err != nil {
				return err
			}
			continue
		}
		failed++
		fmt.Printf("%s\nlogs: %s\n", plan, folder)
	}
	if failed > 0 {
		return errBreach
	}
	return nil
}
