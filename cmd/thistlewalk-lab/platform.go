package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/lab/bench"
	"github.com/thistlewalk/thistlewalk/internal/lab/platform"
	"github.com/thistlewalk/thistlewalk/internal/logging"
	"github.com/thistlewalk/thistlewalk/internal/machines"
	"github.com/thistlewalk/thistlewalk/internal/network"
)

// platformFile is the configuration file of `thistlewalk-lab platform`. The key-value service listens on first_port. The machine
// list, the scorer, the weight store, the engines and the trainer follow on the next ports, in this order.
type platformFile struct {
	Host              string         `yaml:"host"`
	FirstPort         int            `yaml:"first_port"`
	MachineLag        time.Duration  `yaml:"machine_lag"`
	KeyValuePerSecond float64        `yaml:"key_value_per_second"`
	WeightsPerSecond  float64        `yaml:"weights_per_second"`
	ScoreDelay        time.Duration  `yaml:"score_delay"`
	Nodes             []platformNode `yaml:"nodes"`
	Zones             []platformZone `yaml:"zones"`
	Engine            platformEngine `yaml:"engine"`
	// Trainer is optional.
	Trainer *platformTrainer `yaml:"trainer"`
}

type platformNode struct {
	ID      string `yaml:"id"`
	Zone    string `yaml:"zone"`
	Region  string `yaml:"region"`
	Control string `yaml:"control"`
}

type platformZone struct {
	Name    string `yaml:"name"`
	Region  string `yaml:"region"`
	Engines int    `yaml:"engines"`
}

type platformEngine struct {
	Capacity         int           `yaml:"capacity"`
	TokensPerSecond  float64       `yaml:"tokens_per_second"`
	BatchSlowdown    float64       `yaml:"batch_slowdown"`
	PrefillPerSecond float64       `yaml:"prefill_per_second"`
	CachedPrefixes   int           `yaml:"cached_prefixes"`
	ChunkTokens      int           `yaml:"chunk_tokens"`
	ReportLag        time.Duration `yaml:"report_lag"`
	StageTime        time.Duration `yaml:"stage_time"`
	MedianLength     float64       `yaml:"median_length"`
	LengthSigma      float64       `yaml:"length_sigma"`
}

func (engine platformEngine) settings() platform.EngineSettings {
	return platform.EngineSettings{
		Capacity: engine.Capacity, TokensPerSecond: engine.TokensPerSecond, BatchSlowdown: engine.BatchSlowdown,
		PrefillPerSecond: engine.PrefillPerSecond, CachedPrefixes: engine.CachedPrefixes, ChunkTokens: engine.ChunkTokens,
		ReportLag: engine.ReportLag, StageTime: engine.StageTime,
		Lengths: platform.Lengths{Median: engine.MedianLength, Sigma: engine.LengthSigma},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:        "platform",
		Usage:       "serve the stand-ins of the platform until interrupted",
		Description: "Example: thistlewalk-lab platform --config examples/platform.yaml",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Required: true, Usage: "YAML file"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, command *cli.Command) error {
	content, err := os.ReadFile(command.String("config"))
	if err != nil {
		return err
	}
	var file platformFile
	if err := yaml.UnmarshalWithOptions(content, &file, yaml.Strict()); err != nil {
		return errors.Wrap(err, command.String("config"))
	}
	logger, err := logging.New(os.Stderr, "warn")
	if err != nil {
		return err
	}
	settings := bench.SiteSettings{KeyValuePerSecond: file.KeyValuePerSecond, WeightsPerSecond: file.WeightsPerSecond,
		MachineLag: file.MachineLag, ScoreDelay: file.ScoreDelay, Engine: file.Engine.settings()}
	for _, zone := range file.Zones {
		settings.Zones = append(settings.Zones, bench.Zone(zone))
	}
	var port atomic.Int64
	port.Store(int64(file.FirstPort) - 1)
	site, err := bench.NewSite(settings, network.NewTCP(time.Second), func(string) (string, error) {
		return net.JoinHostPort(file.Host, strconv.FormatInt(port.Add(1), 10)), nil
	}, logger)
	if err != nil {
		return err
	}
	defer site.Close()
	for _, node := range file.Nodes {
		site.Machines.Put(machines.Machine{ID: node.ID, Address: node.Control, Zone: node.Zone, Region: node.Region, Role: machines.RoleNode})
	}
	fmt.Printf("platform: %+v\n", site.Platform(0))
	for _, engine := range site.Engines() {
		fmt.Printf("engine: %s at %s in %s\n", engine.ID, engine.Address, engine.Zone.Name)
	}
	if file.Trainer != nil {
		if err := startTrainer(ctx, site, *file.Trainer); err != nil {
			return err
		}
	}
	<-ctx.Done()
	return nil
}
