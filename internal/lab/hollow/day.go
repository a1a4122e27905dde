package hollow

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/gateway"
	"github.com/thistlewalk/thistlewalk/internal/lab/bench"
)

// Day describes the failures of an ordinary day, run in quick succession.
type Day struct {
	Failures int // nodes that crash; each is replaced by a new node
	Restarts int // nodes that are shut down gracefully and started again
	// Cut is the duration of the network partition that isolates a zone, and of the one that isolates a region.
	Cut time.Duration
}

// DayOutcome is the result of RunDay.
type DayOutcome struct {
	Verdict bench.Verdict
	Steps   int // steps completed by the trainer
	// RecoveryTime is the time from the end of the last network partition until the fleet was settled.
	RecoveryTime time.Duration
	// Rollbacks counts how often a running node's configuration revision decreased.
	Rollbacks int
	// Changes and FailedChanges count the configuration commands that succeeded and failed while a region was isolated.
	Changes       int
	FailedChanges int
}

const (
	groupSize          = 64
	dayInterval        = 300 * time.Millisecond
	recoveryTimeout    = 90 * time.Second
	stopTimeout        = 20 * time.Second
	concurrentRestarts = 4
)

// RunDay injects the failures of a day into a settled fleet while a trainer requests one step after another.
func (fleet *Fleet) RunDay(ctx context.Context, day Day, seed uint64, output io.Writer) (DayOutcome, error) {
	if fleet.options.Loopback {
		return DayOutcome{}, errors.New("simulating a day of failures requires the in-memory network: loopback TCP cannot be partitioned")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcome := DayOutcome{}
	random := rand.New(rand.NewPCG(seed, 2))
	trainer := bench.NewTrainer(fleet.client, fleet.apiURLs, nil)
	var background sync.WaitGroup
	stopTraining := make(chan struct{})
	var trainingError error
	background.Go(func() { outcome.Steps, trainingError = fleet.train(ctx, trainer, stopTraining) })
	stopWatching := make(chan struct{})
	background.Go(func() { outcome.Rollbacks = fleet.watchRevisions(stopWatching) })

	fmt.Fprintf(output, "  %d nodes crash and are replaced\n", day.Failures)
	for range day.Failures {
		fleet.replaceNode(fleet.randomNode(random))
		time.Sleep(dayInterval)
	}
	fmt.Fprintf(output, "  %d nodes are restarted\n", day.Restarts)
	fleet.restartNodes(ctx, day.Restarts, random)
	fmt.Fprintf(output, "  a zone is isolated for %s\n", day.Cut)
	fleet.isolateZones(day.Cut, 1)
	time.Sleep(dayInterval)
	fmt.Fprintf(output, "  a region is isolated for %s\n", day.Cut)
	cutEnd := make(chan struct{})
	go func() {
		fleet.isolateZones(day.Cut, (len(fleet.zones)+fleet.options.Regions-1)/fleet.options.Regions)
		close(cutEnd)
	}()
	outcome.Changes, outcome.FailedChanges = fleet.sendChanges(ctx, cutEnd)
	healed := time.Now()
	if !Await(ctx, recoveryTimeout, fleet.Settled) {
		return outcome, errors.Newf("the fleet did not recover within %s: %s", recoveryTimeout, fleet.describeProgress())
	}
	outcome.RecoveryTime = time.Since(healed)
	close(stopTraining)
	close(stopWatching)
	background.Wait()
	received, requested := trainer.Received()
	outcome.Verdict = bench.Judge(bench.Evidence{Begun: fleet.site.EngineLog.StartedRequests(), Produced: fleet.site.EngineLog.ProducedChunks(),
		Received: received, Requested: requested, Bound: experiment.Bound{HasVersions: true, Versions: 2}})
	return outcome, trainingError
}

// Write prints the outcome and reports whether samples were delivered without any violation.
func (outcome DayOutcome) Write(output io.Writer) bool {
	verdict := outcome.Verdict
	passed := verdict.Breaches() == 0 && outcome.Rollbacks == 0 && verdict.SamplesDelivered > 0
	result := "met"
	if !passed {
		result = "not met"
	}
	fmt.Fprintf(output, "  day: %d steps, %d of %d samples, %d violations, %d configuration rollbacks, recovered after %.1f s; while the region was isolated %d configuration changes succeeded and %d failed: %s\n",
		outcome.Steps, verdict.SamplesDelivered, verdict.SamplesRequested, verdict.Breaches(), outcome.Rollbacks, outcome.RecoveryTime.Seconds(),
		outcome.Changes, outcome.FailedChanges, result)
	for _, example := range verdict.Examples {
		fmt.Fprintln(output, "    "+example)
	}
	return passed
}

// apiURLs returns the base URLs of up to five running nodes, in random order.
func (fleet *Fleet) apiURLs() []string {
	const maxURLs = 5
	var urls []string
	for _, running := range fleet.Nodes() {
		urls = append(urls, running.API())
		if len(urls) == maxURLs {
			break
		}
	}
	return urls
}

// train runs one step after another until end is closed. It returns the number of completed steps.
func (fleet *Fleet) train(ctx context.Context, trainer *bench.Trainer, end <-chan struct{}) (int, error) {
	for number := 0; ; number++ {
		select {
		case <-end:
			return number, nil
		default:
		}
		request := gateway.StepRequest{Step: fmt.Sprintf("day-%d", number), Experiment: "main", GroupSize: groupSize, MaxTokens: 64, Prompts: []string{fmt.Sprintf("prompt %d", number)}}
		if err := trainer.Submit(ctx, request); err != nil {
			return number, err
		}
		if err := trainer.Collect(ctx, request.Step); err != nil {
			return number, err
		}
	}
}

// watchRevisions polls the nodes until end is closed and counts decreases of a running node's configuration revision.
func (fleet *Fleet) watchRevisions(end <-chan struct{}) int {
	lastRevisions := make(map[*bench.RunningNode]uint64)
	rollbacks := 0
	for {
		for _, running := range fleet.Nodes() {
			revision := running.Revision()
			if revision < lastRevisions[running] {
				rollbacks++
			}
			lastRevisions[running] = revision
		}
		select {
		case <-end:
			return rollbacks
		case <-time.After(dayInterval):
		}
	}
}

// randomNode returns the ID of a random running node.
func (fleet *Fleet) randomNode(random *rand.Rand) string {
	var identifiers []string
	for id := range fleet.Nodes() {
		identifiers = append(identifiers, id)
	}
	slices.Sort(identifiers)
	return identifiers[random.IntN(len(identifiers))]
}

// replaceNode crashes a node and starts a replacement in the same zone under a new ID. If the old node had a data folder, the
// replacement has an empty one.
func (fleet *Fleet) replaceNode(id string) {
	zone := fleet.ZoneOf(id)
	fleet.KillNode(id)
	fleet.RemoveFromMachineList(id)
	replacement := id + "r"
	fleet.mu.Lock()
	if folder, stored := fleet.dataFolders[id]; stored {
		fleet.dataFolders[replacement] = folder + "r"
		delete(fleet.dataFolders, id)
	}
	fleet.mu.Unlock()
	if err := fleet.StartNode(replacement, zone); err != nil {
		fleet.options.Logger.Error("replacement node failed to start", "node", replacement, "error", err)
	}
}

// restartNodes restarts randomly chosen nodes, a few at a time.
func (fleet *Fleet) restartNodes(ctx context.Context, count int, random *rand.Rand) {
	var chosen []string
	for range count {
		chosen = append(chosen, fleet.randomNode(random))
	}
	for group := range slices.Chunk(chosen, concurrentRestarts) {
		var pending sync.WaitGroup
		for _, id := range slices.Compact(slices.Sorted(slices.Values(group))) {
			pending.Go(func() { fleet.restartNode(ctx, id) })
		}
		pending.Wait()
	}
}

// restartNode shuts a node down gracefully and starts a new incarnation of it.
func (fleet *Fleet) restartNode(ctx context.Context, id string) {
	zone := fleet.ZoneOf(id)
	fleet.mu.Lock()
	running := fleet.nodes[id]
	delete(fleet.nodes, id)
	fleet.mu.Unlock()
	if running == nil {
		return
	}
	stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	_ = running.Stop(stopCtx)
	if err := fleet.StartNode(id, zone); err != nil {
		fleet.options.Logger.Error("stopped node failed to start again", "node", id, "error", err)
	}
}

// isolateZones disconnects zones 0 to zones-1 from all other zones and from the platform for the given duration.
func (fleet *Fleet) isolateZones(duration time.Duration, zones int) {
	isolated := func(host netip.Addr) bool { return int(host.As4()[1]) < zones }
	fleet.memory.SetPartition(func(from, to netip.Addr) bool { return isolated(from) != isolated(to) })
	time.Sleep(duration)
	fleet.memory.SetPartition(nil)
}

// sendChanges sends configuration commands until end is closed, each to a random node. A command to an isolated node fails
// because the client is in the platform's zone.
func (fleet *Fleet) sendChanges(ctx context.Context, end <-chan struct{}) (succeeded, failed int) {
	for number := 0; ; number++ {
		select {
		case <-end:
			return succeeded, failed
		case <-time.After(time.Second):
		}
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, err := fleet.client.Execute(callCtx, fleet.apiURLs()[0], fmt.Sprintf("alter experiment main age %dm", 100+number))
		cancel()
		if err == nil {
			succeeded++
		} else {
			failed++
		}
	}
}
