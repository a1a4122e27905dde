package weights_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/weights"
)

// suspendable is a clock that advances while the machine is suspended, unlike the steady clock.
type suspendable struct {
	clock.Clock
	suspended atomic.Int64
}

// Elapsed implements clock.Clock.
func (machine *suspendable) Elapsed() time.Duration {
	return machine.Clock.Elapsed() + time.Duration(machine.suspended.Load())
}

// suspend simulates a suspension of the machine, in which the steady clock stands still.
func (machine *suspendable) suspend(duration time.Duration) { machine.suspended.Add(int64(duration)) }

// withTerm runs an election with a suspendable clock and passes its first term to run.
func withTerm(t *testing.T, run func(term *weights.Term, machine *suspendable, store *memstore.Store)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		machine, store := &suspendable{Clock: clock.Monotonic()}, memstore.New()
		election := weights.NewElection(store, "node", electionSettings, log.New(io.Discard))
		election.Clock = machine
		var term atomic.Pointer[weights.Term]
		go election.Run(ctx, func(ctx context.Context, begun *weights.Term) {
			term.Store(begun)
			<-ctx.Done()
		})
		time.Sleep(3 * time.Second)
		run(term.Load(), machine, store)
		cancel()
		time.Sleep(2 * time.Second)
		synctest.Wait()
	})
}

// A holder gives no orders after a suspension until a renewal succeeds, since another node may hold the lease by then.
func TestSuspendedHolderOrdersNothing(t *testing.T) {
	withTerm(t, func(term *weights.Term, machine *suspendable, _ *memstore.Store) {
		must.True(t, term.Valid(0))
		machine.suspend(5 * time.Second)
		must.False(t, term.Valid(0), must.Sprint("immediately, before any timer has fired"))
		must.LessEq(t, 0, term.Remaining())
		time.Sleep(electionSettings.Renew + 10*time.Millisecond)
		must.True(t, term.Valid(0), must.Sprint("the lease was still in force"))
	})
}

// A term counts from before its renewal was sent, also if the machine is suspended until the answer arrives.
func TestSuspensionDuringARenewalCounts(t *testing.T) {
	withTerm(t, func(term *weights.Term, machine *suspendable, store *memstore.Store) {
		store.SetFaults(memstore.Faults{Hang: true})
		time.Sleep(electionSettings.Renew + 50*time.Millisecond) // a renewal is in progress
		machine.suspend(5 * time.Second)
		store.SetFaults(memstore.Faults{})
		must.False(t, term.Valid(0))
	})
}

// An orderer gives no order under its old term after a suspension.
func TestSuspendedOrdererGivesNoOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engines, machine := newEngines(4), &suspendable{Clock: clock.Monotonic()}
		ctx, cancel := context.WithCancel(t.Context())
		store := &nodeStore{Store: memstore.New()}
		orderer := weights.NewOrderer("node", store, engines.table, engines, 0.5, log.New(io.Discard))
		election := weights.NewElection(store, "node", electionSettings, log.New(io.Discard))
		election.Clock = machine
		go election.Run(ctx, orderer.RunTerm)
		time.Sleep(2 * time.Second)
		before := len(engines.accepted())
		machine.suspend(5 * time.Second)
		orderer.SetTarget("m", 2)
		time.Sleep(electionSettings.Renew / 2) // before the next renewal
		must.Eq(t, before, len(engines.accepted()), must.Sprint("the term may be over"))
		time.Sleep(5 * time.Second)
		must.Eq(t, 2, engines.countAt(2), must.Sprint("after the renewal"))
		cancel()
		time.Sleep(3 * time.Second)
		synctest.Wait()
	})
}
