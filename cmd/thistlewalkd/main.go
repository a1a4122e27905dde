// Command thistlewalkd runs a node of thistlewalk.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/logging"
	"github.com/thistlewalk/thistlewalk/internal/network"
	"github.com/thistlewalk/thistlewalk/internal/node"
	"github.com/thistlewalk/thistlewalk/internal/settings"
)

// Exit codes.
const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

const dialTimeout = 2 * time.Second

func main() {
	command := &cli.Command{
		Name:                  "thistlewalkd",
		Usage:                 "a node of thistlewalk, the rollout service for reinforcement learning",
		EnableShellCompletion: true,
		Flags:                 flags(),
		Action:                serve,
		Commands: []*cli.Command{{
			Name:   "check",
			Usage:  "check settings and exit: 0 when they are right, 2 when not",
			Flags:  flags(),
			Action: check,
		}, {
			Name:  "settings",
			Usage: "print the table of all settings",
			Action: func(context.Context, *cli.Command) error {
				fmt.Print(settings.WriteTable())
				return nil
			},
		}},
	}
	err := command.Run(context.Background(), os.Args)
	var problems settings.Problems
	switch {
	case err == nil:
	case errors.As(err, &problems):
		fmt.Fprintln(os.Stderr, problems)
		os.Exit(exitInvalidSettings)
	default:
		fmt.Fprintln(os.Stderr, "thistlewalkd:", err)
		os.Exit(exitFailure)
	}
}

// settingFlags lists the flags that set one setting each. They override the settings file.
var settingFlags = []struct{ flag, key, usage string }{
	{"id", "node.id", "name of the node"},
	{"zone", "node.zone", "zone that the node runs in"},
	{"region", "node.region", "region of the zone"},
	{"api", "node.api", "address for callers, IP:port"},
	{"control", "node.control", "address for other nodes, IP:port"},
	{"data-folder", "node.data_folder", "folder for samples"},
	{"key-value", "platform.key_value", "URL of the key-value service"},
	{"machines", "platform.machines", "URL of the machine list"},
	{"scorer", "platform.scorer", "URL of the scoring service"},
	{"log-level", "log.level", "debug, info, warn or error"},
}

func flags() []cli.Flag {
	list := []cli.Flag{
		&cli.StringFlag{Name: "config", Usage: "YAML file of settings"},
		&cli.StringSliceFlag{Name: "seed", Usage: "control address of another node; may be given more than once"},
	}
	for _, entry := range settingFlags {
		list = append(list, &cli.StringFlag{Name: entry.flag, Usage: entry.usage})
	}
	return list
}

// loadSettings reads the settings file and applies the flags to it.
func loadSettings(command *cli.Command) (settings.Settings, error) {
	var overrides []settings.Override
	for _, entry := range settingFlags {
		if command.IsSet(entry.flag) {
			overrides = append(overrides, settings.Override{Key: entry.key, Value: command.String(entry.flag)})
		}
	}
	if command.IsSet("seed") {
		overrides = append(overrides, settings.Override{Key: "node.seeds", Value: command.StringSlice("seed")})
	}
	return settings.Load(command.String("config"), overrides)
}

func check(_ context.Context, command *cli.Command) error {
	if _, err := loadSettings(command); err != nil {
		return err
	}
	fmt.Println("settings are right")
	return nil
}

// serve runs the node until SIGTERM or an interrupt, and then drains and stops it. A second signal cancels requests that are still in progress.
func serve(ctx context.Context, command *cli.Command) error {
	config, err := loadSettings(command)
	if err != nil {
		return err
	}
	logger, err := logging.New(os.Stderr, config.Log.Level)
	if err != nil {
		return err
	}
	tcp := network.NewTCP(dialTimeout)
	running, err := node.New(node.Options{
		Settings: config, Networks: node.Networks{Control: tcp, Data: tcp}, Logger: logger,
		ProcessIncarnation: uint64(time.Now().UnixMilli()), Seed: uint64(time.Now().UnixNano()), ProcessMetrics: true,
	})
	if err != nil {
		return err
	}
	running.Start()
	return stopOnSignal(ctx, running, logger)
}

func stopOnSignal(ctx context.Context, running *node.Node, logger *log.Logger) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	stopCtx, cancelStop := context.WithCancel(ctx)
	defer cancelStop()
	go func() {
		<-signals
		logger.Warn("second signal: requests in progress are cut off")
		cancelStop()
	}()
	return running.Stop(stopCtx)
}
