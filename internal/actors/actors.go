// Package actors runs the periodic tasks of a node as supervised protoactor-go actors. An actor runs its task at an interval
// and when woken, one run at a time. It is restarted after a panic.
package actors

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
)

// System is the actor system of one node.
type System struct {
	system  *actor.ActorSystem
	context context.Context
	cancel  context.CancelFunc
	mu      sync.Mutex
	handles []*Handle
}

// NewSystem returns an actor system that logs to the logger.
func NewSystem(logger *slog.Logger) *System {
	system := actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return logger }))
	ctx, cancel := context.WithCancel(context.Background())
	return &System{system: system, context: ctx, cancel: cancel}
}

// Handle is a reference to one actor.
type Handle struct {
	system      *System
	pid         *actor.PID
	mu          sync.Mutex
	timer       *time.Timer
	closed      bool
	wakePending atomic.Bool // a tick sent by Wake is in the mailbox
}

type tick struct{}

type worker struct {
	handle   *Handle
	interval func() time.Duration
	work     func(ctx context.Context)
}

// Receive implements actor.Actor.
func (worker *worker) Receive(message actor.Context) {
	switch message.Message().(type) {
	case *actor.Started:
		worker.handle.schedule(message.Self(), worker.interval())
	case *tick:
		if worker.handle.system.context.Err() != nil {
			return
		}
		worker.handle.wakePending.Store(false)
		worker.work(worker.handle.system.context)
		worker.handle.schedule(message.Self(), worker.interval())
	}
}

// schedule sets the timer of the next tick and replaces a pending one.
func (handle *Handle) schedule(pid *actor.PID, interval time.Duration) {
	handle.mu.Lock()
	defer handle.mu.Unlock()
	if handle.closed {
		return
	}
	if handle.timer != nil {
		handle.timer.Stop()
	}
	handle.timer = time.AfterFunc(interval, func() { handle.system.system.Root.Send(pid, &tick{}) })
}

// Wake makes the actor run its task as soon as possible, without waiting for the interval.
func (handle *Handle) Wake() {
	if handle.wakePending.CompareAndSwap(false, true) {
		handle.system.system.Root.Send(handle.pid, &tick{})
	}
}

// Every starts an actor that runs work repeatedly. interval is called at the start and after each run, and returns the time
// until the next one.
func (system *System) Every(name string, interval func() time.Duration, work func(ctx context.Context)) *Handle {
	handle := &Handle{system: system}
	strategy := actor.NewOneForOneStrategy(math.MaxInt32, 0, func(any) actor.Directive { return actor.RestartDirective })
	props := actor.PropsFromProducer(func() actor.Actor {
		return &worker{handle: handle, interval: interval, work: work}
	}, actor.WithGuardian(strategy))
	handle.pid = system.system.Root.SpawnPrefix(props, name)
	system.mu.Lock()
	system.handles = append(system.handles, handle)
	system.mu.Unlock()
	return handle
}

// Fixed returns a function for Every that always returns the same interval.
func Fixed(interval time.Duration) func() time.Duration {
	return func() time.Duration { return interval }
}

// Stop cancels the context of running tasks and waits until every actor has stopped.
func (system *System) Stop() {
	system.cancel()
	system.mu.Lock()
	handles := system.handles
	system.mu.Unlock()
	for _, handle := range handles {
		handle.mu.Lock()
		handle.closed = true
		if handle.timer != nil {
			handle.timer.Stop()
		}
		handle.mu.Unlock()
	}
	for _, handle := range handles {
		_ = system.system.Root.StopFuture(handle.pid).Wait()
	}
	system.system.Shutdown()
}
