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

// Day is the failures of an ordinary day, compressed.
type Day struct {
	Failures int // nodes that die; a new one takes the place of each
	Restarts int // nodes that are stopped as planned and started again
	// Cut is how long a zone, and then a region, is cut from the rest.
	Cut time.Duration
}

// DayOutcome is what a day showed.
type DayOutcome struct {
	Verdict bench.Verdict
	Steps   int
	// Recovered is how long after the last failure all nodes saw each other and all partitions were owned.
	Recovered time.Duration
	// WentBack counts nodes that went back to an older configuration within a life.
	WentBack int
	Changes  int
	// RefusedChanges are commands that were not done while regions were cut.
	RefusedChanges int
}

const (
	daySlots     = 64
	dayPause     = 300 * time.Millisecond
	recoverLimit = 90 * time.Second
	stopLimit    = 20 * time.Second
	atOnce       = 4
)

// RunDay runs the day on a settled fleet while a trainer asks for one step after the other.
func (fleet *Fleet) RunDay(ctx context.Context, day Day, seed uint64, output io.Writer) (DayOutcome, error) {
	if fleet.options.Loopback {
		return DayOutcome{}, errors.New("a day needs the network in memory, which can be cut")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcome := DayOutcome{}
	random := rand.New(rand.NewPCG(seed, 2))
	trainer := bench.NewTrainer(fleet.client, fleet.apis, nil)
	var beside sync.WaitGroup
	endSteps := make(chan struct{})
	var stepError error
	beside.Go(func() { outcome.Steps, stepError = fleet.train(ctx, trainer, endSteps) })
	endWatch := make(chan struct{})
	beside.Go(func() { outcome.WentBack = fleet.watchRevisions(endWatch) })

	fmt.Fprintf(output, "  %d nodes die\n", day.Failures)
	for range day.Failures {
		fleet.replaceNode(fleet.pick(random))
		time.Sleep(dayPause)
	}
	fmt.Fprintf(output, "  %d nodes are restarted\n", day.Restarts)
	fleet.restartSome(ctx, day.Restarts, random)
	fmt.Fprintf(output, "  a zone is cut off for %s\n", day.Cut)
	fleet.cutZones(day.Cut, 1)
	time.Sleep(dayPause)
	fmt.Fprintf(output, "  the regions are cut from each other for %s\n", day.Cut)
	cutEnd := make(chan struct{})
	go func() {
		fleet.cutZones(day.Cut, (len(fleet.zones)+fleet.options.Regions-1)/fleet.options.Regions)
		close(cutEnd)
	}()
	outcome.Changes, outcome.RefusedChanges = fleet.changeDuring(ctx, cutEnd)
	healed := time.Now()
	if !Await(ctx, recoverLimit, fleet.Settled) {
		return outcome, errors.Newf("the fleet did not recover within %s: %s", recoverLimit, fleet.unsettled())
	}
	outcome.Recovered = time.Since(healed)
	close(endSteps)
	close(endWatch)
	beside.Wait()
	received, requested := trainer.Received()
	outcome.Verdict = bench.Judge(bench.Evidence{Begun: fleet.site.Truth.Begun(), Produced: fleet.site.Truth.Produced(),
		Received: received, Requested: requested, Bound: experiment.Bound{HasVersions: true, Versions: 2}})
	return outcome, stepError
}

// Write prints the outcome and returns whether it shows no breach.
func (outcome DayOutcome) Write(output io.Writer) bool {
	verdict := outcome.Verdict
	good := verdict.Breaches() == 0 && outcome.WentBack == 0 && verdict.SamplesDelivered > 0
	word := "met"
	if !good {
		word = "not met"
	}
	fmt.Fprintf(output, "  day: %d steps, %d of %d samples, %d breaches, %d nodes went back, recovered after %.1f s; during the region cut %d changes done and %d not: %s\n",
		outcome.Steps, verdict.SamplesDelivered, verdict.SamplesRequested, verdict.Breaches(), outcome.WentBack, outcome.Recovered.Seconds(),
		outcome.Changes, outcome.RefusedChanges, word)
	for _, example := range verdict.Examples {
		fmt.Fprintln(output, "    "+example)
	}
	return good
}

// apis returns some base URLs of running nodes, in random order.
func (fleet *Fleet) apis() []string {
	const some = 5
	var urls []string
	for _, running := range fleet.Nodes() {
		urls = append(urls, running.API())
		if len(urls) == some {
			break
		}
	}
	return urls
}

// train runs steps until told to end, and returns how many became whole.
func (fleet *Fleet) train(ctx context.Context, trainer *bench.Trainer, end <-chan struct{}) (int, error) {
	for number := 0; ; number++ {
		select {
		case <-end:
			return number, nil
		default:
		}
		request := gateway.StepRequest{Step: fmt.Sprintf("day-%d", number), Experiment: "main", GroupSize: daySlots, MaxTokens: 64, Prompts: []string{fmt.Sprintf("prompt %d", number)}}
		if err := trainer.Submit(ctx, request); err != nil {
			return number, err
		}
		if err := trainer.Collect(ctx, request.Step); err != nil {
			return number, err
		}
	}
}

// watchRevisions counts nodes whose configuration goes back within a life.
func (fleet *Fleet) watchRevisions(end <-chan struct{}) int {
	seen := make(map[*bench.RunningNode]uint64)
	wentBack := 0
	for {
		for _, running := range fleet.Nodes() {
			revision := running.Revision()
			if revision < seen[running] {
				wentBack++
			}
			seen[running] = revision
		}
		select {
		case <-end:
			return wentBack
		case <-time.After(dayPause):
		}
	}
}

func (fleet *Fleet) pick(random *rand.Rand) string {
	var identifiers []string
	for id := range fleet.Nodes() {
		identifiers = append(identifiers, id)
	}
	slices.Sort(identifiers)
	return identifiers[random.IntN(len(identifiers))]
}

// replaceNode kills a node for good and starts a new one of another name, with an empty disk if the old one had any.
func (fleet *Fleet) replaceNode(id string) {
	zone := fleet.ZoneOf(id)
	fleet.KillNode(id)
	fleet.ForgetNode(id)
	replacement := id + "r"
	fleet.mu.Lock()
	if folder, stored := fleet.folders[id]; stored {
		fleet.folders[replacement] = folder + "r"
		delete(fleet.folders, id)
	}
	fleet.mu.Unlock()
	if err := fleet.StartNode(replacement, zone); err != nil {
		fleet.options.Logger.Error("no replacement", "node", replacement, "error", err)
	}
}

// restartSome stops nodes as planned and starts them again, a few at a time.
func (fleet *Fleet) restartSome(ctx context.Context, count int, random *rand.Rand) {
	var chosen []string
	for range count {
		chosen = append(chosen, fleet.pick(random))
	}
	for group := range slices.Chunk(chosen, atOnce) {
		var pending sync.WaitGroup
		for _, id := range slices.Compact(slices.Sorted(slices.Values(group))) {
			pending.Go(func() { fleet.restart(ctx, id) })
		}
		pending.Wait()
	}
}

func (fleet *Fleet) restart(ctx context.Context, id string) {
	zone := fleet.ZoneOf(id)
	fleet.mu.Lock()
	running := fleet.nodes[id]
	delete(fleet.nodes, id)
	fleet.mu.Unlock()
	if running == nil {
		return
	}
	stopCtx, cancel := context.WithTimeout(ctx, stopLimit)
	defer cancel()
	_ = running.Stop(stopCtx)
	if err := fleet.StartNode(id, zone); err != nil {
		fleet.options.Logger.Error("no restart", "node", id, "error", err)
	}
}

// cutZones cuts the first zones from all others for a while.
func (fleet *Fleet) cutZones(length time.Duration, zones int) {
	inside := func(host netip.Addr) bool { return int(host.As4()[1]) < zones }
	fleet.memory.SetPartition(func(from, to netip.Addr) bool { return inside(from) != inside(to) })
	time.Sleep(length)
	fleet.memory.SetPartition(nil)
}

// changeDuring makes changes on the side that the platform is on until the channel closes.
func (fleet *Fleet) changeDuring(ctx context.Context, end <-chan struct{}) (done, refused int) {
	for number := 0; ; number++ {
		select {
		case <-end:
			return done, refused
		case <-time.After(time.Second):
		}
		callCtx, cancel := context.WithTimeout(ctx, 2*time.Second)
		_, err := fleet.client.Execute(callCtx, fleet.apis()[0], fmt.Sprintf("alter experiment main age %dm", 100+number))
		cancel()
		if err == nil {
			done++
		} else {
			refused++
		}
	}
}
