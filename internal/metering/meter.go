package metering

import (
	"maps"
	"sync"

	meteringv1 "github.com/thistlewalk/thistlewalk/api/metering/v1"
)

// Meter counts the requests that begin to run by way of this process. It is safe for concurrent use.
type Meter struct {
	node    string
	life    int64
	windows Windows
	clock   *Clock
	ledger  *Ledger
	// changed tells that a tally has changed; it holds one notice at most.
	changed chan struct{}

	mu       sync.Mutex
	sequence int64
	totals   map[int64]map[string]int64 // by window and tenant
}

// NewMeter returns a meter of a process that has its tallies in the ledger.
func NewMeter(node string, life int64, windows Windows, clock *Clock, ledger *Ledger) *Meter {
	return &Meter{
		node: node, life: life, windows: windows, clock: clock, ledger: ledger, changed: make(chan struct{}, 1),
		totals: make(map[int64]map[string]int64),
	}
}

// Began counts a request of a tenant that is sent to a replica now. The returned function takes it back, once, if it turns out not to have
// run.
func (meter *Meter) Began(tenant string) (withdraw func()) {
	window := meter.windows.At(meter.clock.Now())
	meter.add(window, tenant, 1)
	return func() { meter.add(window, tenant, -1) }
}

func (meter *Meter) add(window int64, tenant string, change int64) {
	meter.mu.Lock()
	defer meter.mu.Unlock()
	totals := meter.totals[window]
	if totals == nil {
		totals = make(map[string]int64)
		meter.totals[window] = totals
		maps.DeleteFunc(meter.totals, func(known int64, _ map[string]int64) bool { return known <= window-windowsKept })
	}
	totals[tenant] += change
	meter.sequence++
	meter.ledger.Merge(&meteringv1.Tally{Node: meter.node, Life: meter.life, Window: window, Sequence: meter.sequence, Counts: countsOf(totals)})
	select {
	case meter.changed <- struct{}{}:
	default:
	}
}
