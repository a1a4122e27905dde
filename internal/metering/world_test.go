package metering_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	meteringv1 "github.com/thistlewalk/thistlewalk/api/metering/v1"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/metering"
	"github.com/thistlewalk/thistlewalk/internal/weights"
)

const (
	windowLength = 5 * time.Second
	// pauseOfHolders is the least time between the calls of two holders.
	pauseOfHolders = 3 * time.Second
	frontCount     = 4
)

// sink is the platform that reports are sent to. It judges them by what it sees.
type sink struct {
	mu       sync.Mutex
	contents map[int64]string // by window
	lastAt   time.Time
	last     string
	fence    int64
	wrong    []string
	// broken has calls fail, after they were taken if late; slow is how long they take.
	broken, late bool
	slow         time.Duration
}

// set changes the faults.
func (sink *sink) set(change func(*sink)) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	change(sink)
}

var errNoAnswer = errors.New("no answer")

// Report implements metering.Sink.
func (sink *sink) Report(ctx context.Context, holder string, fence int64, report *meteringv1.Report) error {
	sink.mu.Lock()
	slow := sink.slow
	sink.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(slow):
	}
	sink.mu.Lock()
	defer sink.mu.Unlock()
	if sink.broken && !sink.late {
		return errNoAnswer
	}
	now := time.Now()
	content := fmt.Sprint(report.GetCounts())
	if known, taken := sink.contents[report.GetWindow()]; taken && known != content {
		sink.wrong = append(sink.wrong, fmt.Sprintf("window %d was reported as %s and as %s", report.GetWindow(), known, content))
	}
	if fence < sink.fence {
		sink.wrong = append(sink.wrong, fmt.Sprintf("fence %d after %d", fence, sink.fence))
	}
	if fence == sink.fence && holder != sink.last {
		sink.wrong = append(sink.wrong, fmt.Sprintf("fence %d of two holders", fence))
	}
	if sink.last != "" && holder != sink.last && now.Sub(sink.lastAt) < pauseOfHolders {
		sink.wrong = append(sink.wrong, fmt.Sprintf("%s %s after %s", holder, now.Sub(sink.lastAt), sink.last))
	}
	sink.contents[report.GetWindow()] = content
	sink.last, sink.lastAt, sink.fence = holder, now, fence
	if sink.broken {
		return errNoAnswer
	}
	return nil
}

// cutStore is the store as one node reaches it.
type cutStore struct {
	metadata.Store
	world *history
	node  string
}

func (store cutStore) Commit(ctx context.Context, txn metadata.Txn) (metadata.Revision, error) {
	if store.world.isCut(store.node) {
		return 0, metadata.ErrUnavailable
	}
	return store.Store.Commit(ctx, txn)
}

func (store cutStore) List(ctx context.Context, prefix string) (metadata.Listing, error) {
	if store.world.isCut(store.node) {
		return metadata.Listing{}, metadata.ErrUnavailable
	}
	return store.Store.List(ctx, prefix)
}

func (store cutStore) GrantLease(ctx context.Context, life time.Duration) (metadata.LeaseID, error) {
	if store.world.isCut(store.node) {
		return 0, metadata.ErrUnavailable
	}
	return store.Store.GrantLease(ctx, life)
}

func (store cutStore) RenewLease(ctx context.Context, lease metadata.LeaseID) error {
	if store.world.isCut(store.node) {
		return metadata.ErrUnavailable
	}
	return store.Store.RenewLease(ctx, lease)
}

// history is some fronts and two candidates for the duty, over a store and a sink, in modelled time.
type history struct {
	store *memstore.Store
	sink  *sink

	mu         sync.Mutex
	cut        map[string]bool
	collectors map[string]*metering.Ledger
	terms      map[string]int64 // of the holder, as it tells
	fronts     map[string]*front
	stops      map[string]context.CancelFunc
	lives      int64
	truth      map[int64]int64
}

// front is one process of a front.
type front struct {
	life   int64
	ledger *metering.Ledger
	meter  *metering.Meter
	stop   context.CancelFunc
}

func (history *history) isCut(node string) bool {
	history.mu.Lock()
	defer history.mu.Unlock()
	return history.cut[node]
}

// localClient tells a ledger in the process, unless its node is cut off.
type localClient struct {
	history  *history
	from, to string
	ledger   *metering.Ledger
}

func (client localClient) Tell(ctx context.Context, request *meteringv1.TellRequest) (*meteringv1.TellResponse, error) {
	if client.history.isCut(client.from) || client.history.isCut(client.to) {
		return nil, errNoAnswer
	}
	return metering.Service{Ledger: client.ledger}.Tell(ctx, request)
}

// listenersOf finds the listeners of a front.
type listenersOf struct {
	history *history
	name    string
	index   int
}

func (listeners listenersOf) Collector() *metering.Listener {
	history := listeners.history
	history.mu.Lock()
	defer history.mu.Unlock()
	newest := ""
	for name, term := range history.terms {
		if history.collectors[name] != nil && (newest == "" || term > history.terms[newest]) {
			newest = name
		}
	}
	if newest == "" {
		return nil
	}
	return &metering.Listener{Name: newest, Epoch: history.terms[newest], Client: localClient{history, listeners.name, newest, history.collectors[newest]}}
}

func (listeners listenersOf) Witness() *metering.Listener {
	history := listeners.history
	history.mu.Lock()
	defer history.mu.Unlock()
	name := fmt.Sprint("front-", (listeners.index+1)%frontCount)
	witness := history.fronts[name]
	if witness == nil {
		return nil // not started yet
	}
	return &metering.Listener{Name: name, Epoch: witness.life, Client: localClient{history, listeners.name, name, witness.ledger}}
}

func (listeners listenersOf) Runs(node string, life int64) bool {
	listeners.history.mu.Lock()
	defer listeners.history.mu.Unlock()
	known := listeners.history.fronts[node]
	return known != nil && known.life == life
}

// startFront begins a process of a front.
func (history *history) startFront(index int) {
	name := fmt.Sprint("front-", index)
	clock, windows := metering.NewClock(clock.Steady()), metering.Windows{Length: windowLength}
	ctx, stop := context.WithCancel(context.Background())
	history.mu.Lock()
	history.lives++
	created := &front{life: history.lives, ledger: metering.NewLedger(windows, clock), stop: stop}
	created.meter = metering.NewMeter(name, created.life, windows, clock, created.ledger)
	history.fronts[name] = created
	history.mu.Unlock()
	teller := &metering.Teller{Meter: created.meter, Listeners: listenersOf{history, name, index}, Logger: log.New(io.Discard)}
	go teller.Run(ctx)
}

func (history *history) killFront(index int) {
	history.mu.Lock()
	history.fronts[fmt.Sprint("front-", index)].stop()
	history.mu.Unlock()
	history.startFront(index)
}

// startCandidate begins a process of a candidate for the duty.
func (history *history) startCandidate(name string) {
	clock, windows := metering.NewClock(clock.Steady()), metering.Windows{Length: windowLength}
	ledger := metering.NewLedger(windows, clock)
	store := cutStore{history.store, history, name}
	ctx, stop := context.WithCancel(context.Background())
	history.mu.Lock()
	history.stops[name], history.collectors[name] = stop, ledger
	delete(history.terms, name)
	history.mu.Unlock()
	reporter := &metering.Reporter{
		Node: name, Windows: windows, Clock: clock, Ledger: ledger, Store: store, Sink: history.sink, Logger: log.New(io.Discard),
		Overhang: 200 * time.Millisecond,
	}
	election := weights.NewElection(store, name, weights.ElectionSettings{
		Lease: 1300 * time.Millisecond, Renew: 300 * time.Millisecond, HandoverWait: pauseOfHolders + 300*time.Millisecond,
	}, log.New(io.Discard))
	go election.Run(ctx, func(ctx context.Context, term *weights.Term) {
		history.mu.Lock()
		history.terms[name] = term.Fence
		history.mu.Unlock()
		reporter.Run(ctx, term.Fence, term)
	})
}

func (history *history) killCandidate(name string) {
	history.mu.Lock()
	history.stops[name]()
	history.collectors[name] = nil
	history.mu.Unlock()
}

// request sends a request by a front; it is one of the truth.
func (history *history) request(index int) {
	history.mu.Lock()
	sender := history.fronts[fmt.Sprint("front-", index)]
	history.truth[metering.Windows{Length: windowLength}.At(time.Now())]++
	history.mu.Unlock()
	sender.meter.Began("harbour")
}

func newHistory() *history {
	created := &history{
		store: memstore.New(), sink: &sink{contents: make(map[int64]string)}, cut: make(map[string]bool), collectors: make(map[string]*metering.Ledger),
		terms: make(map[string]int64), fronts: make(map[string]*front), stops: make(map[string]context.CancelFunc), truth: make(map[int64]int64),
	}
	for index := range frontCount {
		created.startFront(index)
	}
	created.startCandidate("orderer-1")
	created.startCandidate("orderer-2")
	return created
}

// end stops everything, and waits until it has.
func (history *history) end() {
	history.mu.Lock()
	for _, stop := range history.stops {
		stop()
	}
	for _, front := range history.fronts {
		front.stop()
	}
	history.mu.Unlock()
	time.Sleep(3 * time.Second)
	synctest.Wait()
}

// reported returns what was reported of a window.
func (history *history) reported(window int64) (content string, taken bool) {
	history.sink.mu.Lock()
	defer history.sink.mu.Unlock()
	content, taken = history.sink.contents[window]
	return content, taken
}

// suffer lives through a fault, with requests all the while; overlap has it last into the next.
func (history *history) suffer(fault string, index int, overlap bool) {
	if !overlap {
		history.repair()
		history.traffic(8 * time.Second)
	}
	holder := history.holder()
	switch fault {
	case "kill front":
		time.Sleep(300 * time.Millisecond) // what was sent just before is known to a witness
		history.killFront(index)
	case "kill holder":
		history.killCandidate(holder)
	case "cut holder":
		history.cutOff(holder)
	case "store down":
		history.store.SetFaults(memstore.Faults{Down: true})
	case "answers lost":
		history.store.SetFaults(memstore.Faults{LoseAnswers: 3})
	case "sink slow":
		history.sink.set(func(sink *sink) { sink.slow = 1900 * time.Millisecond })
	case "sink broken", "sink late":
		history.sink.set(func(sink *sink) { sink.broken, sink.late = true, fault == "sink late" })
	}
	history.traffic(2 * time.Second)
}

func (history *history) cutOff(node string) {
	history.mu.Lock()
	defer history.mu.Unlock()
	history.cut[node] = true
}

// holder returns the name of the candidate whose term is the newest.
func (history *history) holder() string {
	history.mu.Lock()
	defer history.mu.Unlock()
	newest := "orderer-1"
	for name, term := range history.terms {
		if term > history.terms[newest] {
			newest = name
		}
	}
	return newest
}

// repair ends all faults.
func (history *history) repair() {
	history.store.SetFaults(memstore.Faults{})
	history.sink.set(func(sink *sink) { sink.broken, sink.slow = false, 0 })
	history.mu.Lock()
	clear(history.cut)
	var dead []string
	for name, ledger := range history.collectors {
		if ledger == nil {
			dead = append(dead, name)
		}
	}
	history.mu.Unlock()
	for _, name := range dead {
		history.startCandidate(name)
	}
}

// traffic sends requests by all fronts for a time.
func (history *history) traffic(duration time.Duration) {
	for number, end := 0, time.Now().Add(duration); time.Now().Before(end); number++ {
		history.request(number % frontCount)
		time.Sleep(90 * time.Millisecond)
	}
}

// expectTruth checks that windows were reported as they were.
func (history *history) expectTruth(t *testing.T, first, last int64) {
	t.Helper()
	must.Len(t, 0, history.sink.wrong)
	for window := first; window <= last; window++ {
		content, _ := history.reported(window)
		must.Eq(t, fmt.Sprint([]*meteringv1.TenantCount{{Tenant: "harbour", Count: history.truth[window]}}), content, must.Sprint(window))
	}
}
