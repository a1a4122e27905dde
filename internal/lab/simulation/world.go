package simulation

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
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

// Sizes of the simulated system.
const (
	zoneCount      = 3
	nodeCount      = 4
	enginesPerZone = 1
	experimentName = "main"
	policyName     = "policy"
	stepName       = "step"
	addressPort    = 7000
	hostsPerZone   = 250
)

// hosts that are not in a zone: 10.200.0.n.
const (
	outsideZone  = 200
	trainerHost  = 1
	callerHost   = 2
	operatorHost = 3
	serviceHost  = 4 // the first of the platform's services
)

// World is a running simulated system.
type World struct {
	plan    Plan
	folder  string
	logger  *log.Logger
	memory  *network.Memory
	site    *bench.Site
	zones   []bench.Zone
	trainer *bench.Trainer
	callers *bench.Callers
	clients map[int]*bench.Client // by host outside

	mu       sync.Mutex
	hosts    map[string]int // hosts given out, by zone
	nodes    []*simulated
	engines  []*bench.RunningEngine
	cuts     map[int]cut
	nextCut  int
	version  uint64
	lives    uint64
	excuses  []bench.Excuse
	breaches []string
	commands []CommandRecord
	events   sync.WaitGroup
	closers  []func()
}

// cut severs some hosts from the others.
type cut struct {
	inside func(netip.Addr) bool
	// only, when set, limits the cut to what it holds of the other side.
	only func(netip.Addr) bool
}

// simulated is one node over its lives.
type simulated struct {
	id      string
	zone    bench.Zone
	host    netip.Addr
	folder  string
	fresh   int
	running *bench.RunningNode // nil while down
	busy    bool               // a crash or stop is under way
	// revision is the greatest revision seen in force in the present life.
	revision uint64
}

// NewWorld starts the platform and the nodes. Samples go into the folder.
func NewWorld(plan Plan, folder string, logger *log.Logger) (*World, error) {
	world := &World{plan: plan, folder: folder, logger: logger, memory: network.NewMemory(), hosts: make(map[string]int),
		cuts: make(map[int]cut), clients: make(map[int]*bench.Client), version: 1}
	world.memory.SetPartition(world.severed)
	for index := range zoneCount {
		world.zones = append(world.zones, bench.Zone{Name: fmt.Sprintf("zone-%d", index), Region: "region", Engines: enginesPerZone})
	}
	for _, host := range []int{trainerHost, callerHost, operatorHost} {
		world.clients[host] = bench.NewClient(network.NewClient(world.memory.At(outside(host)), time.Minute, network.Connections{PerHost: 8}))
		world.closers = append(world.closers, world.clients[host].Close)
	}
	world.trainer = bench.NewTrainer(world.clients[trainerHost], world.apis, nil)
	world.callers = bench.NewCallers(world.clients[callerHost], experimentName)
	var err error
	world.site, err = bench.NewSite(bench.SiteSettings{
		Zones: world.zones, KeyValuePerSecond: 500, WeightsPerSecond: 20, MachineLag: 500 * time.Millisecond, ScoreDelay: time.Millisecond,
		Engine: platform.EngineSettings{
			Capacity: 8, TokensPerSecond: 40, BatchSlowdown: 0.05, PrefillPerSecond: 10000, CachedPrefixes: 8, ChunkTokens: 8,
			ReportLag: 500 * time.Millisecond, StageTime: 500 * time.Millisecond, Lengths: platform.Lengths{Median: 60, Sigma: 0.8}, RoundTime: 50 * time.Millisecond,
		},
	}, world.memory.At(outside(serviceHost)), world.address, logger)
	if err != nil {
		return nil, err
	}
	world.engines = world.site.Engines()
	for index := range nodeCount {
		zone := world.zones[index%zoneCount]
		started := &simulated{id: fmt.Sprintf("node-%d", index), zone: zone, folder: filepath.Join(folder, fmt.Sprintf("node-%d", index))}
		started.host = netip.AddrFrom4([4]byte{10, byte(index % zoneCount), 1, byte(index)})
		world.nodes = append(world.nodes, started)
		if err := world.start(started); err != nil {
			return nil, err
		}
	}
	return world, nil
}

func outside(host int) netip.Addr { return netip.AddrFrom4([4]byte{10, outsideZone, 0, byte(host)}) }

// address gives engines and services an address of their own host.
func (world *World) address(zone string) (string, error) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.hosts[zone]++
	number := outsideZone
	for index, candidate := range world.zones {
		if candidate.Name == zone {
			number = index
		}
	}
	host := world.hosts[zone]
	if number == outsideZone {
		host += serviceHost - 1
	}
	if host >= hostsPerZone {
		return "", errors.Newf("no host is left in %s", zone)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number), 0, byte(host)}), addressPort).String(), nil
}

// severed implements the cuts.
func (world *World) severed(from, to netip.Addr) bool {
	world.mu.Lock()
	defer world.mu.Unlock()
	for _, present := range world.cuts {
		if present.inside(from) == present.inside(to) {
			continue
		}
		if present.only == nil || present.only(from) || present.only(to) {
			return true
		}
	}
	return false
}

func (world *World) beginCut(added cut) int {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.nextCut++
	world.cuts[world.nextCut] = added
	return world.nextCut
}

func (world *World) endCut(number int) {
	world.mu.Lock()
	defer world.mu.Unlock()
	delete(world.cuts, number)
}

// start starts a node's next life.
func (world *World) start(started *simulated) error {
	world.mu.Lock()
	world.lives++
	life := uint64(time.Now().UnixMilli()) + world.lives
	world.mu.Unlock()
	through := world.memory.At(started.host)
	running, err := world.site.StartNode(started.id, started.zone, started.folder, node.Networks{Control: through, Data: through}, world.logger, life,
		func(config *settings.Settings) {
			config.Node.Control = netip.AddrPortFrom(started.host, addressPort).String()
			config.Node.API = netip.AddrPortFrom(started.host, addressPort+1).String()
			config.Steps.AttemptSilence = 6 * time.Second
			config.Steps.StragglerTime = 10 * time.Second
			config.Rollout.StallTime = 5 * time.Second
			config.Ownership.ReplaceAfter = 20 * time.Second
			config.Ownership.HistoryRecoveryTimeout = 10 * time.Second
		})
	if err != nil {
		return err
	}
	world.mu.Lock()
	defer world.mu.Unlock()
	started.running = running
	started.revision = 0
	return nil
}

// apis returns the base URLs of the running nodes, in random order.
func (world *World) apis() []string {
	world.mu.Lock()
	defer world.mu.Unlock()
	var urls []string
	for _, candidate := range world.nodes {
		if candidate.running != nil {
			urls = append(urls, candidate.running.API())
		}
	}
	rand.Shuffle(len(urls), func(i, j int) { urls[i], urls[j] = urls[j], urls[i] })
	return urls
}

// excuse allows the answers of some nodes to be cut from a moment until now.
func (world *World) excuse(since time.Time, concerned func(*simulated) bool) {
	world.mu.Lock()
	defer world.mu.Unlock()
	for _, candidate := range world.nodes {
		if concerned(candidate) {
			node := "http://" + netip.AddrPortFrom(candidate.host, addressPort+1).String()
			world.excuses = append(world.excuses, bench.Excuse{Node: node, From: since, To: time.Now()})
		}
	}
}

func (world *World) breach(format string, arguments ...any) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.breaches = append(world.breaches, fmt.Sprintf(format, arguments...))
}

// Outcome is what a history showed.
type Outcome struct {
	Verdict  bench.Verdict
	Outcomes bench.Outcomes
	// Breaches are those beside the verdict's: a revision that went back, a step that never became whole.
	Breaches []string
	Modelled time.Duration
	// Commands and Revisions are the history of the configuration, for a model checker.
	Commands []CommandRecord
}

// Failed reports whether the history shows a breach.
func (outcome Outcome) Failed() bool {
	return outcome.Verdict.Breaches() > 0 || len(outcome.Breaches) > 0
}

const (
	prepareLimit = time.Minute
	collectLimit = 30 * time.Minute
	watchPause   = 100 * time.Millisecond
)

// Run carries the plan out and judges it. It returns when everything has stopped.
func (world *World) Run() (Outcome, error) {
	began := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := world.configure(ctx); err != nil {
		world.close()
		return Outcome{}, err
	}
	var watching sync.WaitGroup
	watchCtx, endWatch := context.WithCancel(ctx)
	watching.Go(func() { world.watchRevisions(watchCtx) })
	collected := make(chan error, 1)
	collectCtx, giveUp := context.WithTimeout(ctx, collectLimit)
	defer giveUp()
	go func() { collected <- world.collect(collectCtx) }()
	for _, event := range world.plan.Events {
		time.Sleep(event.After)
		world.events.Go(func() { world.happen(ctx, event) })
	}
	world.events.Wait()
	world.heal(ctx)
	if err := <-collected; err != nil {
		world.breach("the step did not become whole: %v", err)
	}
	world.callers.Wait()
	endWatch()
	watching.Wait()
	outcome := world.judge(time.Since(began))
	world.close()
	return outcome, nil
}

// configure adds the policy and the experiment and waits until engines serve them.
func (world *World) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, prepareLimit)
	defer cancel()
	text := fmt.Sprintf("add policy %s version 1; create experiment %s with %s share 100 staleness %d versions", policyName, experimentName, policyName, world.plan.Bound)
	for {
		_, err := world.clients[operatorHost].Execute(ctx, world.apis()[0], text)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrap(err, "configure")
		}
		time.Sleep(watchPause)
	}
}

// collect submits the step and takes all of its samples.
func (world *World) collect(ctx context.Context) error {
	request := gateway.StepRequest{Step: stepName, Experiment: experimentName, GroupSize: 1, MaxTokens: 200}
	for index := range world.plan.Slots {
		request.Prompts = append(request.Prompts, fmt.Sprintf("prompt %d", index))
	}
	if err := world.trainer.Submit(ctx, request); err != nil {
		return err
	}
	return world.trainer.Collect(ctx, stepName)
}

// watchRevisions checks that no node goes back to an older configuration within a life.
func (world *World) watchRevisions(ctx context.Context) {
	for ctx.Err() == nil {
		world.mu.Lock()
		for _, candidate := range world.nodes {
			if candidate.running == nil {
				continue
			}
			revision := candidate.running.Revision()
			if revision < candidate.revision {
				world.breaches = append(world.breaches, fmt.Sprintf("%s went from revision %d back to %d", candidate.id, candidate.revision, revision))
			}
			candidate.revision = revision
		}
		world.mu.Unlock()
		time.Sleep(watchPause)
	}
}

// heal ends all failures, so that what was accepted must now be finished.
func (world *World) heal(ctx context.Context) {
	world.mu.Lock()
	world.cuts = make(map[int]cut)
	engines := world.engines
	world.mu.Unlock()
	world.site.KeyValue.SetFaults(platform.KeyValueFaults{})
	world.site.Scorer.SetDown(false)
	for _, engine := range engines {
		engine.Model.SetFaults(platform.EngineFaults{})
	}
	world.swapToNewest(ctx)
}

func (world *World) judge(modelled time.Duration) Outcome {
	received, requested := world.trainer.Received()
	told := world.callers.Told()
	world.mu.Lock()
	defer world.mu.Unlock()
	evidence := bench.Evidence{
		Begun: world.site.Truth.Begun(), Produced: world.site.Truth.Produced(), Received: received, Requested: requested, Told: told,
		Bound: experiment.Bound{HasVersions: true, Versions: uint64(world.plan.Bound)}, Excuses: world.excuses,
	}
	outcome := Outcome{Verdict: bench.Judge(evidence), Breaches: world.breaches, Modelled: modelled, Commands: world.commands}
	for _, answer := range told {
		outcome.Outcomes.Count(answer)
	}
	return outcome
}

// close stops everything, so that no goroutine is left.
func (world *World) close() {
	for _, candidate := range world.nodes {
		if candidate.running != nil {
			candidate.running.Kill()
		}
	}
	world.site.Close()
	for _, closer := range world.closers {
		closer()
	}
}
