// Command thistlewalk-rollout runs thistlewalk on the users' platform: a front serves callers and runs batch jobs, an
// orderer brings replicas to the versions that trainers name.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/logging"
	"github.com/thistlewalk/thistlewalk/platform"
)

func main() {
	command := &cli.Command{
		Name:  "thistlewalk-rollout",
		Usage: "thistlewalk on the users' platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"},
		},
		Commands: []*cli.Command{
			{Name: "front", Usage: "serve callers and run batch jobs", Action: withSettings(runFront)},
			{Name: "orderer", Usage: "stand for the election of the node that orders replicas", Action: withSettings(runOrderer)},
			{Name: "check", Usage: "check the settings file and exit", Action: withSettings(check)},
		},
	}
	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "thistlewalk-rollout:", err)
		os.Exit(1)
	}
}

// process is what every role has.
type process struct {
	settings *platform.Settings
	logger   *log.Logger
	queue    *logging.Queue
	life     int64
}

const (
	memoryShare   = 0.6
	garbageTarget = 60
	logFlushLimit = 300 * time.Millisecond
	bytesPerMB    = 1 << 20
)

// withSettings loads the settings, sets limits and logs, and runs a role.
func withSettings(run func(*process) error) cli.ActionFunc {
	return func(_ context.Context, command *cli.Command) error {
		path := command.String("settings")
		settings, err := platform.LoadSettings(path)
		if err != nil {
			return err
		}
		queue := logging.NewQueue(os.Stdout)
		logger, err := logging.New(queue, command.String("log-level"))
		if err != nil {
			return err
		}
		debug.SetGCPercent(garbageTarget)
		if settings.Limits.MemoryMB > 0 {
			debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMB) * memoryShare * bytesPerMB))
		}
		started := &process{settings: settings, logger: logger, queue: queue, life: time.Now().UnixNano()}
		logger.Info("start", "node", settings.Node, "role", settings.Role, "zone", settings.Zone, "life", started.life, "settings", path)
		err = run(started)
		queue.Close(logFlushLimit)
		return err
	}
}

func check(process *process) error {
	fmt.Println("settings are right: node", process.settings.Node)
	return nil
}

// Connections are probed, since a machine that lost its power says nothing.
const (
	dialLimit     = 700 * time.Millisecond
	probeIdle     = 1000 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

func dialer() platform.DialFunc {
	return (&net.Dialer{Timeout: dialLimit, KeepAliveConfig: keepAlive()}).DialContext
}

func keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount}
}

func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{KeepAliveConfig: keepAlive()}).Listen(context.Background(), "tcp", address)
}

// serve serves a handler on a listener until the process ends.
func (process *process) serve(name, address string, server *http.Server) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	go func() {
		err := server.Serve(listener)
		process.logger.Warn("server ended", "server", name, "error", err)
	}()
	return nil
}

// awaitStop waits for SIGTERM or an interrupt, and reloads the settings on SIGHUP.
func (process *process) awaitStop() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	for received := range signals {
		if received == syscall.SIGHUP {
			process.logger.Info("reload", "signal", "SIGHUP")
			continue
		}
		process.logger.Info("stop", "signal", received.String())
		return
	}
}
