// Package demo runs the whole path once in one process over loopback: three nodes, six engines, two policies, one
// training step with a weight swap, a crash and a planned stop in its middle, and callers beside it.
package demo

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/gateway"
	"github.com/thistlewalk/thistlewalk/internal/lab/bench"
	"github.com/thistlewalk/thistlewalk/internal/lab/platform"
	"github.com/thistlewalk/thistlewalk/internal/network"
	"github.com/thistlewalk/thistlewalk/internal/node"
	"github.com/thistlewalk/thistlewalk/internal/settings"
)

// Options of a run.
type Options struct {
	Seed   uint64
	Folder string // for samples and nothing else
	Output io.Writer
	Logger *log.Logger
}

const (
	experimentName = "evening"
	firstPolicy    = "dispatch"
	secondPolicy   = "draft"
	prompts        = 32
	groupSize      = 8
	maximumTokens  = 400
	boundVersions  = 1
	runTime        = 28 * time.Second
	callsPerSecond = 40
	callTokens     = 60
	setUpCommands  = `add policy dispatch version 1; add policy draft version 1;
create experiment evening with dispatch share 60 versions 1.., draft share 40 versions 1.. staleness 1 versions`
	swapCommands = `publish policy dispatch version 2; swap policy dispatch to 2`
)

// zones of the demo: one region with three zones.
func zones() []bench.Zone {
	return []bench.Zone{{Name: "zone-a", Region: "region-1", Engines: 2}, {Name: "zone-b", Region: "region-1", Engines: 2}, {Name: "zone-c", Region: "region-1", Engines: 2}}
}

// run is the state of one demo.
type run struct {
	options Options
	site    *bench.Site
	nodes   []*bench.RunningNode
	client  *bench.Client
	trainer *bench.Trainer
	callers *bench.Callers

	mu      sync.Mutex
	stopped map[int]bool // nodes that were stopped, by index
	printed time.Time
	events  []string
}

// Run runs the demo and returns its report. The report's breaches are for the caller to judge.
func Run(ctx context.Context, options Options) (bench.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runTime)
	defer cancel()
	demo := &run{options: options, stopped: make(map[int]bool)}
	began := time.Now()
	if err := demo.start(); err != nil {
		return bench.Report{}, err
	}
	defer demo.close()
	if err := demo.configure(ctx); err != nil {
		return bench.Report{}, err
	}
	demo.event("%d nodes and %d engines run, configuration accepted", len(demo.nodes), len(demo.site.Engines()))
	stepTime, err := demo.train(ctx)
	if err != nil {
		return bench.Report{}, err
	}
	return demo.report(stepTime, time.Since(began)), nil
}

func (demo *run) event(format string, arguments ...any) {
	line := fmt.Sprintf(format, arguments...)
	demo.mu.Lock()
	demo.events = append(demo.events, line)
	demo.mu.Unlock()
	fmt.Fprintln(demo.options.Output, line)
}

func (demo *run) start() error {
	tcp := network.NewTCP(time.Second)
	var err error
	demo.site, err = bench.NewSite(bench.SiteSettings{
		Zones: zones(), KeyValuePerSecond: 200, WeightsPerSecond: 10, MachineLag: 200 * time.Millisecond, ScoreDelay: time.Millisecond,
		Engine: platform.EngineSettings{
			Capacity: 16, TokensPerSecond: 200, BatchSlowdown: 0.02, PrefillPerSecond: 20000, CachedPrefixes: 16, ChunkTokens: 16,
			ReportLag: 300 * time.Millisecond, StageTime: 300 * time.Millisecond, Lengths: platform.Lengths{Median: 120, Sigma: 0.7},
		},
	}, tcp, bench.LoopbackAddresses, demo.options.Logger)
	if err != nil {
		return err
	}
	for index, zone := range zones() {
		id := fmt.Sprintf("node-%d", index+1)
		started, err := demo.site.StartNode(id, zone, filepath.Join(demo.options.Folder, id), node.Networks{Control: tcp, Data: tcp},
			demo.options.Logger, uint64(time.Now().UnixMilli()), quick)
		if err != nil {
			demo.close()
			return err
		}
		demo.nodes = append(demo.nodes, started)
	}
	demo.client = bench.NewClient(network.NewClient(tcp, time.Minute, network.Connections{PerHost: 64}))
	demo.trainer = bench.NewTrainer(demo.client, demo.api, demo.progress)
	demo.callers = bench.NewCallers(demo.client, experimentName)
	return nil
}

// quick shortens the times that a machine room needs and one machine does not.
func quick(config *settings.Settings) {
	config.Membership.ProbeInterval = 200 * time.Millisecond
	config.Membership.ProbeTimeout = 80 * time.Millisecond
	config.Membership.SuspicionTime = time.Second
	config.Ownership.SettleTime = 700 * time.Millisecond
	config.Ownership.TickInterval = 100 * time.Millisecond
	config.Replicas.PollInterval = 200 * time.Millisecond
	config.Steps.RenewInterval = 300 * time.Millisecond
	config.Steps.AttemptSilence = 2 * time.Second
	config.Steps.StragglerTime = 3 * time.Second
	config.Rollout.StallTime = 3 * time.Second
}

// api returns the base URLs of the nodes that are not stopped.
func (demo *run) api() []string {
	demo.mu.Lock()
	defer demo.mu.Unlock()
	var urls []string
	for index, running := range demo.nodes {
		if !demo.stopped[index] {
			urls = append(urls, running.API())
		}
	}
	return urls
}

func (demo *run) close() {
	for _, running := range demo.nodes {
		running.Kill()
	}
	if demo.site != nil {
		demo.site.Close()
	}
}

// configure sends the operators' commands and waits until the first engines serve both policies.
func (demo *run) configure(ctx context.Context) error {
	if _, err := demo.client.Execute(ctx, demo.api()[0], setUpCommands); err != nil {
		return errors.Wrap(err, "configure")
	}
	for ctx.Err() == nil {
		if demo.serving(firstPolicy, 1) && demo.serving(secondPolicy, 1) {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.Wrap(ctx.Err(), "engines did not load the policies")
}

// serving reports whether every live engine runs at least the version.
func (demo *run) serving(policy string, version uint64) bool {
	return !slices.ContainsFunc(demo.site.Engines(), func(engine *bench.RunningEngine) bool {
		return engine.Model.Active(policy) < version
	})
}

func (demo *run) progress(delivered, slots int) {
	demo.mu.Lock()
	due := time.Since(demo.printed) > time.Second || delivered == slots
	if due {
		demo.printed = time.Now()
	}
	demo.mu.Unlock()
	if due {
		fmt.Fprintf(demo.options.Output, "  %d of %d samples delivered\n", delivered, slots)
	}
}

// train runs the step with everything that happens in its middle, and returns how long the step took.
func (demo *run) train(ctx context.Context) (time.Duration, error) {
	callCtx, endCalls := context.WithCancel(ctx)
	defer endCalls()
	var beside sync.WaitGroup
	beside.Go(func() {
		random := rand.New(rand.NewPCG(demo.options.Seed, 1))
		demo.callers.Run(callCtx, bench.Load{PerSecond: callsPerSecond, NotRepeatable: 0.3, Tokens: callTokens}, demo.api, random)
	})
	request := gateway.StepRequest{Step: fmt.Sprintf("demo-%d", demo.options.Seed), Experiment: experimentName, GroupSize: groupSize, MaxTokens: maximumTokens}
	for index := range prompts {
		request.Prompts = append(request.Prompts, fmt.Sprintf("prompt %d of seed %d: explain the fare from the harbour to the airport", index, demo.options.Seed))
	}
	began := time.Now()
	if err := demo.trainer.Submit(ctx, request); err != nil {
		return 0, errors.Wrap(err, "submit the step")
	}
	demo.event("step %s submitted: %d slots", request.Step, prompts*groupSize)
	beside.Go(func() { demo.disturb(ctx) })
	err := demo.trainer.Collect(ctx, request.Step)
	took := time.Since(began)
	endCalls()
	beside.Wait()
	if err != nil {
		return took, errors.Wrap(err, "collect the step")
	}
	demo.event("step whole after %.1f s", took.Seconds())
	return took, nil
}

// disturb swaps the weights of a policy, kills an engine and stops a node, while the step runs.
func (demo *run) disturb(ctx context.Context) {
	pause(ctx, 1200*time.Millisecond)
	if _, err := demo.client.Execute(ctx, demo.api()[0], swapCommands); err != nil {
		demo.event("swap failed: %v", err)
	} else {
		demo.trainer.RecordVersion(firstPolicy, 2)
		demo.event("policy %s swapped to version 2", firstPolicy)
	}
	pause(ctx, 600*time.Millisecond)
	victim := demo.site.Engines()[int(demo.options.Seed)%len(demo.site.Engines())]
	victim.Crash()
	demo.event("%s killed", victim.ID)
	pause(ctx, 500*time.Millisecond)
	last := len(demo.nodes) - 1
	demo.mu.Lock()
	demo.stopped[last] = true
	demo.mu.Unlock()
	began := time.Now()
	if err := demo.nodes[last].Stop(ctx); err != nil {
		demo.event("planned stop was cut short: %v", err)
		return
	}
	demo.event("node-%d stopped as planned in %.1f s", last+1, time.Since(began).Seconds())
}

func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (demo *run) report(stepTime, total time.Duration) bench.Report {
	received, requested := demo.trainer.Received()
	told := demo.callers.Calls()
	evidence := bench.Evidence{
		Begun: demo.site.Truth.Begun(), Produced: demo.site.Truth.Produced(), Received: received, Requested: requested, Calls: told,
		Bound: experiment.Bound{HasVersions: true, Versions: boundVersions},
	}
	report := bench.NewReport(demo.options.Seed, evidence)
	report.StepSeconds = stepTime.Seconds()
	report.TrainerIdleSeconds = stepTime.Seconds()
	report.Seconds = total.Seconds()
	if item, ok := demo.site.KeyValue.Item("configuration/document"); ok {
		report.SetConfigRevision(item.Value)
	}
	report.Events = demo.events
	return report
}

// Folder makes a folder for a run's samples; the function returned removes it.
func Folder() (string, func(), error) {
	folder, err := os.MkdirTemp("", "thistlewalk-demo-")
	if err != nil {
		return "", nil, errors.Wrap(err, "folder for samples")
	}
	return folder, func() { _ = os.RemoveAll(folder) }, nil
}
