// Package demo runs a demonstration in one process over loopback: three nodes and six engines serve two policies, while
// callers send requests and a trainer collects one step. During the step, the weights of a policy are swapped, an engine
// crashes and a node is stopped.
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

// Options configures a run.
type Options struct {
	Seed   uint64
	Folder string // data folder of the nodes, for samples only
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
	runTimeout     = 28 * time.Second
	callsPerSecond = 40
	callTokens     = 60
	setUpCommands  = `add policy dispatch version 1; add policy draft version 1;
create experiment evening with dispatch share 60 versions 1.., draft share 40 versions 1.. staleness 1 versions`
	swapCommands = `publish policy dispatch version 2; swap policy dispatch to 2`
)

// zones returns the zones of the demo, which are in one region.
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

	mu           sync.Mutex
	stopped      map[int]bool // stopped nodes, by index
	lastProgress time.Time
	events       []string
}

// Run runs the demo and returns its report. Breaches in the report are not returned as an error.
func Run(ctx context.Context, options Options) (bench.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
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
	demo.logEvent("%d nodes and %d engines run, configuration accepted", len(demo.nodes), len(demo.site.Engines()))
	stepTime, err := demo.train(ctx)
	if err != nil {
		return bench.Report{}, err
	}
	return demo.report(stepTime, time.Since(began)), nil
}

func (demo *run) logEvent(format string, arguments ...any) {
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
			demo.options.Logger, uint64(time.Now().UnixMilli()), shortenIntervals)
		if err != nil {
			demo.close()
			return err
		}
		demo.nodes = append(demo.nodes, started)
	}
	demo.client = bench.NewClient(network.NewClient(tcp, time.Minute, network.Connections{PerHost: 64}))
	demo.trainer = bench.NewTrainer(demo.client, demo.apis, demo.progress)
	demo.callers = bench.NewCallers(demo.client, experimentName)
	return nil
}

// shortenIntervals replaces intervals and timeouts that suit a data center by shorter ones for a single machine.
func shortenIntervals(config *settings.Settings) {
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

// apis returns the base URLs of the running nodes.
func (demo *run) apis() []string {
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

// configure creates the policies and the experiment, and waits until all engines serve both policies.
func (demo *run) configure(ctx context.Context) error {
	if _, err := demo.client.Execute(ctx, demo.apis()[0], setUpCommands); err != nil {
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

// serving reports whether every engine runs at least the given version of the policy.
func (demo *run) serving(policy string, version uint64) bool {
	return !slices.ContainsFunc(demo.site.Engines(), func(engine *bench.RunningEngine) bool {
		return engine.Model.Active(policy) < version
	})
}

func (demo *run) progress(delivered, slots int) {
	demo.mu.Lock()
	due := time.Since(demo.lastProgress) > time.Second || delivered == slots
	if due {
		demo.lastProgress = time.Now()
	}
	demo.mu.Unlock()
	if due {
		fmt.Fprintf(demo.options.Output, "  %d of %d samples delivered\n", delivered, slots)
	}
}

// train runs the step, with callers and injected failures in the background, and returns how long the step took.
func (demo *run) train(ctx context.Context) (time.Duration, error) {
	callCtx, endCalls := context.WithCancel(ctx)
	defer endCalls()
	var background sync.WaitGroup
	background.Go(func() {
		random := rand.New(rand.NewPCG(demo.options.Seed, 1))
		demo.callers.Run(callCtx, bench.Load{PerSecond: callsPerSecond, NotRepeatable: 0.3, Tokens: callTokens}, demo.apis, random)
	})
	request := gateway.StepRequest{Step: fmt.Sprintf("demo-%d", demo.options.Seed), Experiment: experimentName, GroupSize: groupSize, MaxTokens: maximumTokens}
	for index := range prompts {
		request.Prompts = append(request.Prompts, fmt.Sprintf("prompt %d of seed %d: explain the fare from the harbour to the airport", index, demo.options.Seed))
	}
	began := time.Now()
	if err := demo.trainer.Submit(ctx, request); err != nil {
		return 0, errors.Wrap(err, "submit the step")
	}
	demo.logEvent("step %s submitted: %d slots", request.Step, prompts*groupSize)
	background.Go(func() { demo.injectFailures(ctx) })
	err := demo.trainer.Collect(ctx, request.Step)
	took := time.Since(began)
	endCalls()
	background.Wait()
	if err != nil {
		return took, errors.Wrap(err, "collect the step")
	}
	demo.logEvent("step complete after %.1f s", took.Seconds())
	return took, nil
}

// injectFailures swaps the weights of a policy, kills an engine and stops a node while the step runs.
func (demo *run) injectFailures(ctx context.Context) {
	sleep(ctx, 1200*time.Millisecond)
	if _, err := demo.client.Execute(ctx, demo.apis()[0], swapCommands); err != nil {
		demo.logEvent("swap failed: %v", err)
	} else {
		demo.trainer.RecordVersion(firstPolicy, 2)
		demo.logEvent("policy %s swapped to version 2", firstPolicy)
	}
	sleep(ctx, 600*time.Millisecond)
	crashed := demo.site.Engines()[int(demo.options.Seed)%len(demo.site.Engines())]
	crashed.Crash()
	demo.logEvent("%s killed", crashed.ID)
	sleep(ctx, 500*time.Millisecond)
	last := len(demo.nodes) - 1
	demo.mu.Lock()
	demo.stopped[last] = true
	demo.mu.Unlock()
	began := time.Now()
	if err := demo.nodes[last].Stop(ctx); err != nil {
		demo.logEvent("planned stop was cut short: %v", err)
		return
	}
	demo.logEvent("node-%d stopped as planned in %.1f s", last+1, time.Since(began).Seconds())
}

func sleep(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

func (demo *run) report(stepTime, total time.Duration) bench.Report {
	received, requested := demo.trainer.Received()
	calls := demo.callers.Calls()
	evidence := bench.Evidence{
		Begun: demo.site.EngineLog.StartedRequests(), Produced: demo.site.EngineLog.ProducedChunks(), Received: received, Requested: requested, Calls: calls,
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

// Folder creates a temporary folder for the samples of a run, and returns its path and a function that removes it.
func Folder() (string, func(), error) {
	folder, err := os.MkdirTemp("", "thistlewalk-demo-")
	if err != nil {
		return "", nil, errors.Wrap(err, "create sample folder")
	}
	return folder, func() { _ = os.RemoveAll(folder) }, nil
}
