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

	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/weights"
)

// A node whose earlier incarnation still holds the lease runs OnEarlierIncarnation until the lease expires, and leads only then.
// Another node does not run it.
func TestNodeStandsInForItsFormerProcess(t *testing.T) {
	for _, own := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			store := memstore.New()
			lease, err := store.GrantLease(t.Context(), 3*time.Second)
			must.NoError(t, err)
			_, err = store.Commit(t.Context(), metadata.Txn{Puts: []metadata.Put{
				{Key: "cluster/orderer/holder", Value: []byte("a former"), Lease: lease}, {Key: "cluster/orderer/last", Value: []byte("a")},
			}})
			must.NoError(t, err)
			name := map[bool]string{true: "a", false: "b"}[own]
			election := weights.NewElection(store, name, weights.ElectionSettings{Lease: time.Second, Renew: 300 * time.Millisecond}, log.New(io.Discard))
			var standing, leading atomic.Int32
			count := func(ctx context.Context, counter *atomic.Int32) {
				counter.Add(1)
				<-ctx.Done()
				counter.Add(-1)
			}
			election.OnEarlierIncarnation = func(ctx context.Context) { count(ctx, &standing) }
			ctx, cancel := context.WithCancel(t.Context())
			go election.Run(ctx, func(ctx context.Context, _ *weights.Term) { count(ctx, &leading) })
			time.Sleep(2 * time.Second)
			must.Eq(t, own, standing.Load() == 1)
			must.Eq(t, 0, leading.Load())
			time.Sleep(3 * time.Second)
			must.Eq(t, 0, standing.Load())
			must.Eq(t, 1, leading.Load())
			cancel()
			time.Sleep(5 * time.Second)
			synctest.Wait()
		})
	}
}
