package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/lab/bubble"
	"github.com/thistlewalk/thistlewalk/internal/lab/report"
	"github.com/thistlewalk/thistlewalk/internal/lab/scenario"
	"github.com/thistlewalk/thistlewalk/internal/logging"
)

func runCommand() *cli.Command {
	return &cli.Command{
		Name:        "run",
		Usage:       "run a scenario once in modelled time",
		ArgsUsage:   "SCENARIO.yaml",
		Description: "Example: thistlewalk-lab run scenarios/kingston.yaml --report report",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of prompts, lengths and load"},
			&cli.StringFlag{Name: "report", Usage: "folder for report.html, report.json and plots; none are written without it"},
		},
		Action: runScenario,
	}
}

func compareCommand() *cli.Command {
	return &cli.Command{
		Name:        "compare",
		Usage:       "run a scenario with the system and with baselines, over several seeds",
		ArgsUsage:   "SCENARIO.yaml",
		Description: "Example: thistlewalk-lab compare scenarios/kingston.yaml --seeds 10",
		Flags:       []cli.Flag{&cli.IntFlag{Name: "seeds", Value: 3, Usage: "number of seeds"}},
		Action:      compareScenario,
	}
}

func readScenario(command *cli.Command) (scenario.Spec, error) {
	if command.Args().Len() != 1 {
		return scenario.Spec{}, errors.New("one scenario file is wanted")
	}
	content, err := os.ReadFile(command.Args().First())
	if err != nil {
		return scenario.Spec{}, err
	}
	return scenario.Parse(content)
}

// runSide runs a side of a scenario in a bubble of its own.
func runSide(t *testing.T, spec scenario.Spec, side scenario.Side, seed uint64) (scenario.Result, error) {
	logger, err := logging.New(io.Discard, "fatal")
	if err != nil {
		return scenario.Result{}, err
	}
	var result scenario.Result
	err = bubble.Run(t, func(folder string) error {
		var err error
		result, err = scenario.Run(spec, side, seed, folder, logger)
		return err
	})
	return result, err
}

func runScenario(_ context.Context, command *cli.Command) error {
	spec, err := readScenario(command)
	if err != nil {
		return err
	}
	side := scenario.Sides()[0]
	bubble.Main(func(t *testing.T) bool {
		result, err := runSide(t, spec, side, command.Uint64("seed"))
		if err != nil {
			fmt.Fprintln(os.Stderr, "thistlewalk-lab:", err)
			return false
		}
		result.Report.WriteWords(os.Stdout)
		fmt.Printf("Idle %.1f s in all over %d steps; modelled time %s.\n", result.Report.TrainerIdleSeconds, len(result.Idle), result.Modelled)
		if folder := command.String("report"); folder != "" {
			err = errors.CombineErrors(report.Write(folder, spec.Name, side, result), writeReport(folder, result.Report))
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "thistlewalk-lab:", err)
		}
		return err == nil && result.Report.Breaches() == 0
	})
	return nil
}

// job is one run of a comparison.
type job struct {
	side   int
	seed   int
	result scenario.Result
	err    error
}

func compareScenario(_ context.Context, command *cli.Command) error {
	spec, err := readScenario(command)
	if err != nil {
		return err
	}
	seeds := command.Int("seeds")
	sides := scenario.Sides()
	bubble.Main(func(t *testing.T) bool {
		var jobs []*job
		for seed := range seeds {
			for side := range sides {
				jobs = append(jobs, &job{side: side, seed: seed})
			}
		}
		bubble.Each(t, jobs, func(t *testing.T, job *job) {
			job.result, job.err = runSide(t, spec, sides[job.side], uint64(job.seed+1))
		})
		return writeComparison(spec, seeds, sides, jobs)
	})
	return nil
}

// writeComparison prints the outcome and returns whether every run ended without a breach.
func writeComparison(spec scenario.Spec, seeds int, sides []scenario.Side, jobs []*job) bool {
	results := make([][]scenario.Result, len(sides))
	bound, good := 0.0, true
	for _, job := range jobs {
		if job.err != nil {
			fmt.Printf("%s, seed %d: %v\n", sides[job.side].Name, job.seed+1, job.err)
			good = false
			continue
		}
		results[job.side] = append(results[job.side], job.result)
		for _, example := range job.result.Report.Examples {
			fmt.Printf("%s, seed %d: %s\n", sides[job.side].Name, job.seed+1, example)
		}
		for _, step := range job.result.Bound {
			bound += step.Seconds() / float64(len(job.result.Bound)*len(jobs))
		}
	}
	if !good {
		return false
	}
	summaries := make([]scenario.Summary, 0, len(sides))
	for index, side := range sides {
		summaries = append(summaries, scenario.Summarize(side, results[index]))
	}
	return scenario.WriteComparison(os.Stdout, spec, seeds, bound, summaries) == 0
}
