package metering

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	meteringv1 "github.com/thistlewalk/thistlewalk/api/metering/v1"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
	"github.com/thistlewalk/thistlewalk/internal/wait"
)

const (
	// tellSpacing is the least time between two calls to a listener: a request is told within it, and a front at 100 requests a second makes
	// ten calls.
	tellSpacing = 100 * time.Millisecond
	// tellRetry is how much longer it waits after a call that failed: a node that has just died is asked twice before it is known for dead.
	tellRetry = 300 * time.Millisecond
	// tellPoll is how often a teller looks for a new collector or witness, and for what a dead node has left here.
	tellPoll = 500 * time.Millisecond
	// tellLimit bounds one call; a node that is alive answers within some ms.
	tellLimit = 400 * time.Millisecond
)

// Listener is who tallies are told to.
type Listener struct {
	Name string
	// Epoch changes when the listener may have forgotten what it was told.
	Epoch  int64
	Client meteringv1.Collector
}

// Listeners finds out whom to tell. Either may be nil for nobody at present.
type Listeners interface {
	// Collector is the node that reports.
	Collector() *Listener
	// Witness is a node elsewhere that keeps this node's tallies, and tells them to the next collector if this node can't.
	Witness() *Listener
	// Runs reports whether a process of a node runs, so that it tells its tallies itself.
	Runs(node string, life int64) bool
}

// Teller tells the tallies of a ledger to whoever lacks them, again until they are acknowledged.
type Teller struct {
	Meter     *Meter
	Listeners Listeners
	Logger    *log.Logger
	Metrics   *telemetry.Metrics
}

// Run tells until the context ends.
func (teller *Teller) Run(ctx context.Context) {
	collector, witness := &recipient{teller: teller, role: "collector"}, &recipient{teller: teller, role: "witness"}
	for ctx.Err() == nil {
		var calls sync.WaitGroup
		calls.Go(func() { collector.tell(ctx, teller.Listeners.Collector(), teller.forCollector) })
		calls.Go(func() { witness.tell(ctx, teller.Listeners.Witness(), teller.isOwn) })
		calls.Wait()
		wait.Pause(ctx, tellSpacing)
		if collector.failed || witness.failed {
			wait.Pause(ctx, tellRetry)
			continue
		}
		select {
		case <-ctx.Done():
		case <-teller.Meter.changed:
		case <-time.After(tellPoll):
		}
	}
}

func (teller *Teller) isOwn(tally *meteringv1.Tally) bool {
	return tally.GetNode() == teller.Meter.node && tally.GetLife() == teller.Meter.life
}

// forCollector reports whether this node tells the collector of a tally: of its own, and of those whose processes can't any more.
func (teller *Teller) forCollector(tally *meteringv1.Tally) bool {
	return teller.isOwn(tally) || !teller.Listeners.Runs(tally.GetNode(), tally.GetLife())
}

// recipient is a listener with what it was told.
type recipient struct {
	teller *Teller
	role   string
	name   string
	epoch  int64
	told   map[tallyKey]int64
	failed bool
}

// tell brings a listener up to date.
func (recipient *recipient) tell(ctx context.Context, listener *Listener, wanted func(*meteringv1.Tally) bool) {
	recipient.failed = false
	if listener == nil {
		return
	}
	if recipient.told == nil || listener.Name != recipient.name || listener.Epoch != recipient.epoch {
		recipient.name, recipient.epoch, recipient.told = listener.Name, listener.Epoch, make(map[tallyKey]int64)
		recipient.teller.Logger.Info("usage told to another node", "role", recipient.role, "to", listener.Name, "epoch", listener.Epoch)
	}
	tallies := recipient.teller.Meter.ledger.Untold(recipient.told, wanted)
	if len(tallies) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, tellLimit)
	defer cancel()
	_, err := listener.Client.Tell(callCtx, &meteringv1.TellRequest{Tallies: tallies})
	recipient.teller.Metrics.UsageTold(recipient.role, err == nil)
	if err != nil {
		recipient.failed = true
		recipient.teller.Logger.Warn("usage not told", "role", recipient.role, "to", listener.Name, "tallies", len(tallies), "error", err)
		return
	}
	recipient.heard(tallies)
}

// heard notes what the listener has, and forgets windows that no ledger keeps.
func (recipient *recipient) heard(tallies []*meteringv1.Tally) {
	newest := int64(0)
	for _, tally := range tallies {
		recipient.told[keyOf(tally)] = tally.GetSequence()
		newest = max(newest, tally.GetWindow())
	}
	for key := range recipient.told {
		if key.window <= newest-windowsKept {
			delete(recipient.told, key)
		}
	}
}
