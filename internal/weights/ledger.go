package weights

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// ledgerKey holds the orders in flight.
const ledgerKey = "orders/in-flight"

const ledgerTimeout = 600 * time.Millisecond

// inFlight is an order that was sent or is about to be, and whose call has not ended.
type inFlight struct {
	Replica string `json:"replica"`
	Node    string `json:"node"`
	Fence   int64  `json:"fence"`
	// ExpectedOrders is the number of orders that the replica had accepted before.
	ExpectedOrders int64 `json:"expected_orders"`
	// SentUnixMS is the sender's time of day in Unix milliseconds.
	SentUnixMS int64 `json:"sent_unix_ms"`
}

// inFlightKey identifies an order in flight. A term has at most one per replica.
type inFlightKey struct {
	replica string
	fence   int64
}

func (order inFlight) key() inFlightKey { return inFlightKey{order.Replica, order.Fence} }

// ledgerDocument is the value of ledgerKey.
type ledgerDocument struct {
	Orders []inFlight `json:"orders"`
}

// ledger is the record in the metadata store of the orders in flight. A term writes an order there before it sends it, so that the next
// term knows which replicas it may still reach: what a killed process has written is delivered once a partition heals. The ledger
// also holds the orders of former terms until they have arrived or can't arrive any more.
type ledger struct {
	store metadata.Store
	term  *Term

	writing  sync.Mutex        // held during a write, which keeps the writes in sequence
	revision metadata.Revision // of ledgerKey, as of the last load or write; protected by writing

	mu     sync.Mutex
	orders map[inFlightKey]inFlight
	// former is the number of orders of former terms, by replica.
	former map[string]int
	// outdated is true if the store lists orders that are over.
	outdated bool
}

func newLedger(store metadata.Store, term *Term) *ledger {
	return &ledger{store: store, term: term, orders: make(map[inFlightKey]inFlight), former: make(map[string]int)}
}

// load reads what former terms left, and returns it.
func (ledger *ledger) load(ctx context.Context) ([]inFlight, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	item, found, err := ledger.store.Get(ctx, ledgerKey)
	if err != nil || !found {
		return nil, err
	}
	ledger.writing.Lock()
	ledger.revision = item.Revision
	ledger.writing.Unlock()
	document := ledgerDocument{}
	if err := json.Unmarshal(item.Value, &document); err != nil {
		return nil, errors.Wrap(err, "decode the orders in flight")
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for _, order := range document.Orders {
		ledger.orders[order.key()] = order
		ledger.former[order.Replica]++
	}
	return document.Orders, nil
}

// record writes orders that are about to be sent. After an error none of them may be sent.
func (ledger *ledger) record(ctx context.Context, orders []inFlight) error {
	ledger.mu.Lock()
	for _, order := range orders {
		ledger.orders[order.key()] = order
	}
	ledger.mu.Unlock()
	err := ledger.write(ctx)
	if err != nil {
		for _, order := range orders {
			ledger.remove(order)
		}
	}
	return err
}

// write stores the orders in flight, on condition that the term still holds the lease. A further condition is the revision of the list that
// it replaces: a list whose write is applied late lacks the orders that were recorded since, and must not replace a newer one.
func (ledger *ledger) write(ctx context.Context) error {
	ledger.writing.Lock()
	defer ledger.writing.Unlock()
	encoded, err := json.Marshal(ledgerDocument{Orders: ledger.snapshot()})
	if err != nil {
		return errors.Wrap(err, "encode the orders in flight")
	}
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	for {
		var revision metadata.Revision
		revision, err = ledger.store.Commit(ctx, metadata.Txn{
			Conditions: []metadata.Condition{ledger.term.Condition(), {Key: ledgerKey, Revision: ledger.revision}}, Puts: []metadata.Put{{Key: ledgerKey, Value: encoded}},
		})
		if err == nil {
			ledger.revision = revision
			return nil
		}
		if !ledger.adoptRevision(err) {
			ledger.markOutdated()
			return err
		}
	}
}

// adoptRevision reports whether a write failed because an earlier one whose response was lost has replaced the list, and takes over the
// revision. The caller must hold writing.
func (ledger *ledger) adoptRevision(err error) bool {
	var conflict *metadata.ConflictError
	if !errors.As(err, &conflict) {
		return false
	}
	holder, _ := conflict.Find(holderKey)
	current, _ := conflict.Find(ledgerKey)
	if holder.Revision != ledger.term.Condition().Revision || current.Revision == ledger.revision {
		return false
	}
	ledger.revision = current.Revision
	return true
}

// snapshot returns the orders in flight and counts them as stored.
func (ledger *ledger) snapshot() []inFlight {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	list := make([]inFlight, 0, len(ledger.orders))
	for _, order := range ledger.orders {
		list = append(list, order)
	}
	slices.SortFunc(list, func(a, b inFlight) int {
		return cmp.Or(cmp.Compare(a.Replica, b.Replica), cmp.Compare(a.Fence, b.Fence))
	})
	ledger.outdated = false
	return list
}

// remove removes an order that is over. The store lists it until the next write.
func (ledger *ledger) remove(order inFlight) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	delete(ledger.orders, order.key())
	ledger.outdated = true
	if order.Fence == ledger.term.Fence {
		return
	}
	if ledger.former[order.Replica]--; ledger.former[order.Replica] == 0 {
		delete(ledger.former, order.Replica)
	}
}

func (ledger *ledger) markOutdated() {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	ledger.outdated = true
}

func (ledger *ledger) isOutdated() bool {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.outdated
}

// awaitsFormer reports whether an order of a former term may still reach a replica.
func (ledger *ledger) awaitsFormer(replica string) bool {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	return ledger.former[replica] > 0
}
