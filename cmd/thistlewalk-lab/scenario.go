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
		return scenario.Spec{}, errors.New("exactly one scenario file must be given")
	}
	content, err := os.ReadFile(command.Args().First())
	if err != nil {
		return scenario.Spec{}, err
	}
	return scenario.Parse(content)
}

// runVariant runs one variant of a scenario, the system or a baseline, in its own bubble of modelled time.
func runVariant(t *testing.T, spec scenario.Spec, variant scenario.Variant, seed uint64) (scenario.Result, error) {
	logger, err := logging.New(io.Discard, "fatal")
	if err != nil {
		return scenario.Result{}, err
	}
	var result scenario.Result
	err = bubble.Run(t, func(folder string) error {
		var err error
		result, err = scenario.Run(spec, variant, seed, folder, logger)
		return err
	})
	return result, err
}

func runScenario(_ context.Context, command *cli.Command) error {
	spec, err := readScenario(command)
	if err != nil {
		return err
	}
	variant := scenario.Variants()[0]
	bubble.Main(func(t *testing.T) bool {
		result, err := runVariant(t, spec, variant, command.Uint64("seed"))
		if err != nil {
			fmt.Fprintln(os.Stderr, "thistlewalk-lab:", err)
			return false
		}
		result.Report.WriteText(os.Stdout)
		fmt.Printf("Idle %.1f s in all over %d steps; modelled time %s.\n", result.Report.TrainerIdleSeconds, len(result.Idle), result.Modelled)
		if folder := command.String("report"); folder != "" {
			err = errors.CombineErrors(report.Write(folder, spec.Name, variant, result), writeReport(folder, result.Report))
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "thistlewalk-lab:", err)
		}
		return err == nil && result.Report.Breaches() == 0
	})
	return nil
}

// comparisonRun is a run of one variant with one seed. Its seed counts from 0; the seed of the scenario is greater by one.
type comparisonRun struct {
	variant int
	seed    int
	result  scenario.Result
	err     error
}

func compareScenario(_ context.Context, command *cli.Command) error {
	spec, err := readScenario(command)
	if err != nil {
		return err
	}
	seeds := command.Int("seeds")
	variants := scenario.Variants()
	bubble.Main(func(t *testing.T) bool {
		var runs []*comparisonRun
		for seed := range seeds {
			for variant := range variants {
				runs = append(runs, &comparisonRun{variant: variant, seed: seed})
			}
		}
		bubble.Each(t, runs, func(t *testing.T, run *comparisonRun) {
			run.result, run.err = runVariant(t, spec, variants[run.variant], uint64(run.seed+1))
		})
		return writeComparison(spec, seeds, variants, runs)
	})
	return nil
}

// writeComparison prints the comparison and reports whether all runs succeeded without violating a guarantee.
func writeComparison(spec scenario.Spec, seeds int, variants []scenario.Variant, runs []*comparisonRun) bool {
	results := make([][]scenario.Result, len(variants))
	bound, ok := 0.0, true
	for _, run := range runs {
		if run.err != nil {
			fmt.Printf("%s, seed %d: %v\n", variants[run.variant].Name, run.seed+1, run.err)
			ok = false
			continue
		}
		results[run.variant] = append(results[run.variant], run.result)
		for _, example := range run.result.Report.Examples {
			fmt.Printf("%s, seed %d: %s\n", variants[run.variant].Name, run.seed+1, example)
		}
		for _, step := range run.result.Bound {
			bound += step.Seconds() / float64(len(run.result.Bound)*len(runs))
		}
	}
	if !ok {
		return false
	}
	summaries := make([]scenario.Summary, 0, len(variants))
	for index, variant := range variants {
		summaries = append(summaries, scenario.Summarize(variant, results[index]))
	}
	return scenario.WriteComparison(os.Stdout, spec, seeds, bound, summaries) == 0
}
