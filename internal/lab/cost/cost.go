// Package cost measures, over loopback and in real time, what a node adds to a call of an engine, and how it does under
// more load than it can serve.
package cost

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/thistlewalk/thistlewalk/internal/engine"
	"github.com/thistlewalk/thistlewalk/internal/lab/bench"
	"github.com/thistlewalk/thistlewalk/internal/lab/platform"
	"github.com/thistlewalk/thistlewalk/internal/network"
	"github.com/thistlewalk/thistlewalk/internal/node"
	"github.com/thistlewalk/thistlewalk/internal/result"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
	"github.com/thistlewalk/thistlewalk/internal/settings"
)

// Options of a measurement.
type Options struct {
	Length time.Duration // of each phase
	Logger *log.Logger
	Output io.Writer
}

const (
	engines        = 4
	peakWorkers    = 64
	overloadFactor = 5
	tokens         = 8
	experimentName = "main"
	readyLimit     = 20 * time.Second
	maximumMicros  = 60_000_000
	digits         = 3
	goodputShare   = 0.9
	addedBudget    = time.Millisecond
	// nodeConcurrency is what the node admits: what the engines can run.
	nodeConcurrency = 64
)

// call makes one request; its outcome is a result code.
type call func(ctx context.Context) result.Code

// measurement is one running system.
type measurement struct {
	options Options
	site    *bench.Site
	running *bench.RunningNode
	client  *bench.Client
	direct  *engine.HTTP
	next    atomic.Uint64
}

// Token rates of the engines: fast ones show what the node costs, slow ones make their capacity the limit.
const (
	fastTokens = 2000
	slowTokens = 80
)

// Run measures and returns whether both aims are met: less than a millisecond added at the 99th percentile at half load,
// and at least nine tenths of the peak's goodput at five times its load.
func Run(ctx context.Context, options Options) (bool, error) {
	added, err := with(ctx, options, fastTokens, (*measurement).addedLatency)
	if err != nil {
		return false, err
	}
	goodput, err := with(ctx, options, slowTokens, (*measurement).overload)
	return added && goodput, err
}

// with runs one measurement on a system of its own.
func with(ctx context.Context, options Options, tokensPerSecond float64, measure func(*measurement, context.Context) bool) (bool, error) {
	measured := &measurement{options: options}
	defer measured.close()
	if err := measured.start(ctx, tokensPerSecond); err != nil {
		return false, err
	}
	measured.closedLoop(ctx, measured.throughNode, options.Length/2) // warm up
	return measure(measured, ctx), nil
}

// addedLatency compares calls at the engines with calls through the node.
func (measured *measurement) addedLatency(ctx context.Context) bool {
	length, output := measured.options.Length, measured.options.Output
	peakDirect := measured.closedLoop(ctx, measured.throughEngine, length)
	peak := measured.closedLoop(ctx, measured.throughNode, length)
	fmt.Fprintf(output, "throughput: %.0f calls/s at the engines, %.0f through the node, %d callers\n", peakDirect.rate, peak.rate, peakWorkers)
	direct := measured.openLoop(ctx, measured.throughEngine, peak.rate/2)
	through := measured.openLoop(ctx, measured.throughNode, peak.rate/2)
	added50 := through.latency.ValueAtQuantile(50) - direct.latency.ValueAtQuantile(50)
	added99 := through.latency.ValueAtQuantile(99) - direct.latency.ValueAtQuantile(99)
	met := time.Duration(added99)*time.Microsecond < addedBudget
	fmt.Fprintf(output, "at half load (%.0f/s): direct p50 %d us, p99 %d us; through the node p50 %d us, p99 %d us; added %d us and %d us: %s\n",
		peak.rate/2, direct.latency.ValueAtQuantile(50), direct.latency.ValueAtQuantile(99), through.latency.ValueAtQuantile(50),
		through.latency.ValueAtQuantile(99), added50, added99, verdict(met))
	return met
}

// overload offers a multiple of what the engines can serve.
func (measured *measurement) overload(ctx context.Context) bool {
	peak := measured.closedLoop(ctx, measured.throughNode, measured.options.Length)
	over := measured.openLoop(ctx, measured.throughNode, peak.rate*overloadFactor)
	met := over.rate >= goodputShare*peak.rate && over.other == 0
	fmt.Fprintf(measured.options.Output, "at %dx the peak of %.0f/s: goodput %.0f/s (%.0f%% of the peak), %d refused as not run, %d other outcomes: %s\n",
		overloadFactor, peak.rate, over.rate, 100*over.rate/peak.rate, over.notRun, over.other, verdict(met))
	return met
}

func verdict(met bool) string {
	if met {
		return "met"
	}
	return "not met"
}

func (measured *measurement) start(ctx context.Context, tokensPerSecond float64) error {
	tcp := network.NewTCP(time.Second)
	zone := bench.Zone{Name: "zone", Region: "region", Engines: engines}
	var err error
	measured.site, err = bench.NewSite(bench.SiteSettings{Zones: []bench.Zone{zone}, KeyValuePerSecond: 200, WeightsPerSecond: 100,
		Engine: platform.EngineSettings{Capacity: nodeConcurrency / engines, TokensPerSecond: tokensPerSecond, PrefillPerSecond: 1e7, CachedPrefixes: 64,
			ChunkTokens: tokens, RoundTime: time.Millisecond, Lengths: platform.Lengths{Median: tokens}, ReportLag: 100 * time.Millisecond}},
		tcp, bench.LoopbackAddresses, measured.options.Logger)
	if err != nil {
		return err
	}
	measured.running, err = measured.site.StartNode("node", zone, "", node.Networks{Control: tcp, Data: tcp}, measured.options.Logger, 1, func(config *settings.Settings) {
		config.Admission.Concurrency = nodeConcurrency
		config.Admission.Queue = nodeConcurrency
		config.Replicas.PollInterval = 200 * time.Millisecond
	})
	if err != nil {
		return err
	}
	measured.client = bench.NewClient(network.NewClient(tcp, time.Minute, network.Connections{PerHost: 1024}))
	measured.direct = engine.NewHTTP(network.NewClient(tcp, time.Minute, network.Connections{PerHost: 1024}))
	if _, err := measured.client.Execute(ctx, measured.running.API(), "add policy p version 1; create experiment main with p share 100"); err != nil {
		return err
	}
	deadline := time.Now().Add(readyLimit)
	for measured.throughNode(ctx) != result.Done {
		if time.Now().After(deadline) {
			return errors.New("the node does not serve")
		}
	}
	return nil
}

func (measured *measurement) close() {
	if measured.running != nil {
		measured.running.Kill()
	}
	if measured.site != nil {
		measured.site.Close()
	}
}

func (measured *measurement) throughNode(ctx context.Context) result.Code {
	var answer struct {
		Choices []struct{} `json:"choices"`
	}
	body := struct {
		Model     string `json:"model"`
		Prompt    string `json:"prompt"`
		MaxTokens int    `json:"max_tokens"`
	}{experimentName, "a prompt", tokens}
	return result.CodeOf(measured.client.Call(ctx, measured.running.API()+"/v1/completions", body, &answer))
}

func (measured *measurement) throughEngine(ctx context.Context) result.Code {
	chosen := measured.site.Engines()[measured.next.Add(1)%engines]
	request := engine.Request{RequestID: uuid.NewString(), Attempt: 1, Policy: "p", Prompt: "a prompt", MaxTokens: tokens}
	err := measured.direct.Stream(ctx, chosen.Address, request, func(rollout.Chunk) error { return nil })
	if errors.Is(err, engine.ErrNotAccepted) {
		return result.NotRunRefused
	}
	return result.CodeOf(err)
}

// outcome of a phase.
type outcome struct {
	rate    float64 // calls done a second
	latency *hdrhistogram.Histogram
	notRun  int
	other   int
}

// tally collects outcomes from many goroutines.
type tally struct {
	mu      sync.Mutex
	done    int
	outcome outcome
}

func newTally() *tally {
	return &tally{outcome: outcome{latency: hdrhistogram.New(1, maximumMicros, digits)}}
}

func (tally *tally) note(code result.Code, took time.Duration) {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	switch code.Class() {
	case result.ClassDone:
		tally.done++
		_ = tally.outcome.latency.RecordValue(min(took.Microseconds(), maximumMicros))
	case result.ClassNotRun:
		tally.outcome.notRun++
	default:
		tally.outcome.other++
	}
}

func (tally *tally) finish(length time.Duration) outcome {
	tally.outcome.rate = float64(tally.done) / length.Seconds()
	return tally.outcome
}

func timed(ctx context.Context, tally *tally, make call) {
	began := time.Now()
	code := make(ctx)
	tally.note(code, time.Since(began))
}

// closedLoop keeps a fixed number of callers busy.
func (measured *measurement) closedLoop(ctx context.Context, make call, length time.Duration) outcome {
	tally := newTally()
	began := time.Now()
	var workers sync.WaitGroup
	for range peakWorkers {
		workers.Go(func() {
			for time.Since(began) < length && ctx.Err() == nil {
				timed(ctx, tally, make)
			}
		})
	}
	workers.Wait()
	return tally.finish(time.Since(began))
}

// openLoop sends calls at a rate, whether or not earlier ones were answered.
func (measured *measurement) openLoop(ctx context.Context, make call, perSecond float64) outcome {
	tally := newTally()
	began := time.Now()
	var pending sync.WaitGroup
	for sent := 0; ; sent++ {
		due := began.Add(time.Duration(float64(sent) / perSecond * float64(time.Second)))
		if due.Sub(began) > measured.options.Length || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		pending.Go(func() { timed(ctx, tally, make) })
	}
	pending.Wait()
	return tally.finish(time.Since(began))
}
