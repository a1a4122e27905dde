package weights_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/weights"
)

// succession is a holder that is killed while an order of its is held up, and what follows.
type succession struct {
	name string
	// partition is how long the engine answers nobody, counted from the order.
	partition time.Duration
	// late is when the order arrives, counted likewise; zero if it never does.
	late      time.Duration
	successor string
	// listedAfter is how long after the start of its term the successor learns of the replica; zero if it knows it before.
	listedAfter time.Duration
}

// outcome is what the engine received, when the first order was sent, and when the last term began.
type outcome struct {
	received  []receivedOrder
	sent      time.Time
	succeeded time.Time
}

var successions = []succession{
	{name: "another node, the order arrives after its first orders are due", partition: 4 * time.Second, late: 6200 * time.Millisecond, successor: "b"},
	{name: "another node, the order is lost", partition: 4 * time.Second, successor: "b"},
	{name: "the same node, the order arrives after its lease", partition: 1500 * time.Millisecond, late: 2900 * time.Millisecond, successor: "a"},
	{name: "the same node, the order is lost", partition: 1500 * time.Millisecond, successor: "a"},
}

// play plays a succession.
func (succession succession) play(t *testing.T) (played outcome) {
	engines, store := newEngines(1), memstore.New()
	lead := func(orderer *weights.Orderer) func(context.Context, *weights.Term) {
		return func(ctx context.Context, term *weights.Term) {
			played.succeeded = time.Now()
			if succession.listedAfter > 0 && !played.sent.IsZero() {
				engines.table.SetReplicas(nil, engines.table.Replicas().Revision+1)
				time.AfterFunc(succession.listedAfter, engines.register)
			}
			orderer.RunTerm(ctx, term)
		}
	}
	start := func(node string, version int64) (kill func()) {
		ctx, cancel := context.WithCancel(t.Context())
		reached := &nodeStore{Store: store}
		orderer := weights.NewOrderer(node, reached, engines.table, engines, 1, log.New(io.Discard))
		orderer.SetTarget("m", version)
		orderer.RecordDemand(weights.Demand{Model: "m", Minimum: version})
		election := weights.NewElection(reached, node, electionSettings, log.New(io.Discard))
		go election.Run(ctx, lead(orderer))
		return func() {
			reached.cut.Store(true) // a killed process does not release its lease
			cancel()
		}
	}
	var only *engine
	var id string
	for id, only = range engines.byID {
		only.loseNext, only.late = 1, succession.late
	}
	kill := start("a", 2)
	for engines.pendingLosses(only) > 0 {
		time.Sleep(10 * time.Millisecond)
	}
	played.sent = time.Now()
	engines.silence(only, played.sent.Add(succession.partition))
	time.Sleep(100 * time.Millisecond)
	kill()
	kill = start(succession.successor, 3)
	time.Sleep(20 * time.Second)
	kill()
	time.Sleep(3 * time.Second)
	synctest.Wait()
	played.received = engines.received[id]
	return played
}

func (engines *engines) pendingLosses(engine *engine) int {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	return engine.loseNext
}

func (engines *engines) silence(engine *engine, until time.Time) {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	engine.silentUntil = until
}

// Guards against an order of a former holder that reaches a replica after one of its successor, or within the pause between two holders.
func TestFormerOrdersComeFirst(t *testing.T) {
	for _, row := range successions {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				played := row.play(t)
				received := played.received
				must.SliceNotEmpty(t, received)
				for index := 1; index < len(received); index++ {
					before, after := received[index-1], received[index]
					must.LessEq(t, after.Fence, before.Fence, must.Sprint("a lower fence arrives after a higher one"))
					if before.Holder != after.Holder {
						must.GreaterEq(t, electionSettings.HandoverWait, after.at.Sub(before.at))
					}
				}
				last := received[len(received)-1]
				must.Eq(t, row.successor, last.Holder, must.Sprint("the successor gives no order"))
				// The order is at most as late after the partition as it was old at its end; the next one follows a pause and a poll.
				limit := 2*row.partition + electionSettings.HandoverWait + 2*time.Second
				must.Less(t, limit, last.at.Sub(played.sent), must.Sprint("the replica waits longer than an order can be late"))
			})
		})
	}
}

// Guards against a replica that gets its first order of a term later than others because an order of the former term was sent to it, though
// that order had arrived before the term began. Orders are looked for every 100 ms.
func TestArrivedOrderHoldsNothingBack(t *testing.T) {
	const round = 100 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		played := succession{late: 500 * time.Millisecond, successor: "b", listedAfter: 20 * time.Millisecond}.play(t)
		must.Len(t, 2, played.received)
		first := played.received[1]
		must.Eq(t, "b", first.Holder)
		pause := electionSettings.HandoverWait + 20*time.Millisecond
		must.Between(t, pause, first.at.Sub(played.succeeded), pause+round)
	})
}
