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
	// minHolderGap is the least time that the platform requires between the calls of two holders.
	minHolderGap = 3 * time.Second
	frontCount   = 4
)

// sink simulates the platform that receives the reports. It records violations of the platform's rules.
type sink struct {
	mu         sync.Mutex
	contents   map[int64]string // by window
	lastAt     time.Time
	lastHolder string
	fence      int64
	violations []string
	// broken makes calls fail, after the report was accepted if late is set. delay is the duration of a call.
	broken, late bool
	delay        time.Duration
}

// set changes the faults.
func (sink *sink) set(change func(*sink)) {
	sink.mu.Lock()
	defer sink.mu.Unlock()
	change(sink)
}

var errNoResponse = errors.New("no response")

// Report implements metering.Sink.
func (sink *sink) Report(ctx context.Context, holder string, fence int64, report *meteringv1.Report) error {
	sink.mu.Lock()
	delay := sink.delay
	sink.mu.Unlock()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
	}
	sink.mu.Lock()
	defer sink.mu.Unlock()
	if sink.broken && !sink.late {
		return errNoResponse
	}
	now := time.Now()
	content := fmt.Sprint(report.GetCounts())
	if known, taken := sink.contents[report.GetWindow()]; taken && known != content {
		sink.violations = append(sink.violations, fmt.Sprintf("window %d was reported as %s, which differs from %s", report.GetWindow(), known, content))
	}
	if fence < sink.fence {
		sink.violations = append(sink.violations, fmt.Sprintf("fence decreased to %d from %d", fence, sink.fence))
	}
	if fence == sink.fence && holder != sink.lastHolder {
		sink.violations = append(sink.violations, fmt.Sprintf("fence %d was used by two holders", fence))
	}
	if sink.lastHolder != "" && holder != sink.lastHolder && now.Sub(sink.lastAt) < minHolderGap {
		sink.violations = append(sink.violations, fmt.Sprintf("call of %s only %s after a call of %s", holder, now.Sub(sink.lastAt), sink.lastHolder))
	}
	sink.contents[report.GetWindow()] = content
	sink.lastHolder, sink.lastAt, sink.fence = holder, now, fence
	if sink.broken {
		return errNoResponse
	}
	return nil
}

// nodeStore is the store as seen by one node. Calls fail while the node is isolated.
type nodeStore struct {
	metadata.Store
	cluster *cluster
	node    string
}

func (store nodeStore) Commit(ctx context.Context, txn metadata.Txn) (metadata.Revision, error) {
	if store.cluster.isIsolated(store.node) {
		return 0, metadata.ErrUnavailable
	}
	return store.Store.Commit(ctx, txn)
}

func (store nodeStore) List(ctx context.Context, prefix string) (metadata.Listing, error) {
	if store.cluster.isIsolated(store.node) {
		return metadata.Listing{}, metadata.ErrUnavailable
	}
	return store.Store.List(ctx, prefix)
}

func (store nodeStore) GrantLease(ctx context.Context, ttl time.Duration) (metadata.LeaseID, error) {
	if store.cluster.isIsolated(store.node) {
		return 0, metadata.ErrUnavailable
	}
	return store.Store.GrantLease(ctx, ttl)
}

func (store nodeStore) RenewLease(ctx context.Context, lease metadata.LeaseID) error {
	if store.cluster.isIsolated(store.node) {
		return metadata.ErrUnavailable
	}
	return store.Store.RenewLease(ctx, lease)
}

// cluster simulates several fronts and two candidates for the reporter role, with a store and a sink, in simulated time.
type cluster struct {
	store *memstore.Store
	sink  *sink

	mu           sync.Mutex
	isolated     map[string]bool
	collectors   map[string]*metering.Ledger
	terms        map[string]int64 // fences of the terms, by candidate
	fronts       map[string]*front
	stops        map[string]context.CancelFunc
	incarnations int64
	expected     map[int64]int64
}

// front is one process of a front.
type front struct {
	incarnation int64
	ledger      *metering.Ledger
	meter       *metering.Meter
	stop        context.CancelFunc
}

func (cluster *cluster) isIsolated(node string) bool {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.isolated[node]
}

// localClient sends tallies to a ledger in this process. Calls fail while either node is isolated.
type localClient struct {
	cluster  *cluster
	from, to string
	ledger   *metering.Ledger
}

func (client localClient) Tell(ctx context.Context, request *meteringv1.TellRequest) (*meteringv1.TellResponse, error) {
	if client.cluster.isIsolated(client.from) || client.cluster.isIsolated(client.to) {
		return nil, errNoResponse
	}
	return metering.Service{Ledger: client.ledger}.Tell(ctx, request)
}

// frontRecipients provides the recipients of a front.
type frontRecipients struct {
	cluster *cluster
	name    string
	index   int
}

func (recipients frontRecipients) Collector() *metering.Recipient {
	cluster := recipients.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	newest := ""
	for name, term := range cluster.terms {
		if cluster.collectors[name] != nil && (newest == "" || term > cluster.terms[newest]) {
			newest = name
		}
	}
	if newest == "" {
		return nil
	}
	return &metering.Recipient{Name: newest, Epoch: cluster.terms[newest], Client: localClient{cluster, recipients.name, newest, cluster.collectors[newest]}}
}

func (recipients frontRecipients) Witness() *metering.Recipient {
	cluster := recipients.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	name := fmt.Sprint("front-", (recipients.index+1)%frontCount)
	witness := cluster.fronts[name]
	if witness == nil {
		return nil // not started yet
	}
	return &metering.Recipient{Name: name, Epoch: witness.incarnation, Client: localClient{cluster, recipients.name, name, witness.ledger}}
}

func (recipients frontRecipients) IsRunning(node string, incarnation int64) bool {
	recipients.cluster.mu.Lock()
	defer recipients.cluster.mu.Unlock()
	known := recipients.cluster.fronts[node]
	return known != nil && known.incarnation == incarnation
}

// startFront starts a process of a front.
func (cluster *cluster) startFront(index int) {
	name := fmt.Sprint("front-", index)
	clock, windows := metering.NewClock(clock.Monotonic()), metering.Windows{Length: windowLength}
	ctx, stop := context.WithCancel(context.Background())
	cluster.mu.Lock()
	cluster.incarnations++
	created := &front{incarnation: cluster.incarnations, ledger: metering.NewLedger(windows, clock), stop: stop}
	created.meter = metering.NewMeter(name, created.incarnation, windows, clock, created.ledger)
	cluster.fronts[name] = created
	cluster.mu.Unlock()
	sender := &metering.TallySender{Meter: created.meter, Recipients: frontRecipients{cluster, name, index}, Logger: log.New(io.Discard)}
	go sender.Run(ctx)
}

func (cluster *cluster) killFront(index int) {
	cluster.mu.Lock()
	cluster.fronts[fmt.Sprint("front-", index)].stop()
	cluster.mu.Unlock()
	cluster.startFront(index)
}

// startCandidate starts a process of a candidate for the reporter role.
func (cluster *cluster) startCandidate(name string) {
	clock, windows := metering.NewClock(clock.Monotonic()), metering.Windows{Length: windowLength}
	ledger := metering.NewLedger(windows, clock)
	store := nodeStore{cluster.store, cluster, name}
	ctx, stop := context.WithCancel(context.Background())
	cluster.mu.Lock()
	cluster.stops[name], cluster.collectors[name] = stop, ledger
	delete(cluster.terms, name)
	cluster.mu.Unlock()
	reporter := &metering.Reporter{
		Node: name, Windows: windows, Clock: clock, Ledger: ledger, Store: store, Sink: cluster.sink, Logger: log.New(io.Discard),
		CallGrace: 200 * time.Millisecond,
	}
	election := weights.NewElection(store, name, weights.ElectionSettings{
		Lease: 1300 * time.Millisecond, Renew: 300 * time.Millisecond, HandoverWait: minHolderGap + 300*time.Millisecond,
	}, log.New(io.Discard))
	go election.Run(ctx, func(ctx context.Context, term *weights.Term) {
		cluster.mu.Lock()
		cluster.terms[name] = term.Fence
		cluster.mu.Unlock()
		reporter.Run(ctx, term.Fence, term)
	})
}

func (cluster *cluster) killCandidate(name string) {
	cluster.mu.Lock()
	cluster.stops[name]()
	cluster.collectors[name] = nil
	cluster.mu.Unlock()
}

// request sends a request through a front and adds it to the expected counts.
func (cluster *cluster) request(index int) {
	cluster.mu.Lock()
	sender := cluster.fronts[fmt.Sprint("front-", index)]
	cluster.expected[metering.Windows{Length: windowLength}.At(time.Now())]++
	cluster.mu.Unlock()
	sender.meter.CountStarted("harbour")
}

func newCluster() *cluster {
	created := &cluster{
		store: memstore.New(), sink: &sink{contents: make(map[int64]string)}, isolated: make(map[string]bool), collectors: make(map[string]*metering.Ledger),
		terms: make(map[string]int64), fronts: make(map[string]*front), stops: make(map[string]context.CancelFunc), expected: make(map[int64]int64),
	}
	for index := range frontCount {
		created.startFront(index)
	}
	created.startCandidate("orderer-1")
	created.startCandidate("orderer-2")
	return created
}

// end stops all processes and waits until they have ended.
func (cluster *cluster) end() {
	cluster.mu.Lock()
	for _, stop := range cluster.stops {
		stop()
	}
	for _, front := range cluster.fronts {
		front.stop()
	}
	cluster.mu.Unlock()
	time.Sleep(3 * time.Second)
	synctest.Wait()
}

// reported returns the content that was reported for a window.
func (cluster *cluster) reported(window int64) (content string, taken bool) {
	cluster.sink.mu.Lock()
	defer cluster.sink.mu.Unlock()
	content, taken = cluster.sink.contents[window]
	return content, taken
}

// injectFault injects a fault while requests are sent. With overlap, previous faults continue; otherwise they are repaired first.
func (cluster *cluster) injectFault(fault string, index int, overlap bool) {
	if !overlap {
		cluster.repair()
		cluster.traffic(8 * time.Second)
	}
	holder := cluster.holder()
	switch fault {
	case "kill front":
		time.Sleep(300 * time.Millisecond) // the tallies sent before reach the witness
		cluster.killFront(index)
	case "kill holder":
		cluster.killCandidate(holder)
	case "cut holder":
		cluster.isolate(holder)
	case "store down":
		cluster.store.SetFaults(memstore.Faults{Down: true})
	case "answers lost":
		cluster.store.SetFaults(memstore.Faults{LoseResponses: 3})
	case "sink slow":
		cluster.sink.set(func(sink *sink) { sink.delay = 1900 * time.Millisecond })
	case "sink broken", "sink late":
		cluster.sink.set(func(sink *sink) { sink.broken, sink.late = true, fault == "sink late" })
	}
	cluster.traffic(2 * time.Second)
}

func (cluster *cluster) isolate(node string) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.isolated[node] = true
}

// holder returns the name of the candidate with the newest term.
func (cluster *cluster) holder() string {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	newest := "orderer-1"
	for name, term := range cluster.terms {
		if term > cluster.terms[newest] {
			newest = name
		}
	}
	return newest
}

// repair ends all faults.
func (cluster *cluster) repair() {
	cluster.store.SetFaults(memstore.Faults{})
	cluster.sink.set(func(sink *sink) { sink.broken, sink.delay = false, 0 })
	cluster.mu.Lock()
	clear(cluster.isolated)
	var dead []string
	for name, ledger := range cluster.collectors {
		if ledger == nil {
			dead = append(dead, name)
		}
	}
	cluster.mu.Unlock()
	for _, name := range dead {
		cluster.startCandidate(name)
	}
}

// traffic sends requests through all fronts for a time.
func (cluster *cluster) traffic(duration time.Duration) {
	for number, end := 0, time.Now().Add(duration); time.Now().Before(end); number++ {
		cluster.request(number % frontCount)
		time.Sleep(90 * time.Millisecond)
	}
}

// expectReports checks that each window was reported with the expected counts.
func (cluster *cluster) expectReports(t *testing.T, first, last int64) {
	t.Helper()
	must.Len(t, 0, cluster.sink.violations)
	for window := first; window <= last; window++ {
		content, _ := cluster.reported(window)
		must.Eq(t, fmt.Sprint([]*meteringv1.TenantCount{{Tenant: "harbour", Count: cluster.expected[window]}}), content, must.Sprint(window))
	}
}
