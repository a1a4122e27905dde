package weights

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// Guards against an order in flight that the next term does not know of: the store applies an earlier list of orders after the list that
// has this order.
func TestLateListKeepsOrdersInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memstore.New()
		revision, err := store.Commit(t.Context(), metadata.Txn{Puts: []metadata.Put{{Key: holderKey, Value: []byte("a")}}})
		must.NoError(t, err)
		written := newLedger(store, &Term{Fence: int64(revision)})
		_, err = written.load(t.Context())
		must.NoError(t, err)
		list := func(replicas ...string) (orders []inFlight) {
			for _, replica := range replicas {
				orders = append(orders, inFlight{Replica: replica, Node: "a", Fence: int64(revision)})
			}
			return orders
		}
		must.NoError(t, written.record(t.Context(), list("before")))
		store.SetFaults(memstore.Faults{LoseResponses: 1, CommitDelay: 4 * time.Second})
		must.Error(t, written.record(t.Context(), list("not sent")))
		must.NoError(t, written.record(t.Context(), list("sent")))
		time.Sleep(5 * time.Second)
		read := func() map[string]bool {
			known, err := newLedger(store, &Term{}).load(t.Context())
			must.NoError(t, err)
			replicas := make(map[string]bool)
			for _, order := range known {
				replicas[order.Replica] = true
			}
			return replicas
		}
		must.Eq(t, map[string]bool{"before": true, "sent": true}, read())

		store.SetFaults(memstore.Faults{LoseResponses: 1})
		must.Error(t, written.record(t.Context(), list("listed without an answer")))
		must.NoError(t, written.record(t.Context(), list("sent later")))
		must.Eq(t, map[string]bool{"before": true, "sent": true, "sent later": true}, read())

		_, err = store.Commit(t.Context(), metadata.Txn{Puts: []metadata.Put{{Key: holderKey, Value: []byte("b")}}})
		must.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		must.Error(t, written.record(ctx, list("of a former term")))
		must.MapNotContainsKey(t, read(), "of a former term")
	})
}
