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

// applyEvent executes an event and returns when its failure has ended.
func (world *World) applyEvent(ctx context.Context, event Event) {
	switch event.Kind {
	case CrashNode, LoseNode, StopNode:
		world.restartNode(ctx, event)
	case CutNode, CutZone, CutService:
		world.partitionFor(event)
	case CrashEngine, LeaveEngine:
		world.replaceEngine(event)
	case KeepVersion:
		world.engineFault(event, platform.EngineFaults{IgnoreActivations: true})
	case FreezeEngine:
		world.engineFault(event, platform.EngineFaults{Frozen: true})
	case CutStream:
		world.engineFault(event, platform.EngineFaults{BreakAfterChunks: 1 + event.Target%3})
	case ServiceDown:
		world.serviceFault(event, platform.KeyValueFaults{Down: true})
	case ServiceSlow:
		world.serviceFault(event, platform.KeyValueFaults{Delay: event.Length / delayDivisor})
	case LoseAnswers:
		world.serviceFault(event, platform.KeyValueFaults{LoseResponses: 1 + event.Target%3})
	case ScorerDown:
		world.site.Scorer.SetDown(true)
		time.Sleep(event.Length)
		world.site.Scorer.SetDown(false)
	case Publish:
		world.publish(ctx)
	case RaceOperators:
		world.raceOperators(ctx, event)
	case CallOnce:
		world.callOnce(ctx, event)
	case CallRepeatable:
		world.call(ctx, event.Target, world.newRequestID(), true)
	case CallBurst:
		for index := range burstSize {
			world.events.Go(func() { world.call(ctx, index, world.newRequestID(), true) })
		}
	}
}

const (
	burstSize = 30
	// delayDivisor is the ratio of an event's length to the delay that a slow service adds to each call.
	delayDivisor = 10
	// resendDelay is the delay before a not-repeatable request is sent again.
	resendDelay = 4 * time.Second
)

// reserveNode marks a node as restarting. It returns nil if the node is already restarting or if fewer than two nodes
// would stay up.
func (world *World) reserveNode(target int) *simulatedNode {
	world.mu.Lock()
	defer world.mu.Unlock()
	down := 0
	for _, candidate := range world.nodes {
		if candidate.restarting {
			down++
		}
	}
	chosen := world.nodes[target%len(world.nodes)]
	if chosen.restarting || down >= nodeCount-2 {
		return nil
	}
	chosen.restarting = true
	return chosen
}

// restartNode kills or stops a node and starts it again after the event's length. A LoseNode event also erases the node's
// disk if canLoseDisk permits it.
func (world *World) restartNode(ctx context.Context, event Event) {
	chosen := world.reserveNode(event.Target)
	if chosen == nil {
		return
	}
	running := chosen.running
	if event.Kind == StopNode {
		_ = running.Stop(ctx)
	} else {
		since := time.Now()
		running.Kill()
		world.recordOutage(since, func(candidate *simulatedNode) bool { return candidate == chosen })
	}
	world.mu.Lock()
	chosen.running = nil
	world.mu.Unlock()
	time.Sleep(event.Length)
	if event.Kind == LoseNode && world.canLoseDisk() {
		_ = os.RemoveAll(chosen.folder)
		chosen.diskLosses++
		chosen.folder = filepath.Join(world.folder, fmt.Sprintf("%s-fresh-%d", chosen.id, chosen.diskLosses))
	}
	if err := world.start(chosen); err != nil {
		world.recordBreach("%s did not restart: %v", chosen.id, err)
	}
	world.mu.Lock()
	chosen.restarting = false
	world.mu.Unlock()
}

// canLoseDisk reports whether no disk has been lost in this run. Each sample is guaranteed to be on two disks, so a run may
// lose one of them.
func (world *World) canLoseDisk() bool {
	world.mu.Lock()
	defer world.mu.Unlock()
	lost := 0
	for _, candidate := range world.nodes {
		lost += candidate.diskLosses
	}
	return lost == 0
}

// partitionFor partitions the network for the event's length.
func (world *World) partitionFor(event Event) {
	added := partition{}
	switch event.Kind {
	case CutZone:
		zone := byte(event.Target % zoneCount)
		added.inside = func(host netip.Addr) bool { return host.As4()[1] == zone }
	default:
		chosen := world.nodes[event.Target%len(world.nodes)].host
		added.inside = func(host netip.Addr) bool { return host == chosen }
	}
	if event.Kind == CutService {
		service := externalAddress(serviceHost)
		added.only = func(host netip.Addr) bool { return host == service }
	}
	since := time.Now()
	number := world.addPartition(added)
	time.Sleep(event.Length)
	world.removePartition(number)
	world.recordOutage(since, func(candidate *simulatedNode) bool { return event.Kind != CutService && added.inside(candidate.host) })
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

// replaceEngine starts a new engine in the zone of an existing engine, which then crashes or leaves.
func (world *World) replaceEngine(event Event) {
	world.mu.Lock()
	index := event.Target % len(world.engines)
	replaced := world.engines[index]
	world.mu.Unlock()
	added, err := world.site.AddEngine(replaced.Zone)
	if err != nil {
		world.recordBreach("replacement engine did not start: %v", err)
		return
	}
	world.mu.Lock()
	world.engines[index] = added
	world.mu.Unlock()
	if event.Kind == CrashEngine {
		replaced.Crash()
		world.site.Machines.Remove(replaced.ID)
		return
	}
	replaced.Model.Leave()
	leaving := machines.Machine{ID: replaced.ID, Address: replaced.Address, Zone: replaced.Zone.Name, Region: replaced.Zone.Region, Role: machines.RoleEngine, Leaving: true}
	world.site.Machines.Put(leaving)
}

func (world *World) serviceFault(event Event, faults platform.KeyValueFaults) {
	world.site.KeyValue.SetFaults(faults)
	time.Sleep(event.Length)
	world.site.KeyValue.SetFaults(platform.KeyValueFaults{})
}

// publish publishes the next version as the trainer and swaps to it as an operator.
func (world *World) publish(ctx context.Context) {
	world.mu.Lock()
	world.version++
	version := world.version
	world.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	if err := world.trainer.Publish(ctx, policyName, version); err != nil && result.CodeOf(err) != result.ConflictRevision {
		return
	}
	world.command(ctx, 0, fmt.Sprintf("swap policy %s to %d", policyName, version))
}

// swapToNewest swaps to the newest version and retries until the swap succeeds, since earlier swaps may have failed.
func (world *World) swapToNewest(ctx context.Context) {
	world.mu.Lock()
	text := fmt.Sprintf("swap policy %s to %d", policyName, world.version)
	world.mu.Unlock()
	for ctx.Err() == nil {
		for _, api := range world.apis() {
			callCtx, cancel := context.WithTimeout(ctx, commandTimeout)
			_, err := world.clients[operatorHost].Execute(callCtx, api, text)
			cancel()
			if err == nil {
				return
			}
		}
		time.Sleep(pollInterval)
	}
}

// raceOperators concurrently sends two conflicting commands to two nodes.
func (world *World) raceOperators(ctx context.Context, event Event) {
	for index, text := range []string{
		fmt.Sprintf("alter experiment %s age %ds", experimentName, 1000+event.Target),
		fmt.Sprintf("alter experiment %s age %ds", experimentName, 2000+event.Target),
	} {
		world.events.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, commandTimeout)
			defer cancel()
			world.command(ctx, index, text)
		})
	}
}

// CommandRecord is a command and the answer that its sender received.
type CommandRecord struct {
	Text     string
	Sent     time.Time
	Answered time.Time
	Code     result.Code // zero if no answer arrived
	Revision uint64
}

// command sends a command once and records the answer.
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

// newRequestID returns a version 7 UUID with the virtual time. uuid.NewV7 cannot be used here: its timestamps never
// decrease within a process, while the virtual clock starts anew with each run.
func (world *World) newRequestID() string {
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
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	world.callers.Send(ctx, apis[target%len(apis)], requestID, "call "+requestID, 40, repeatable)
}

// callOnce sends a not-repeatable request to two nodes concurrently, and again after resendDelay.
func (world *World) callOnce(ctx context.Context, event Event) {
	requestID := world.newRequestID()
	for index := range 2 {
		world.events.Go(func() { world.call(ctx, event.Target+index, requestID, false) })
	}
	time.Sleep(resendDelay)
	world.call(ctx, event.Target+1, requestID, false)
}
