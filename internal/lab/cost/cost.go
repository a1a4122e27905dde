// Package cost measures the latency that a node adds to a call of an engine, and the goodput of a node under overload.
// It runs over loopback in real time.
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

// Options configures a measurement.
type Options struct {
	Length time.Duration // duration of each phase
	Logger *log.Logger
	Output io.Writer
}

const (
	engines           = 4
	peakWorkers       = 64
	overloadFactor    = 5
	tokens            = 8
	experimentName    = "main"
	readyTimeout      = 20 * time.Second
	maxLatencyMicros  = 60_000_000
	significantDigits = 3
	minGoodputShare   = 0.9
	maxAddedLatency   = time.Millisecond
	// nodeConcurrency is the number of requests that the node admits, which equals the total capacity of the engines.
	nodeConcurrency = 64
)

// callFunc sends one request and returns its result code.
type callFunc func(ctx context.Context) result.Code

// measurement is a running system with one node.
type measurement struct {
	options    Options
	site       *bench.Site
	running    *bench.RunningNode
	client     *bench.Client
	direct     *engine.HTTP
	nextEngine atomic.Uint64
}

// Tokens per second of the engines. With fast engines the overhead of the node is visible; with slow engines their capacity
// limits the throughput.
const (
	fastTokens = 2000
	slowTokens = 80
)

// Run measures the added latency and the goodput under overload, and reports whether both targets are met: the node adds
// less than maxAddedLatency at the 99th percentile at half load, and at overloadFactor times the peak load the goodput is at
// least minGoodputShare of the peak and each other call is refused as not run.
func Run(ctx context.Context, options Options) (bool, error) {
	added, err := runMeasurement(ctx, options, fastTokens, (*measurement).addedLatency)
	if err != nil {
		return false, err
	}
	goodput, err := runMeasurement(ctx, options, slowTokens, (*measurement).overload)
	return added && goodput, err
}

// runMeasurement starts a system, warms it up and runs one measurement on it.
func runMeasurement(ctx context.Context, options Options, tokensPerSecond float64, measure func(*measurement, context.Context) bool) (bool, error) {
	measured := &measurement{options: options}
	defer measured.close()
	if err := measured.start(ctx, tokensPerSecond); err != nil {
		return false, err
	}
	measured.closedLoop(ctx, measured.callNode, options.Length/2) // warm-up
	return measure(measured, ctx), nil
}

// addedLatency compares the latency of direct calls to engines with that of calls through the node.
func (measured *measurement) addedLatency(ctx context.Context) bool {
	length, output := measured.options.Length, measured.options.Output
	peakDirect := measured.closedLoop(ctx, measured.callEngine, length)
	peak := measured.closedLoop(ctx, measured.callNode, length)
	fmt.Fprintf(output, "throughput: %.0f calls/s at the engines, %.0f through the node, %d callers\n", peakDirect.rate, peak.rate, peakWorkers)
	direct := measured.openLoop(ctx, measured.callEngine, peak.rate/2)
	through := measured.openLoop(ctx, measured.callNode, peak.rate/2)
	added50 := through.latency.ValueAtQuantile(50) - direct.latency.ValueAtQuantile(50)
	added99 := through.latency.ValueAtQuantile(99) - direct.latency.ValueAtQuantile(99)
	met := time.Duration(added99)*time.Microsecond < maxAddedLatency
	fmt.Fprintf(output, "at half load (%.0f/s): direct p50 %d us, p99 %d us; through the node p50 %d us, p99 %d us; added %d us and %d us: %s\n",
		peak.rate/2, direct.latency.ValueAtQuantile(50), direct.latency.ValueAtQuantile(99), through.latency.ValueAtQuantile(50),
		through.latency.ValueAtQuantile(99), added50, added99, verdict(met))
	return met
}

// overload measures the goodput at overloadFactor times the load that the engines can serve.
func (measured *measurement) overload(ctx context.Context) bool {
	peak := measured.closedLoop(ctx, measured.callNode, measured.options.Length)
	over := measured.openLoop(ctx, measured.callNode, peak.rate*overloadFactor)
	met := over.rate >= minGoodputShare*peak.rate && over.other == 0
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
			ChunkTokens: tokens, RoundInterval: time.Millisecond, Lengths: platform.Lengths{Median: tokens}, ReportLag: 100 * time.Millisecond}},
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
	deadline := time.Now().Add(readyTimeout)
	for measured.callNode(ctx) != result.Done {
		if time.Now().After(deadline) {
			return errors.New("the node did not become ready in time")
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

func (measured *measurement) callNode(ctx context.Context) result.Code {
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

func (measured *measurement) callEngine(ctx context.Context) result.Code {
	chosen := measured.site.Engines()[measured.nextEngine.Add(1)%engines]
	request := engine.Request{RequestID: uuid.NewString(), Attempt: 1, Policy: "p", Prompt: "a prompt", MaxTokens: tokens}
	err := measured.direct.Stream(ctx, chosen.Address, request, func(rollout.Chunk) error { return nil })
	if errors.Is(err, engine.ErrNotAccepted) {
		return result.NotRunRefused
	}
	return result.CodeOf(err)
}

// outcome is the result of a phase.
type outcome struct {
	rate    float64 // completed calls per second
	latency *hdrhistogram.Histogram
	notRun  int
	other   int
}

// tally counts results. Its record method is safe for concurrent use.
type tally struct {
	mu      sync.Mutex
	done    int
	outcome outcome
}

func newTally() *tally {
	return &tally{outcome: outcome{latency: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}}
}

func (tally *tally) record(code result.Code, took time.Duration) {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	switch code.Class() {
	case result.ClassDone:
		tally.done++
		_ = tally.outcome.latency.RecordValue(min(took.Microseconds(), maxLatencyMicros))
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

func timed(ctx context.Context, tally *tally, call callFunc) {
	began := time.Now()
	code := call(ctx)
	tally.record(code, time.Since(began))
}

// closedLoop runs peakWorkers workers, each of which sends its next call when the previous one has returned.
func (measured *measurement) closedLoop(ctx context.Context, call callFunc, length time.Duration) outcome {
	tally := newTally()
	began := time.Now()
	var workers sync.WaitGroup
	for range peakWorkers {
		workers.Go(func() {
			for time.Since(began) < length && ctx.Err() == nil {
				timed(ctx, tally, call)
			}
		})
	}
	workers.Wait()
	return tally.finish(time.Since(began))
}

// openLoop sends calls at a fixed rate without waiting for earlier calls.
func (measured *measurement) openLoop(ctx context.Context, call callFunc, perSecond float64) outcome {
	tally := newTally()
	began := time.Now()
	var pending sync.WaitGroup
	for sent := 0; ; sent++ {
		due := began.Add(time.Duration(float64(sent) / perSecond * float64(time.Second)))
		if due.Sub(began) > measured.options.Length || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(due))
		pending.Go(func() { timed(ctx, tally, call) })
	}
	pending.Wait()
	return tally.finish(time.Since(began))
}
