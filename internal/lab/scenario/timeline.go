package scenario

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/lab/bench"
	"github.com/thistlewalk/thistlewalk/internal/lab/platform"
)

// Event is an event of a run, such as a completed step or an injected failure.
type Event struct {
	At   time.Duration
	What string
}

// Point is the state of the engines at one time.
type Point struct {
	At              time.Duration
	TokensPerSecond float64
	Queued          int
	// EnginesOnNewest is the number of engines that run the newest version.
	EnginesOnNewest int
}

// Timeline holds the points and events of a run in order of time.
type Timeline struct {
	Points []Point
	Events []Event
}

func (scenario *run) recordEvent(format string, arguments ...any) {
	scenario.mu.Lock()
	defer scenario.mu.Unlock()
	scenario.timeline.Events = append(scenario.timeline.Events, Event{At: time.Since(scenario.began), What: fmt.Sprintf(format, arguments...)})
}

const sampleInterval = time.Second

// sampleTimeline records the state of the engines once per sampleInterval of virtual time.
func (scenario *run) sampleTimeline(ctx context.Context) {
	before := int64(0)
	for ctx.Err() == nil {
		tokens, queued, newest := int64(0), 0, 0
		scenario.mu.Lock()
		version := scenario.version
		scenario.mu.Unlock()
		for _, engine := range scenario.site.Engines() {
			produced, _ := engine.Model.Totals()
			tokens += produced
			queued += engine.Model.Waiting()
			if engine.Model.Active(policyName) == version {
				newest++
			}
		}
		scenario.mu.Lock()
		scenario.timeline.Points = append(scenario.timeline.Points, Point{At: time.Since(scenario.began),
			TokensPerSecond: float64(tokens-before) / sampleInterval.Seconds(), Queued: queued, EnginesOnNewest: newest})
		scenario.mu.Unlock()
		before = tokens
		select {
		case <-ctx.Done():
		case <-time.After(sampleInterval):
		}
	}
}

// injectFailure waits until the failure is due and injects it.
func (scenario *run) injectFailure(ctx context.Context, failure Failure) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(failure.At):
	}
	scenario.recordEvent("%s %d", failure.Kind, failure.Target)
	engines := scenario.site.Engines()
	engine := engines[failure.Target%len(engines)]
	switch failure.Kind {
	case "crash-engine":
		engine.Crash()
		scenario.site.Machines.Remove(engine.ID)
		if _, err := scenario.site.AddEngine(engine.Zone); err != nil {
			scenario.logger.Error("replacement engine cannot be started", "error", err)
		}
	case "crash-node", "stop-node":
		scenario.removeNode(ctx, failure)
	case "service-down":
		scenario.serviceFault(failure, platform.KeyValueFaults{Down: true})
	case "lose-answers":
		scenario.serviceFault(failure, platform.KeyValueFaults{LoseResponses: 3})
	case "keep-version":
		engine.Model.SetFaults(platform.EngineFaults{IgnoreActivations: true})
		time.Sleep(failure.Length)
		engine.Model.SetFaults(platform.EngineFaults{})
	case "cut-zone":
		zone := byte(failure.Target % len(scenario.spec.Zones))
		inside := func(host netip.Addr) bool { return host.As4()[1] == zone }
		since := time.Now()
		scenario.memory.SetPartition(func(from, to netip.Addr) bool { return inside(from) != inside(to) })
		time.Sleep(failure.Length)
		scenario.memory.SetPartition(nil)
		for _, running := range scenario.nodes {
			scenario.recordOutage(running, since)
		}
	}
}

func (scenario *run) serviceFault(failure Failure, faults platform.KeyValueFaults) {
	scenario.site.KeyValue.SetFaults(faults)
	time.Sleep(failure.Length)
	scenario.site.KeyValue.SetFaults(platform.KeyValueFaults{})
}

func (scenario *run) recordOutage(running *bench.RunningNode, since time.Time) {
	scenario.mu.Lock()
	defer scenario.mu.Unlock()
	scenario.outages = append(scenario.outages, bench.Outage{Node: running.API(), From: since, To: time.Now()})
}

// removeNode kills or stops a node, which is not restarted.
func (scenario *run) removeNode(ctx context.Context, failure Failure) {
	index := failure.Target % len(scenario.nodes)
	running := scenario.nodes[index]
	scenario.mu.Lock()
	scenario.down[index] = true
	scenario.mu.Unlock()
	if failure.Kind == "stop-node" {
		_ = running.Stop(ctx)
		return
	}
	since := time.Now()
	running.Kill()
	scenario.recordOutage(running, since)
	scenario.site.Machines.Remove(running.Settings.Node.ID)
}
