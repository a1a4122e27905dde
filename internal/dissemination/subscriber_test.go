package dissemination_test

import (
	"context"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/dissemination"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// fixture is a subscriber whose reading of the store is counted.
type fixture struct {
	*dissemination.Subscriber
	reading atomic.Int32
}

func newFixture() *fixture {
	logger := log.New(io.Discard)
	created := &fixture{Subscriber: &dissemination.Subscriber{
		Node: "front-1", Catalog: catalog.NewTable(), Health: metadata.NewHealth(memstore.New(), logger), Logger: logger,
	}}
	created.FollowReplicas = func(ctx context.Context) {
		created.reading.Add(1)
		<-ctx.Done()
		created.reading.Add(-1)
	}
	return created
}

func (fixture *fixture) beacons(count int, revision int64) {
	for range count {
		fixture.Heard(&clusterv1.Beacon{ReplicaRevision: revision}, nil)
		time.Sleep(400 * time.Millisecond)
	}
}

func publish(revision int64) *clusterv1.PublishRequest {
	return &clusterv1.PublishRequest{Revision: revision, Replicas: []*clusterv1.Replica{{Id: "replica-1"}}}
}

// A beacon that was heard before the first check crashed the process.
func TestBeaconBeforeFirstCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subscriber := newFixture()
		subscriber.Heard(&clusterv1.Beacon{}, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go subscriber.Run(ctx)
		time.Sleep(time.Second)
		must.Eq(t, 1, subscriber.reading.Load())
		cancel()
		synctest.Wait()
	})
}

// A node reads the store itself unless beacons come and it has what they tell of.
func TestReadsStoreWithoutBeacons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subscriber := newFixture()
		ctx, cancel := context.WithCancel(t.Context())
		go subscriber.Run(ctx)
		_, err := subscriber.Publish(ctx, publish(5))
		must.NoError(t, err)
		subscriber.beacons(8, 5)
		must.Eq(t, 0, subscriber.reading.Load())
		must.Eq(t, metadata.LongWait, subscriber.Wait())
		subscriber.beacons(2, 6) // it misses what the beacon tells of
		must.Eq(t, 1, subscriber.reading.Load())
		must.Eq(t, metadata.ShortWait, subscriber.Wait())
		_, err = subscriber.Publish(ctx, publish(6))
		must.NoError(t, err)
		subscriber.beacons(8, 6)
		must.Eq(t, 0, subscriber.reading.Load())
		time.Sleep(1500 * time.Millisecond)
		must.Eq(t, 1, subscriber.reading.Load())
		cancel()
		synctest.Wait()
	})
}

// Replicas of an older revision, from a publisher that lags, do not replace newer ones.
func TestOlderReplicasAreRefused(t *testing.T) {
	subscriber := newFixture()
	_, err := subscriber.Publish(t.Context(), publish(9))
	must.NoError(t, err)
	_, err = subscriber.Publish(t.Context(), &clusterv1.PublishRequest{Revision: 8})
	must.NoError(t, err)
	must.Eq(t, 1, len(subscriber.Catalog.Replicas().All))
}

// While no publisher is heard, the reader of a zone reads the store and relays; the others rely on it, and read themselves if it
// relays nothing either.
func TestZonesHaveOneReader(t *testing.T) {
	for _, reader := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			subscriber := newFixture()
			relaying := atomic.Int32{}
			subscriber.IsReader = func() bool { return reader }
			subscriber.Relay = func(ctx context.Context) {
				relaying.Add(1)
				<-ctx.Done()
				relaying.Add(-1)
			}
			ctx, cancel := context.WithCancel(t.Context())
			go subscriber.Run(ctx)
			_, err := subscriber.Publish(ctx, publish(5))
			must.NoError(t, err)
			subscriber.beacons(8, 5)
			must.Eq(t, 0, subscriber.reading.Load())
			for range 10 {
				subscriber.Heard(&clusterv1.Beacon{ReplicaRevision: 5, Relay: true}, nil)
				time.Sleep(400 * time.Millisecond)
			}
			must.Eq(t, reader, subscriber.reading.Load() == 1)
			must.Eq(t, reader, relaying.Load() == 1)
			must.Nil(t, subscriber.Publisher())
			must.Greater(t, 3*time.Second, subscriber.Silent(time.Now()))
			time.Sleep(2 * time.Second)
			must.Eq(t, 1, subscriber.reading.Load())
			subscriber.beacons(8, 5)
			must.Eq(t, 0, subscriber.reading.Load())
			must.Eq(t, 0, relaying.Load())
			cancel()
			synctest.Wait()
		})
	}
}
