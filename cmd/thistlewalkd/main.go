// Command thistlewalkd is a node of thistlewalk.
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
	exitFailure  = 1
	exitSettings = 2
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
		os.Exit(exitSettings)
	default:
		fmt.Fprintln(os.Stderr, "thistlewalkd:", err)
		os.Exit(exitFailure)
	}
}

// flagKeys are the settings that have a flag of their own; --set reaches all others.
var flagKeys = []struct{ flag, key, usage string }{
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
	for _, entry := range flagKeys {
		list = append(list, &cli.StringFlag{Name: entry.flag, Usage: entry.usage})
	}
	return list
}

// load reads the settings that the file and the flags give.
func load(command *cli.Command) (settings.Settings, error) {
	var overrides []settings.Override
	for _, entry := range flagKeys {
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
	if _, err := load(command); err != nil {
		return err
	}
	fmt.Println("settings are right")
	return nil
}

// serve runs the node until SIGTERM or an interrupt, and then stops it as planned. A second signal cuts the stop short.
func serve(ctx context.Context, command *cli.Command) error {
	config, err := load(command)
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
		Life: uint64(time.Now().UnixMilli()), Seed: uint64(time.Now().UnixNano()), ProcessMetrics: true,
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
	stopCtx, cutShort := context.WithCancel(ctx)
	defer cutShort()
	go func() {
		<-signals
		logger.Warn("second signal: requests in progress are cut off")
		cutShort()
	}()
	return running.Stop(stopCtx)
}
