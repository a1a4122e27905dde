package scenario

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
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

const (
	policyName     = "policy"
	experimentName = "main"
	clientZone     = 200
	port           = 7000
	pollInterval   = 100 * time.Millisecond
	runTimeout     = 6 * time.Hour
)

// Result is the result of running one variant with one seed.
type Result struct {
	Report bench.Report
	// Idle is how long the trainer waited for each step.
	Idle []time.Duration
	// Step is the time from submission to completion of each step.
	Step []time.Duration
	// Bound is the lower bound of the generation time of each step.
	Bound []time.Duration
	// Staleness is the staleness of each delivered sample, in versions.
	Staleness []uint64
	Modelled  time.Duration // virtual time that the run took
	Timeline  Timeline
}

// run is the state of one run.
type run struct {
	spec    Spec
	variant Variant
	seed    uint64
	folder  string
	logger  *log.Logger
	memory  *network.Memory
	site    *bench.Site
	client  *bench.Client
	trainer *bench.Trainer
	callers *bench.Callers
	began   time.Time

	mu       sync.Mutex
	hosts    map[string]int // number of addresses allocated, by zone
	nodes    []*bench.RunningNode
	down     map[int]bool // removed nodes, by index
	outages  []bench.Outage
	timeline Timeline
	version  uint64
}

// Run runs a variant of a scenario in the testing/synctest bubble of the caller. It returns after all nodes and the platform
// have stopped.
func Run(spec Spec, variant Variant, seed uint64, folder string, logger *log.Logger) (Result, error) {
	scenario := &run{spec: spec, variant: variant, seed: seed, folder: folder, logger: logger, memory: network.NewMemory(),
		hosts: make(map[string]int), down: make(map[int]bool), version: 1, began: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	scenario.memory.SetLatency(scenario.latency)
	defer scenario.close()
	if err := scenario.start(ctx); err != nil {
		return Result{}, err
	}
	return scenario.train(ctx)
}

// latency returns the one-way latency between two hosts. Clients and the platform form a zone of their own.
func (scenario *run) latency(from, to netip.Addr) time.Duration {
	a, b := from.As4()[1], to.As4()[1]
	switch {
	case a == b:
		return 0
	case a == clientZone || b == clientZone:
		return scenario.spec.Latency.Clients
	default:
		return scenario.spec.Latency.Zones
	}
}

// allocateAddress returns an address on a new host of a zone. Clients and the platform are in clientZone.
func (scenario *run) allocateAddress(zone string) (string, error) {
	scenario.mu.Lock()
	defer scenario.mu.Unlock()
	number := slices.IndexFunc(scenario.spec.Zones, func(candidate Zone) bool { return candidate.Name == zone })
	if number < 0 {
		number = clientZone
	}
	scenario.hosts[zone]++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number), 0, byte(scenario.hosts[zone])}), port).String(), nil
}

func (scenario *run) start(ctx context.Context) error {
	clientNetwork := scenario.memory.At(netip.AddrFrom4([4]byte{10, clientZone, 1, 1}))
	scenario.client = bench.NewClient(network.NewClient(clientNetwork, time.Minute, network.Connections{PerHost: 64}))
	scenario.trainer = bench.NewTrainer(scenario.client, scenario.apis, nil)
	scenario.callers = bench.NewCallers(scenario.client, experimentName)
	var err error
	scenario.site, err = bench.NewSite(bench.SiteSettings{Zones: scenario.spec.zones(), KeyValuePerSecond: 200, WeightsPerSecond: scenario.spec.Engine.WeightsPerSecond,
		MachineLag: time.Second, ScoreDelay: 2 * time.Millisecond, Engine: scenario.spec.Engine.settings()}, clientNetwork, scenario.allocateAddress, scenario.logger)
	if err != nil {
		return err
	}
	for index, zone := range scenario.spec.zones() {
		for range scenario.spec.Zones[index].Nodes {
			if err := scenario.startNode(zone); err != nil {
				return err
			}
		}
	}
	return scenario.configure(ctx)
}

func (scenario *run) startNode(zone bench.Zone) error {
	control, err := scenario.allocateAddress(zone.Name)
	if err != nil {
		return err
	}
	host := netip.MustParseAddrPort(control).Addr()
	transport := scenario.memory.At(host)
	id := fmt.Sprintf("node-%d", len(scenario.nodes))
	started, err := scenario.site.StartNode(id, zone, filepath.Join(scenario.folder, id), node.Networks{Control: transport, Data: transport}, scenario.logger,
		uint64(time.Now().UnixMilli()), func(config *settings.Settings) {
			config.Node.Control = control
			config.Node.API = netip.AddrPortFrom(host, port+1).String()
			config.Rollout.Routing = scenario.variant.Routing
			if !scenario.variant.Stragglers {
				config.Steps.StragglerTime = 0
			}
			if scenario.variant.QueueAtEngines {
				config.Steps.RoomShare, config.Steps.AheadShare, config.Steps.SwapWaitTimeout = 0, 0, 0
			}
		})
	if err != nil {
		return err
	}
	scenario.nodes = append(scenario.nodes, started)
	return nil
}

func (scenario *run) apis() []string {
	scenario.mu.Lock()
	defer scenario.mu.Unlock()
	var urls []string
	for index, running := range scenario.nodes {
		if !scenario.down[index] {
			urls = append(urls, running.API())
		}
	}
	return urls
}

// execute runs a script of commands, and retries on all running nodes until the script succeeds.
func (scenario *run) execute(ctx context.Context, text string) error {
	for {
		var last error
		for _, api := range scenario.apis() {
			callCtx, cancel := context.WithTimeout(ctx, time.Minute)
			_, last = scenario.client.Execute(callCtx, api, text)
			cancel()
			if last == nil {
				return nil
			}
		}
		if ctx.Err() != nil {
			return errors.Wrap(last, text)
		}
		time.Sleep(pollInterval)
	}
}

func (scenario *run) configure(ctx context.Context) error {
	text := fmt.Sprintf("add policy %s version 1; create experiment %s with %s share 100 staleness %d versions", policyName, experimentName, policyName, scenario.spec.Trainer.BoundVersions)
	if err := scenario.execute(ctx, text); err != nil {
		return err
	}
	for !scenario.allEnginesRun(1) {
		if ctx.Err() != nil {
			return errors.New("the engines did not load the first version")
		}
		time.Sleep(pollInterval)
	}
	return nil
}

func (scenario *run) allEnginesRun(version uint64) bool {
	for _, engine := range scenario.site.Engines() {
		if engine.Model.Active(policyName) < version {
			return false
		}
	}
	return true
}

// stepID returns the ID of a step. The simulated engines derive completion lengths from it, so that all variants with the same
// seed have the same work.
func (scenario *run) stepID(number int) string {
	return fmt.Sprintf("step-%d-%d", scenario.seed, number)
}

func (scenario *run) submit(ctx context.Context, number int) error {
	trainer := scenario.spec.Trainer
	request := gateway.StepRequest{Step: scenario.stepID(number), Experiment: experimentName, GroupSize: trainer.GroupSize, MaxTokens: trainer.MaxTokens}
	for index := range trainer.Prompts {
		request.Prompts = append(request.Prompts, fmt.Sprintf("prompt %d of step %d of seed %d", index, number, scenario.seed))
	}
	return scenario.trainer.Submit(ctx, request)
}

// train runs all steps, with calls and failures in the background. The next steps are generated while the trainer trains.
// The trainer fetches the samples of a step only when it can train on them, so that their staleness is measured at use.
func (scenario *run) train(ctx context.Context) (Result, error) {
	result := Result{}
	began := time.Now()
	callCtx, endCalls := context.WithCancel(ctx)
	defer endCalls()
	var background sync.WaitGroup
	if scenario.spec.Calls.PerSecond > 0 {
		background.Go(func() { scenario.sendCalls(callCtx) })
	}
	for _, failure := range scenario.spec.Failures {
		background.Go(func() { scenario.injectFailure(callCtx, failure) })
	}
	background.Go(func() { scenario.sampleTimeline(callCtx) })
	err := scenario.runSteps(ctx, &result)
	endCalls()
	background.Wait()
	if err != nil {
		return result, err
	}
	result.Modelled = time.Since(began)
	scenario.judge(&result)
	return result, nil
}

func (scenario *run) runSteps(ctx context.Context, result *Result) error {
	trainer := scenario.spec.Trainer
	submitted := make(map[int]time.Time)
	next := 0
	// ready is when the trainer finished the previous step. Idle time therefore includes the weight swap.
	var ready time.Time
	for number := range trainer.Steps {
		for ; next <= number+trainer.Ahead && next < trainer.Steps; next++ {
			submitted[next] = time.Now()
			if err := scenario.submit(ctx, next); err != nil {
				return errors.Wrap(err, "submit")
			}
		}
		if ready.IsZero() {
			ready = time.Now()
		}
		if err := scenario.trainer.Collect(ctx, scenario.stepID(number)); err != nil {
			return errors.Wrap(err, "collect")
		}
		scenario.recordEvent("step %d complete", number)
		result.Idle = append(result.Idle, time.Since(ready))
		result.Step = append(result.Step, time.Since(submitted[number]))
		result.Bound = append(result.Bound, scenario.lowerBound(number))
		time.Sleep(trainer.TrainTime)
		ready = time.Now()
		if number < trainer.Steps-1 {
			if err := scenario.publishAndSwap(ctx); err != nil {
				return err
			}
		}
	}
	return nil
}

// publishAndSwap publishes the next version and swaps the policy to it.
func (scenario *run) publishAndSwap(ctx context.Context) error {
	scenario.mu.Lock()
	scenario.version++
	version := scenario.version
	scenario.mu.Unlock()
	if err := scenario.trainer.Publish(ctx, policyName, version); err != nil {
		return errors.Wrap(err, "publish")
	}
	if scenario.variant.DrainBeforeSwap {
		if err := scenario.drain(ctx); err != nil {
			return err
		}
	}
	text := fmt.Sprintf("swap policy %s to %d", policyName, version)
	if scenario.variant.DrainBeforeSwap {
		text += "; resume policy " + policyName
	}
	scenario.recordEvent("swap to version %d", version)
	return scenario.execute(ctx, text)
}

// drain pauses the policy and waits until all engines are idle.
func (scenario *run) drain(ctx context.Context) error {
	if err := scenario.execute(ctx, "pause policy "+policyName); err != nil {
		return err
	}
	for ctx.Err() == nil {
		busy := slices.ContainsFunc(scenario.site.Engines(), func(engine *bench.RunningEngine) bool { return engine.Model.Occupancy() > 0 })
		if !busy {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return ctx.Err()
}

// lowerBound returns a lower bound of a step's generation time: the time that all engines at full batch need for the
// tokens of the step, or the time of the longest completion on an idle engine, whichever is longer.
func (scenario *run) lowerBound(number int) time.Duration {
	model := scenario.spec.Engine
	trainer := scenario.spec.Trainer
	lengths := platform.Lengths{Median: model.MedianLength, Sigma: model.LengthSigma}
	total, longest := 0, 0
	for slot := range uint32(trainer.Prompts * trainer.GroupSize) {
		length := lengths.Of(fmt.Sprintf("%s#%d.0", scenario.stepID(number), slot), trainer.MaxTokens)
		total += length
		longest = max(longest, length)
	}
	engines := 0
	for _, zone := range scenario.spec.Zones {
		engines += zone.Engines
	}
	peak := float64(model.Capacity) * model.TokensPerSecond / (1 + model.BatchSlowdown*float64(model.Capacity-1)) * float64(engines)
	seconds := max(float64(total)/peak, float64(longest)/model.TokensPerSecond)
	return time.Duration(seconds * float64(time.Second))
}

func (scenario *run) sendCalls(ctx context.Context) {
	random := rand.New(rand.NewPCG(scenario.seed, 3))
	load := bench.Load{PerSecond: scenario.spec.Calls.PerSecond, NotRepeatable: scenario.spec.Calls.NotRepeatable, Tokens: scenario.spec.Calls.Tokens}
	scenario.callers.Run(ctx, load, scenario.apis, random)
}

func (scenario *run) judge(result *Result) {
	received, requested := scenario.trainer.Received()
	evidence := bench.Evidence{Begun: scenario.site.EngineLog.StartedRequests(), Produced: scenario.site.EngineLog.ProducedChunks(), Received: received, Requested: requested,
		Calls: scenario.callers.Calls(), Bound: experiment.Bound{HasVersions: true, Versions: scenario.spec.Trainer.BoundVersions}, Outages: scenario.outages}
	result.Report = bench.NewReport(scenario.seed, evidence)
	result.Report.Seconds = result.Modelled.Seconds()
	for index := range result.Idle {
		result.Report.TrainerIdleSeconds += result.Idle[index].Seconds()
		result.Report.StepSeconds += result.Step[index].Seconds() / float64(len(result.Step))
	}
	if item, ok := scenario.site.KeyValue.Item("configuration/document"); ok {
		result.Report.SetConfigRevision(item.Value)
	}
	for _, sample := range received {
		result.Staleness = append(result.Staleness, sample.Body.StalenessVersions)
	}
	scenario.mu.Lock()
	result.Timeline = scenario.timeline
	scenario.mu.Unlock()
	for _, event := range result.Timeline.Events {
		result.Report.Events = append(result.Report.Events, fmt.Sprintf("%.1f s: %s", event.At.Seconds(), event.What))
	}
}

func (scenario *run) close() {
	for _, running := range scenario.nodes {
		running.Kill()
	}
	if scenario.site != nil {
		scenario.site.Close()
	}
	scenario.client.Close()
}
