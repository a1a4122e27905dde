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
	"pgregory.net/rapid"

	meteringv1 "github.com/thistlewalk/thistlewalk/api/metering/v1"
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
	clock, windows := metering.NewClock(), metering.Windows{Length: windowLength}
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
	clock, windows := metering.NewClock(), metering.Windows{Length: windowLength}
	ledger := metering.NewLedger(windows, clock)
	store := cutStore{history.store, history, name}
	ctx, stop := context.WithCancel(context.Background())
	history.mu.Lock()
	history.stops[name], history.collectors[name] = stop, ledger
	delete(history.terms, name)
	history.mu.Unlock()
	reporter := &metering.Reporter{
		Node: name, Windows: windows, Clock: clock, Ledger: ledger, Store: store, Sink: history.sink, Logger: log.New(io.Discard),
		HandoverWait: pauseOfHolders + 300*time.Millisecond,
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

// Whatever fails, no window is reported in two ways, no fence falls, and holders don't take turns. If no two fail together, each report is
// what began to run.
func TestDrawnHistoriesOfUsage(t *testing.T) {
	rapid.Check(t, func(drawn *rapid.T) {
		faults := rapid.SliceOfN(rapid.SampledFrom([]string{
			"calm", "calm", "kill front", "kill holder", "cut holder", "store down", "sink broken", "sink late", "sink slow", "answers lost",
		}), 4, 10).Draw(drawn, "faults")
		fronts := rapid.SliceOfN(rapid.IntRange(0, frontCount-1), len(faults), len(faults)).Draw(drawn, "fronts")
		overlap := rapid.Bool().Draw(drawn, "overlap")
		synctest.Test(t, func(t *testing.T) {
			history := newHistory()
			time.Sleep(8 * time.Second)
			first := metering.Windows{Length: windowLength}.At(time.Now()) + 1
			for index, fault := range faults {
				history.suffer(fault, fronts[index], overlap)
			}
			history.repair()
			time.Sleep(25 * time.Second)
			last := metering.Windows{Length: windowLength}.At(time.Now()) - 3
			history.end()
			if len(history.sink.wrong) > 0 {
				t.Fatalf("%v: %v", faults, history.sink.wrong)
			}
			for window := first; window <= last; window++ {
				content, taken := history.reported(window)
				want := "[]"
				if count := history.truth[window]; count > 0 {
					want = fmt.Sprint([]*meteringv1.TenantCount{{Tenant: "harbour", Count: count}})
				}
				switch {
				case !taken:
					t.Fatalf("%v: window %d of %d to %d was not reported", faults, window, first, last)
				case content != want && !overlap:
					t.Fatalf("%v: window %d was reported as %s, not %s", faults, window, content, want)
				}
			}
		})
	})
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
		history.mu.Lock()
		history.cut[holder] = true
		history.mu.Unlock()
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

// A front and the holder that die together take no count with them: a witness has it.
func TestWitnessTellsTheNextHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		history := newHistory()
		time.Sleep(8 * time.Second)
		first := metering.Windows{Length: windowLength}.At(time.Now()) + 1
		history.traffic(7 * time.Second)
		time.Sleep(300 * time.Millisecond)
		history.killFront(1)
		history.killCandidate(history.holder())
		history.traffic(20 * time.Second)
		time.Sleep(10 * time.Second)
		history.end()
		history.expectTruth(t, first, first+3)
	})
}

// A holder that is started again and goes on at once has forgotten what it was told, and waits until it is told that again, whenever in a
// window it is killed.
func TestHolderIsToldAgain(t *testing.T) {
	for offset := time.Duration(0); offset < windowLength; offset += 250 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			history := newHistory()
			history.killCandidate("orderer-2")
			time.Sleep(8 * time.Second)
			windows := metering.Windows{Length: windowLength}
			first := windows.At(time.Now()) + 1
			history.traffic(time.Until(windows.End(first+1)) + offset)
			history.killCandidate("orderer-1")
			history.startCandidate("orderer-1")
			history.traffic(12 * time.Second)
			time.Sleep(10 * time.Second)
			history.end()
			history.expectTruth(t, first, first+2)
		})
	}
}

// An outage of the store that lasts from before a window's report to just before it is due: the holder that acquires the lease again still
// knows what it was told of that window, and reports it in time.
func TestReportAfterAnOutageIsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const due = 10 * time.Second
		history := newHistory()
		history.killCandidate("orderer-2")
		time.Sleep(8 * time.Second)
		windows := metering.Windows{Length: windowLength}
		window := windows.At(time.Now()) + 1
		setCut := func(cut bool) {
			history.mu.Lock()
			defer history.mu.Unlock()
			history.cut["orderer-1"] = cut
		}
		history.traffic(time.Until(windows.End(window).Add(2200 * time.Millisecond)))
		setCut(true)
		history.traffic(time.Until(windows.End(window).Add(due - time.Second)))
		setCut(false)
		time.Sleep(time.Until(windows.End(window).Add(due)))
		_, taken := history.reported(window)
		must.True(t, taken)
		history.end()
	})
}

// A platform that is very slow still takes reports.
func TestReportToASlowPlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		history := newHistory()
		history.sink.set(func(sink *sink) { sink.slow = 1500 * time.Millisecond })
		time.Sleep(8 * time.Second)
		first := metering.Windows{Length: windowLength}.At(time.Now()) + 1
		history.traffic(16 * time.Second)
		time.Sleep(10 * time.Second)
		history.end()
		history.expectTruth(t, first, first+1)
	})
}

// A platform that takes nothing for long does not fill the store; the newest reports are sent once it is back.
func TestUnsentReportsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const kept = 720
		history := newHistory()
		history.killCandidate("orderer-2")
		history.sink.set(func(sink *sink) { sink.broken = true })
		time.Sleep((kept + 60) * windowLength)
		listing, err := history.store.List(t.Context(), "usage/")
		must.NoError(t, err)
		must.LessEq(t, kept+2, len(listing.Items))
		history.repair()
		time.Sleep(20 * time.Second)
		history.sink.mu.Lock()
		taken := len(history.sink.contents)
		history.sink.mu.Unlock()
		must.Between(t, kept, taken, kept+8)
		history.end()
	})
}

// supersededTerm is one that its holder takes to be in force, while another has begun.
type supersededTerm struct{ holder string }

func (supersededTerm) Valid(time.Duration) bool { return true }

func (term supersededTerm) Condition() metadata.Condition {
	return metadata.Condition{Key: term.holder, Revision: 1}
}

// A former holder that wakes late, and does not know that it is one, stores and reports nothing of its own.
func TestFormerHolderStoresNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, taken := memstore.New(), &sink{contents: make(map[int64]string)}
		for _, holder := range []string{"former", "present"} {
			_, err := store.Commit(t.Context(), metadata.Txn{Puts: []metadata.Put{{Key: "holder", Value: []byte(holder)}}})
			must.NoError(t, err)
		}
		clock, windows := metering.NewClock(), metering.Windows{Length: windowLength}
		reporter := &metering.Reporter{
			Node: "former", Windows: windows, Clock: clock, Ledger: metering.NewLedger(windows, clock), Store: store, Sink: taken, Logger: log.New(io.Discard),
		}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		reporter.Run(ctx, 1, supersededTerm{"holder"})
		must.MapEmpty(t, taken.contents)
		listing, err := store.List(t.Context(), "")
		must.NoError(t, err)
		must.Len(t, 1, listing.Items)
	})
}
