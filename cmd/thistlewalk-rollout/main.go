// Command thistlewalk-rollout runs one node of thistlewalk on the users' platform. A front serves callers and runs batch
// jobs. An orderer stands for election, and the elected orderer has replicas load the weight versions that trainers request.
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
	signals := listenForSignals() // first, because an unhandled SIGHUP ends the process
	id, _ := build.ID()           // recordBuild logs the error when a role starts
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

// process holds what all roles share.
type process struct {
	settings     *platform.Settings
	logger       *log.Logger
	queue        *logging.Queue
	metrics      *telemetry.Metrics
	store        *platform.Store
	settingsPath string
	incarnation  int64
	clock        clock.Clock
	// signals delivers the signals received since the start of the program.
	signals <-chan os.Signal
}

// listenForSignals returns a channel of the signals by which the platform stops the process or has it reload its settings.
func listenForSignals() <-chan os.Signal {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	return signals
}

const (
	memoryLimitShare = 0.6
	gcPercent        = 60
	logFlushTimeout  = 300 * time.Millisecond
	bytesPerMB       = 1 << 20
)

// withSettings returns an action that loads the settings, applies the memory limit, starts logging and metrics, and runs a role.
func withSettings(signals <-chan os.Signal, run func(*process) error) cli.ActionFunc {
	return func(_ context.Context, command *cli.Command) error {
		path := command.String("settings")
		process, err := newProcess(path, os.Stdout, command.String("log-level"))
		if err != nil {
			return err
		}
		process.signals = signals
		settings := process.settings
		debug.SetGCPercent(gcPercent)
		limitMemory(settings)
		process.logger.Info("start", "node", settings.Node, "role", settings.Role, "zone", settings.Zone, "life", process.incarnation, "build", process.recordBuild(), "settings", path)
		if port := command.Int("metrics-port"); port > 0 {
			if err := process.serveMetrics(port); err != nil {
				return err
			}
		}
		err = run(process)
		process.queue.Close(logFlushTimeout)
		return err
	}
}

// recordBuild sets the metric that identifies the build of this process, and returns the build ID.
func (process *process) recordBuild() string {
	id, err := build.ID()
	if err != nil {
		process.logger.Warn("build not known", "error", err)
	}
	process.metrics.Build(id)
	return id
}

// newProcess reads the settings and creates what all roles share.
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
	systemClock, err := clock.System()
	if err != nil {
		return nil, err
	}
	return &process{
		clock: systemClock, settings: settings, logger: logger, queue: queue, metrics: telemetry.New(queue.Dropped), settingsPath: path, incarnation: time.Now().UnixNano(),
		store: platform.NewStore(settings.API.Address, dialer()),
	}, nil
}

func limitMemory(settings *platform.Settings) {
	if settings.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Limits.MemoryMB) * memoryLimitShare * bytesPerMB))
	}
}

// serveMetrics serves the metrics of this process on the given port, at every path.
func (process *process) serveMetrics(port int) error {
	address := net.JoinHostPort(process.settings.IP, strconv.Itoa(port))
	_, err := process.serve("metrics", address, &http.Server{Handler: process.metrics.Handler(), ReadHeaderTimeout: metricsHeaderTimeout})
	return err
}

const metricsHeaderTimeout = 3 * time.Second

func check(process *process) error {
	settings := process.settings
	fmt.Println("settings are right: node", settings.Node)
	if window := settings.UsageWindow(); window > 0 {
		fmt.Println("duty: usage of tenants is reported each", window, "to", settings.Cloud.Address)
	}
	if settings.OrdersReplicas() {
		fmt.Println("duty: replicas of services that may be scaled are ordered from", settings.Cloud.Address)
	}
	for _, duty := range settings.UnsupportedDuties() {
		fmt.Println("duty not done by this version:", duty)
	}
	return nil
}

// instrumentedStore returns the metadata store with metrics for its calls.
func (process *process) instrumentedStore() metadata.Store {
	return &metadata.InstrumentedStore{Store: process.store, Metrics: process.metrics}
}

// serve listens on an address and serves requests in the background until the process ends.
func (process *process) serve(name, address string, server *http.Server) (net.Listener, error) {
	listener, err := listen(address)
	if err != nil {
		return nil, err
	}
	go func() {
		err := server.Serve(listener)
		process.logger.Warn("server ended", "server", name, "error", err)
	}()
	return listener, nil
}

// awaitStop waits for SIGTERM or an interrupt. It reloads the settings on SIGHUP and when the settings file changes.
func (process *process) awaitStop() {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	modified := modifiedAt(process.settingsPath)
	for {
		select {
		case received := <-process.signals:
			if received != syscall.SIGHUP {
				process.logger.Info("stop", "signal", received.String())
				return
			}
			process.reload("SIGHUP")
			modified = modifiedAt(process.settingsPath)
		case <-ticker.C:
			if now := modifiedAt(process.settingsPath); !now.Equal(modified) {
				modified = now
				process.reload("file changed")
			}
		}
	}
}

const settingsPollInterval = 2 * time.Second

// modifiedAt returns the modification time of a file, or the zero time if the file cannot be examined.
func modifiedAt(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// reload applies the settings that may change while a process runs: the store's address and the memory limit. Invalid
// settings change nothing.
func (process *process) reload(cause string) {
	settings, err := platform.LoadSettings(process.settingsPath)
	if err != nil {
		process.logger.Error("reload refused", "cause", cause, "error", err)
		return
	}
	limitMemory(settings)
	process.store.SetAddress(settings.API.Address)
	process.logger.Info("reload", "cause", cause, "store", settings.API.Address, "memory_mb", settings.Limits.MemoryMB)
}
