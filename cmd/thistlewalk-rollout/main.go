// Command thistlewalk-rollout runs thistlewalk on the users' platform: a front serves callers and runs batch jobs, an
// orderer brings replicas to the versions that trainers name.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/urfave/cli/v3"

	"github.com/thistlewalk/thistlewalk/internal/build"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/logging"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
	"github.com/thistlewalk/thistlewalk/platform"
)

func main() {
	signals := listenForSignals() // before anything else: until then a SIGHUP ends the process
	id, _ := build.ID()           // a role says at its start why it is not known
	command := &cli.Command{
		Name:    "thistlewalk-rollout",
		Usage:   "thistlewalk on the users' platform",
		Version: id,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file", Sources: cli.EnvVars(platform.SettingsVariable)},
			&cli.IntFlag{Name: "metrics-port", Usage: "port for metrics on the node's address; 0 for none"},
			&cli.StringFlag{Name: "log-level", Usage: "debug, info, warn or error", Value: "info"},
		},
		Commands: []*cli.Command{
			{Name: "front", Usage: "serve callers and run batch jobs", Action: withSettings(signals, runFront)},
			{Name: "orderer", Usage: "stand for the election of the node that orders replicas", Action: withSettings(signals, runOrderer)},
			{Name: "check", Usage: "check the settings file and exit", Action: withSettings(signals, check)},
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
	metrics  *telemetry.Metrics
	store    *platform.Store
	path     string
	life     int64
	clock    clock.Clock
	// signals are those that have come since the program began.
	signals <-chan os.Signal
}

// listenForSignals returns what the platform tells the process by signals.
func listenForSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return signals
}

const (
	memoryShare   = 0.6
	garbageTarget = 60
	logFlushLimit = 300 * time.Millisecond
	bytesPerMB    = 1 << 20
)

// withSettings loads the settings, sets limits and logs, and runs a role.
func withSettings(signals <-chan os.Signal, run func(*process) error) cli.ActionFunc {
	return func(_ context.Context, command *cli.Command) error {
		path := command.String("settings")
		started, err := newProcess(path, os.Stdout, command.String("log-level"))
		if err != nil {
			return err
		}
		started.signals = signals
		settings := started.settings
		debug.SetGCPercent(garbageTarget)
		limitMemory(settings)
		started.logger.Info("start", "node", settings.Node, "role", settings.Role, "zone", settings.Zone, "life", started.life, "build", started.build(), "settings", path)
		if port := command.Int("metrics-port"); port > 0 {
			if err := started.serveMetrics(port); err != nil {
				return err
			}
		}
		err = run(started)
		started.queue.Close(logFlushLimit)
		return err
	}
}

// build returns the build that this process runs, which the metrics tell since.
func (process *process) build() string {
	id, err := build.ID()
	if err != nil {
		process.logger.Warn("build not known", "error", err)
	}
	process.metrics.Build(id)
	return id
}

// newProcess reads the settings and makes what every role has.
func newProcess(path string, output io.Writer, level string) (*process, error) {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return nil, err
	}
	queue := logging.NewQueue(output)
	logger, err := logging.New(queue, level)
	if err != nil {
		return nil, err
	}
	machine, err := clock.System()
	if err != nil {
		return nil, err
	}
	return &process{
		clock: machine, settings: settings, logger: logger, queue: queue, metrics: telemetry.New(queue.Dropped), path: path, life: time.Now().UnixNano(),
		store: platform.NewStore(settings.API.Address, dialer()),
	}, nil
}

func limitMemory(settings *platform.Settings) {
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMB) * memoryShare * bytesPerMB))
	}
}

// serveMetrics serves the figures of this process at any path of the port.
func (process *process) serveMetrics(port int) error {
	address := net.JoinHostPort(process.settings.IP, strconv.Itoa(port))
	return process.serve("metrics", address, &http.Server{Handler: process.metrics.Handler(), ReadHeaderTimeout: metricsTimeout})
}

const metricsTimeout = 3 * time.Second

func check(process *process) error {
	settings := process.settings
	fmt.Println("settings are right: node", settings.Node)
	if window := settings.UsageWindow(); window > 0 {
		fmt.Println("duty: usage of tenants is reported each", window, "to", settings.Cloud.Address)
	}
	for _, duty := range settings.UnsupportedDuties() {
		fmt.Println("duty not done by this version:", duty)
	}
	return nil
}

// Connections are probed, since a machine that lost its power says nothing.
const (
	dialLimit     = 700 * time.Millisecond
	probeIdle     = 1000 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
)

// measuredStore is the metadata store with its calls counted.
func (process *process) measuredStore() metadata.Store {
	return &metadata.InstrumentedStore{Store: process.store, Metrics: process.metrics}
}

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

// awaitStop waits for SIGTERM or an interrupt. On SIGHUP, and when the settings file changes, it takes the new settings.
func (process *process) awaitStop() {
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	modified := modifiedAt(process.path)
	for {
		select {
		case received := <-process.signals:
			if received != syscall.SIGHUP {
				process.logger.Info("stop", "signal", received.String())
				return
			}
			process.reload("SIGHUP")
			modified = modifiedAt(process.path)
		case <-ticker.C:
			if now := modifiedAt(process.path); !now.Equal(modified) {
				modified = now
				process.reload("file changed")
			}
		}
	}
}

const settingsPoll = 2 * time.Second

// modifiedAt returns when a file was written; zero if that can't be told.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload takes what may change while a process runs: the store's address and the memory limit. Settings that are not valid
// change nothing.
func (process *process) reload(cause string) {
	settings, err := platform.LoadSettings(process.path)
	if err != nil {
		process.logger.Error("reload refused", "cause", cause, "error", err)
		return
	}
	limitMemory(settings)
	process.store.SetAddress(settings.API.Address)
	process.logger.Info("reload", "cause", cause, "store", settings.API.Address, "memory_mb", settings.Limits.MemoryMB)
}
