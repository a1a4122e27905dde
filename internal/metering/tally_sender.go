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
	// sendInterval is the least time between two calls to a recipient. Changes of tallies within it share a call.
	sendInterval = 100 * time.Millisecond
	// sendRetryDelay is the additional delay after a failed call.
	sendRetryDelay = 300 * time.Millisecond
	// pollInterval is how often a TallySender checks for a new collector or witness, and for tallies of processes that no longer run.
	pollInterval = 500 * time.Millisecond
	sendTimeout  = 400 * time.Millisecond
)

// Recipient is a node to which tallies are sent.
type Recipient struct {
	Name string
	// Epoch changes when the recipient may have lost the tallies that it acknowledged.
	Epoch  int64
	Client meteringv1.Collector
}

// Recipients provides the nodes to which this node sends tallies.
type Recipients interface {
	// Collector returns the node that sends the usage reports, or nil if there is none.
	Collector() *Recipient
	// Witness returns the node that holds a copy of this node's tallies, or nil if there is none. The witness sends them to the
	// collector after this process has ended.
	Witness() *Recipient
	// IsRunning reports whether an incarnation of a node is running, and therefore sends its tallies itself.
	IsRunning(node string, incarnation int64) bool
}

// TallySender sends the tallies of a ledger to the collector and the witness, and retries until they are acknowledged.
type TallySender struct {
	Meter      *Meter
	Recipients Recipients
	Logger     *log.Logger
	Metrics    *telemetry.Metrics
}

// Run sends tallies until the context ends.
func (sender *TallySender) Run(ctx context.Context) {
	collector, witness := &sendState{sender: sender, role: "collector"}, &sendState{sender: sender, role: "witness"}
	for ctx.Err() == nil {
		var calls sync.WaitGroup
		calls.Go(func() { collector.send(ctx, sender.Recipients.Collector(), sender.isForCollector) })
		calls.Go(func() { witness.send(ctx, sender.Recipients.Witness(), sender.isOwn) })
		calls.Wait()
		wait.Pause(ctx, sendInterval)
		if collector.failed || witness.failed {
			wait.Pause(ctx, sendRetryDelay)
			continue
		}
		select {
		case <-ctx.Done():
		case <-sender.Meter.changed:
		case <-time.After(pollInterval):
		}
	}
}

func (sender *TallySender) isOwn(tally *meteringv1.Tally) bool {
	return tally.GetNode() == sender.Meter.node && tally.GetLife() == sender.Meter.incarnation
}

// isForCollector reports whether this node sends a tally to the collector. A node sends its own tallies, and those of processes that no
// longer run.
func (sender *TallySender) isForCollector(tally *meteringv1.Tally) bool {
	return sender.isOwn(tally) || !sender.Recipients.IsRunning(tally.GetNode(), tally.GetLife())
}

// sendState holds the current recipient of one role and the sequences of the tallies that it has acknowledged.
type sendState struct {
	sender *TallySender
	role   string
	name   string
	epoch  int64
	acked  map[tallyKey]int64
	failed bool
}

// send sends the tallies that the recipient has not acknowledged. A new recipient or epoch starts without acknowledged tallies.
func (sendState *sendState) send(ctx context.Context, recipient *Recipient, include func(*meteringv1.Tally) bool) {
	sendState.failed = false
	if recipient == nil {
		return
	}
	if sendState.acked == nil || recipient.Name != sendState.name || recipient.Epoch != sendState.epoch {
		sendState.name, sendState.epoch, sendState.acked = recipient.Name, recipient.Epoch, make(map[tallyKey]int64)
		sendState.sender.Logger.Info("sending usage tallies to another node", "role", sendState.role, "to", recipient.Name, "epoch", recipient.Epoch)
	}
	tallies := sendState.sender.Meter.ledger.Unacknowledged(sendState.acked, include)
	if len(tallies) == 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	_, err := recipient.Client.Tell(callCtx, &meteringv1.TellRequest{Tallies: tallies})
	sendState.sender.Metrics.UsageTalliesSent(sendState.role, err == nil)
	if err != nil {
		sendState.failed = true
		sendState.sender.Logger.Warn("usage tallies not sent", "role", sendState.role, "to", recipient.Name, "tallies", len(tallies), "error", err)
		return
	}
	sendState.acknowledge(tallies)
}

// acknowledge records the tallies that the recipient has acknowledged, and drops the entries of windows that no ledger retains.
func (sendState *sendState) acknowledge(tallies []*meteringv1.Tally) {
	newest := int64(0)
	for _, tally := range tallies {
		sendState.acked[keyOf(tally)] = tally.GetSequence()
		newest = max(newest, tally.GetWindow())
	}
	for key := range sendState.acked {
		if key.window <= newest-retainedWindows {
			delete(sendState.acked, key)
		}
	}
}
