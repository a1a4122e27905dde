package simulation

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/google/uuid"

	"github.com/thistlewalk/thistlewalk/internal/gateway"
	"github.com/thistlewalk/thistlewalk/internal/lab/bench"
	"github.com/thistlewalk/thistlewalk/internal/lab/platform"
	"github.com/thistlewalk/thistlewalk/internal/machines"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

// happen does one event and returns when it is over.
func (world *World) happen(ctx context.Context, event Event) {
	switch event.Kind {
	case CrashNode, LoseNode, StopNode:
		world.downNode(ctx, event)
	case CutNode, CutZone, CutService:
		world.cutFor(event)
	case CrashEngine, LeaveEngine:
		world.replaceEngine(event)
	case KeepVersion:
		world.engineFault(event, platform.EngineFaults{KeepVersion: true})
	case FreezeEngine:
		world.engineFault(event, platform.EngineFaults{Frozen: true})
	case CutStream:
		world.engineFault(event, platform.EngineFaults{CutAfterChunks: 1 + event.Target%3})
	case ServiceDown:
		world.serviceFault(event, platform.KeyValueFaults{Down: true})
	case ServiceSlow:
		world.serviceFault(event, platform.KeyValueFaults{Delay: event.Length / slowShare})
	case LoseAnswers:
		world.serviceFault(event, platform.KeyValueFaults{LoseAnswers: 1 + event.Target%3})
	case ScorerDown:
		world.site.Scorer.SetDown(true)
		time.Sleep(event.Length)
		world.site.Scorer.SetDown(false)
	case Publish:
		world.publish(ctx)
	case RaceOperators:
		world.race(ctx, event)
	case CallOnce:
		world.callOnce(ctx, event)
	case CallRepeatable:
		world.call(ctx, event.Target, world.identifier(), true)
	case CallBurst:
		for index := range burst {
			world.events.Go(func() { world.call(ctx, index, world.identifier(), true) })
		}
	}
}

const (
	burst = 30
	// slowShare makes the service's delay from an event's length.
	slowShare = 10
	// repeatAfter is when a not-repeatable request is sent again.
	repeatAfter = 4 * time.Second
)

// claimNode marks a running node as going down; nil when it is already or when it would be the third of four.
func (world *World) claimNode(target int) *simulated {
	world.mu.Lock()
	defer world.mu.Unlock()
	down := 0
	for _, candidate := range world.nodes {
		if candidate.busy {
			down++
		}
	}
	chosen := world.nodes[target%len(world.nodes)]
	if chosen.busy || down >= nodeCount-2 {
		return nil
	}
	chosen.busy = true
	return chosen
}

// downNode takes a node down and starts it again after a while.
func (world *World) downNode(ctx context.Context, event Event) {
	chosen := world.claimNode(event.Target)
	if chosen == nil {
		return
	}
	running := chosen.running
	if event.Kind == StopNode {
		_ = running.Stop(ctx)
	} else {
		since := time.Now()
		running.Kill()
		world.excuse(since, func(candidate *simulated) bool { return candidate == chosen })
	}
	world.mu.Lock()
	chosen.running = nil
	world.mu.Unlock()
	time.Sleep(event.Length)
	if event.Kind == LoseNode && world.diskMayGo() {
		_ = os.RemoveAll(chosen.folder)
		chosen.fresh++
		chosen.folder = filepath.Join(world.folder, fmt.Sprintf("%s-fresh-%d", chosen.id, chosen.fresh))
	}
	if err := world.start(chosen); err != nil {
		world.breach("%s did not start again: %v", chosen.id, err)
	}
	world.mu.Lock()
	chosen.busy = false
	world.mu.Unlock()
}

// diskMayGo allows one lost disk a history: a sample is on two disks of three.
func (world *World) diskMayGo() bool {
	world.mu.Lock()
	defer world.mu.Unlock()
	lost := 0
	for _, candidate := range world.nodes {
		lost += candidate.fresh
	}
	return lost == 0
}

func (world *World) cutFor(event Event) {
	added := cut{}
	switch event.Kind {
	case CutZone:
		zone := byte(event.Target % zoneCount)
		added.inside = func(host netip.Addr) bool { return host.As4()[1] == zone }
	default:
		chosen := world.nodes[event.Target%len(world.nodes)].host
		added.inside = func(host netip.Addr) bool { return host == chosen }
	}
	if event.Kind == CutService {
		service := outside(serviceHost)
		added.only = func(host netip.Addr) bool { return host == service }
	}
	since := time.Now()
	number := world.beginCut(added)
	time.Sleep(event.Length)
	world.endCut(number)
	world.excuse(since, func(candidate *simulated) bool { return event.Kind != CutService && added.inside(candidate.host) })
}

func (world *World) engine(target int) *bench.RunningEngine {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.engines[target%len(world.engines)]
}

func (world *World) engineFault(event Event, faults platform.EngineFaults) {
	chosen := world.engine(event.Target)
	chosen.Model.SetFaults(faults)
	time.Sleep(event.Length)
	chosen.Model.SetFaults(platform.EngineFaults{})
}

// replaceEngine crashes an engine or has it leave, and starts another in its zone.
func (world *World) replaceEngine(event Event) {
	world.mu.Lock()
	index := event.Target % len(world.engines)
	gone := world.engines[index]
	world.mu.Unlock()
	added, err := world.site.AddEngine(gone.Zone)
	if err != nil {
		world.breach("no new engine: %v", err)
		return
	}
	world.mu.Lock()
	world.engines[index] = added
	world.mu.Unlock()
	if event.Kind == CrashEngine {
		gone.Crash()
		world.site.Machines.Remove(gone.ID)
		return
	}
	gone.Model.Leave()
	leaving := machines.Machine{ID: gone.ID, Address: gone.Address, Zone: gone.Zone.Name, Region: gone.Zone.Region, Role: machines.RoleEngine, Leaving: true}
	world.site.Machines.Put(leaving)
}

func (world *World) serviceFault(event Event, faults platform.KeyValueFaults) {
	world.site.KeyValue.SetFaults(faults)
	time.Sleep(event.Length)
	world.site.KeyValue.SetFaults(platform.KeyValueFaults{})
}

// publish has the trainer publish a version, and an operator swap to it.
func (world *World) publish(ctx context.Context) {
	world.mu.Lock()
	world.version++
	version := world.version
	world.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, prepareLimit)
	defer cancel()
	if err := world.trainer.Publish(ctx, policyName, version); err != nil && result.CodeOf(err) != result.ConflictRevision {
		return
	}
	world.command(ctx, 0, fmt.Sprintf("swap policy %s to %d", policyName, version))
}

// swapToNewest has an operator swap to the newest version until it is done: swaps may have failed before.
func (world *World) swapToNewest(ctx context.Context) {
	world.mu.Lock()
	text := fmt.Sprintf("swap policy %s to %d", policyName, world.version)
	world.mu.Unlock()
	for ctx.Err() == nil {
		for _, api := range world.apis() {
			callCtx, cancel := context.WithTimeout(ctx, prepareLimit)
			_, err := world.clients[operatorHost].Execute(callCtx, api, text)
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(watchPause)
	}
}

// race sends clashing commands by two operators to two nodes at one time.
func (world *World) race(ctx context.Context, event Event) {
	for index, text := range []string{
		fmt.Sprintf("alter experiment %s age %ds", experimentName, 1000+event.Target),
		fmt.Sprintf("alter experiment %s age %ds", experimentName, 2000+event.Target),
	} {
		world.events.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, prepareLimit)
			defer cancel()
			world.command(ctx, index, text)
		})
	}
}

// CommandRecord is one command as its sender saw it.
type CommandRecord struct {
	Text     string
	Sent     time.Time
	Answered time.Time
	Code     result.Code // zero without an answer
	Revision uint64
}

// command sends a command once and records what came of it.
func (world *World) command(ctx context.Context, target int, text string) {
	apis := world.apis()
	if len(apis) == 0 {
		return
	}
	record := CommandRecord{Text: text, Sent: time.Now()}
	var answer gateway.CommandResponse
	err := world.clients[operatorHost].Call(ctx, apis[target%len(apis)]+"/v1/commands", gateway.CommandRequest{Text: text}, &answer)
	record.Answered = time.Now()
	if err == nil && len(answer.Statements) == 1 {
		record.Code = result.Code(answer.Statements[0].Code)
		record.Revision = answer.Statements[0].Revision
	}
	world.mu.Lock()
	defer world.mu.Unlock()
	world.commands = append(world.commands, record)
}

// identifier makes a UUID of version 7 of the modelled time: that of the library never goes back between histories.
func (world *World) identifier() string {
	identifier := uuid.New()
	milliseconds := time.Now().UnixMilli()
	const timeBytes = 6
	for index := range timeBytes {
		identifier[index] = byte(milliseconds >> (8 * (timeBytes - 1 - index)))
	}
	identifier[timeBytes] = 0x70 | identifier[timeBytes]&0x0f
	return identifier.String()
}

func (world *World) call(ctx context.Context, target int, requestID string, repeatable bool) {
	apis := world.apis()
	if len(apis) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, prepareLimit)
	defer cancel()
	world.callers.Send(ctx, apis[target%len(apis)], requestID, "call "+requestID, 40, repeatable)
}

// callOnce sends a not-repeatable request to two nodes at one time, and again later.
func (world *World) callOnce(ctx context.Context, event Event) {
	requestID := world.identifier()
	for index := range 2 {
		world.events.Go(func() { world.call(ctx, event.Target+index, requestID, false) })
	}
	time.Sleep(repeatAfter)
	world.call(ctx, event.Target+1, requestID, false)
}
