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

// Hosts outside all zones have the addresses 10.200.0.n.
const (
	externalZone = 200
	trainerHost  = 1
	callerHost   = 2
	operatorHost = 3
	serviceHost  = 4 // the first platform service, which is the key-value service
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
	clients map[int]*bench.Client // by external host number

	mu            sync.Mutex
	hosts         map[string]int // number of addresses allocated, by zone
	nodes         []*simulatedNode
	engines       []*bench.RunningEngine
	partitions    map[int]partition
	nextPartition int
	version       uint64
	incarnations  uint64
	outages       []bench.Outage
	breaches      []string
	commands      []CommandRecord
	events        sync.WaitGroup
	closers       []func()
}

// partition blocks traffic between the hosts inside it and all other hosts.
type partition struct {
	inside func(netip.Addr) bool
	// only, if set, restricts the partition to connections with at least one end for which it returns true.
	only func(netip.Addr) bool
}

// simulatedNode is a node of the simulation across its restarts.
type simulatedNode struct {
	id         string
	zone       bench.Zone
	host       netip.Addr
	folder     string
	diskLosses int
	running    *bench.RunningNode // nil while down
	restarting bool               // a crash or stop is in progress
	// lastRevision is the configuration revision last observed in the current incarnation.
	lastRevision uint64
}

// NewWorld starts the platform and the nodes. The nodes store their samples in the folder.
func NewWorld(plan Plan, folder string, logger *log.Logger) (*World, error) {
	world := &World{plan: plan, folder: folder, logger: logger, memory: network.NewMemory(), hosts: make(map[string]int),
		partitions: make(map[int]partition), clients: make(map[int]*bench.Client), version: 1}
	world.memory.SetPartition(world.isPartitioned)
	for index := range zoneCount {
		world.zones = append(world.zones, bench.Zone{Name: fmt.Sprintf("zone-%d", index), Region: "region", Engines: enginesPerZone})
	}
	for _, host := range []int{trainerHost, callerHost, operatorHost} {
		world.clients[host] = bench.NewClient(network.NewClient(world.memory.At(externalAddress(host)), time.Minute, network.Connections{PerHost: 8}))
		world.closers = append(world.closers, world.clients[host].Close)
	}
	world.trainer = bench.NewTrainer(world.clients[trainerHost], world.apis, nil)
	world.callers = bench.NewCallers(world.clients[callerHost], experimentName)
	var err error
	world.site, err = bench.NewSite(bench.SiteSettings{
		Zones: world.zones, KeyValuePerSecond: 500, WeightsPerSecond: 20, MachineLag: 500 * time.Millisecond, ScoreDelay: time.Millisecond,
		Engine: platform.EngineSettings{
			Capacity: 8, TokensPerSecond: 40, BatchSlowdown: 0.05, PrefillPerSecond: 10000, CachedPrefixes: 8, ChunkTokens: 8,
			ReportLag: 500 * time.Millisecond, StageTime: 500 * time.Millisecond, Lengths: platform.Lengths{Median: 60, Sigma: 0.8}, RoundInterval: 50 * time.Millisecond,
		},
	}, world.memory.At(externalAddress(serviceHost)), world.allocateAddress, logger)
	if err != nil {
		return nil, err
	}
	world.engines = world.site.Engines()
	for index := range nodeCount {
		zone := world.zones[index%zoneCount]
		started := &simulatedNode{id: fmt.Sprintf("node-%d", index), zone: zone, folder: filepath.Join(folder, fmt.Sprintf("node-%d", index))}
		started.host = netip.AddrFrom4([4]byte{10, byte(index % zoneCount), 1, byte(index)})
		world.nodes = append(world.nodes, started)
		if err := world.start(started); err != nil {
			return nil, err
		}
	}
	return world, nil
}

func externalAddress(host int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, externalZone, 0, byte(host)})
}

// allocateAddress returns an address on a new host of the zone. If no zone has the name, the host is an external host for a
// platform service.
func (world *World) allocateAddress(zone string) (string, error) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.hosts[zone]++
	number := externalZone
	for index, candidate := range world.zones {
		if candidate.Name == zone {
			number = index
		}
	}
	host := world.hosts[zone]
	if number == externalZone {
		host += serviceHost - 1
	}
	if host >= hostsPerZone {
		return "", errors.Newf("no host address left in zone %s", zone)
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(number), 0, byte(host)}), addressPort).String(), nil
}

// isPartitioned reports whether a partition blocks traffic between two hosts.
func (world *World) isPartitioned(from, to netip.Addr) bool {
	world.mu.Lock()
	defer world.mu.Unlock()
	for _, present := range world.partitions {
		if present.inside(from) == present.inside(to) {
			continue
		}
		if present.only == nil || present.only(from) || present.only(to) {
			return true
		}
	}
	return false
}

func (world *World) addPartition(added partition) int {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.nextPartition++
	world.partitions[world.nextPartition] = added
	return world.nextPartition
}

func (world *World) removePartition(number int) {
	world.mu.Lock()
	defer world.mu.Unlock()
	delete(world.partitions, number)
}

// start starts the next incarnation of a node.
func (world *World) start(started *simulatedNode) error {
	world.mu.Lock()
	world.incarnations++
	incarnation := uint64(time.Now().UnixMilli()) + world.incarnations
	world.mu.Unlock()
	transport := world.memory.At(started.host)
	running, err := world.site.StartNode(started.id, started.zone, started.folder, node.Networks{Control: transport, Data: transport}, world.logger, incarnation,
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
	started.lastRevision = 0
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

// recordOutage records that the affected nodes were unavailable from since until now, so that the oracle accepts
// interrupted responses from them.
func (world *World) recordOutage(since time.Time, affected func(*simulatedNode) bool) {
	world.mu.Lock()
	defer world.mu.Unlock()
	for _, candidate := range world.nodes {
		if affected(candidate) {
			node := "http://" + netip.AddrPortFrom(candidate.host, addressPort+1).String()
			world.outages = append(world.outages, bench.Outage{Node: node, From: since, To: time.Now()})
		}
	}
}

func (world *World) recordBreach(format string, arguments ...any) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.breaches = append(world.breaches, fmt.Sprintf(format, arguments...))
}

// Outcome is the result of a simulated run.
type Outcome struct {
	Verdict  bench.Verdict
	Outcomes bench.Outcomes
	// Breaches lists violations that the verdict does not count, such as a configuration revision that decreased or a
	// step that did not complete.
	Breaches []string
	Modelled time.Duration // virtual time that the run took
	// Commands is the history of configuration commands, for a linearizability check.
	Commands []CommandRecord
}

// Failed reports whether the run violated an invariant.
func (outcome Outcome) Failed() bool {
	return outcome.Verdict.Breaches() > 0 || len(outcome.Breaches) > 0
}

const (
	commandTimeout = time.Minute
	collectTimeout = 30 * time.Minute
	pollInterval   = 100 * time.Millisecond
)

// Run executes the plan and returns the judged outcome after the platform and all nodes have stopped.
func (world *World) Run() (Outcome, error) {
	began := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := world.configure(ctx); err != nil {
		world.close()
		return Outcome{}, err
	}
	var watcher sync.WaitGroup
	watchCtx, endWatch := context.WithCancel(ctx)
	watcher.Go(func() { world.watchRevisions(watchCtx) })
	collected := make(chan error, 1)
	collectCtx, cancelCollect := context.WithTimeout(ctx, collectTimeout)
	defer cancelCollect()
	go func() { collected <- world.collect(collectCtx) }()
	for _, event := range world.plan.Events {
		time.Sleep(event.After)
		world.events.Go(func() { world.applyEvent(ctx, event) })
	}
	world.events.Wait()
	world.heal(ctx)
	if err := <-collected; err != nil {
		world.recordBreach("step did not complete: %v", err)
	}
	world.callers.Wait()
	endWatch()
	watcher.Wait()
	outcome := world.judge(time.Since(began))
	world.close()
	return outcome, nil
}

// configure creates the policy and the experiment, and retries until a node accepts them.
func (world *World) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
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
		time.Sleep(pollInterval)
	}
}

// collect submits the step and fetches all of its samples.
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

// watchRevisions checks that the configuration revision of a node never decreases within one incarnation.
func (world *World) watchRevisions(ctx context.Context) {
	for ctx.Err() == nil {
		world.mu.Lock()
		for _, candidate := range world.nodes {
			if candidate.running == nil {
				continue
			}
			revision := candidate.running.Revision()
			if revision < candidate.lastRevision {
				world.breaches = append(world.breaches, fmt.Sprintf("%s went from revision %d back to %d", candidate.id, candidate.lastRevision, revision))
			}
			candidate.lastRevision = revision
		}
		world.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

// heal ends all failures and swaps to the newest version, after which all accepted work must complete.
func (world *World) heal(ctx context.Context) {
	world.mu.Lock()
	world.partitions = make(map[int]partition)
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
	calls := world.callers.Calls()
	world.mu.Lock()
	defer world.mu.Unlock()
	evidence := bench.Evidence{
		Begun: world.site.EngineLog.StartedRequests(), Produced: world.site.EngineLog.ProducedChunks(), Received: received, Requested: requested, Calls: calls,
		Bound: experiment.Bound{HasVersions: true, Versions: uint64(world.plan.Bound)}, Outages: world.outages,
	}
	outcome := Outcome{Verdict: bench.Judge(evidence), Breaches: world.breaches, Modelled: modelled, Commands: world.commands}
	for _, call := range calls {
		outcome.Outcomes.Count(call)
	}
	return outcome
}

// close stops the nodes and the platform and closes the clients. The bubble requires that all of its goroutines end.
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
