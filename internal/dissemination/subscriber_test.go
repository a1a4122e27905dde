package dissemination_test

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/dissemination"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

const (
	prefixConfiguration = "operator/configuration"
	prefixReplicas      = "replicas/"
	prefixNodes         = "nodes/"
)

// keys is a handler that records the keys of a topic.
type keys struct {
	mu   sync.Mutex
	list map[string]metadata.Revision
}

func (keys *keys) Reset(items []metadata.Item, _ metadata.Revision) {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	keys.list = make(map[string]metadata.Revision)
	for _, item := range items {
		keys.list[item.Key] = item.Revision
	}
}

func (keys *keys) Apply(events []metadata.Event, _ metadata.Revision) {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	for _, event := range events {
		if event.Deleted {
			delete(keys.list, event.Key)
			continue
		}
		keys.list[event.Key] = event.Revision
	}
}

func (keys *keys) count() int {
	keys.mu.Lock()
	defer keys.mu.Unlock()
	return len(keys.list)
}

// fixture is a subscriber that records whether it reads the store.
type fixture struct {
	*dissemination.Subscriber
	store    *memstore.Store
	replicas *keys
	reading  atomic.Int32
}

const nodesMinInterval = time.Second

// limits returns the limits of deployments in which a change has to take effect within two seconds.
func limits() dissemination.Limits { return dissemination.LimitsFor(2*time.Second, false) }

func newFixture() *fixture {
	logger := log.New(io.Discard)
	created := &fixture{store: memstore.New(), replicas: &keys{}}
	created.Subscriber = &dissemination.Subscriber{
		Node: "front-1", Incarnation: 1, Health: metadata.NewHealth(created.store, logger), Logger: logger, Limits: limits(),
		Topics: []dissemination.Topic{
			{Mirror: metadata.NewMirror(prefixConfiguration, &keys{})},
			{Mirror: metadata.NewMirror(prefixReplicas, created.replicas)},
			{Mirror: metadata.NewMirror(prefixNodes, &keys{}), MinInterval: nodesMinInterval},
		},
	}
	created.Follow = func(ctx context.Context) {
		created.reading.Add(1)
		<-ctx.Done()
		created.reading.Add(-1)
	}
	return created
}

func beacon(prefix string, revision int64) *clusterv1.Beacon {
	return &clusterv1.Beacon{Changed: []*clusterv1.PrefixRevision{{Prefix: prefix, Revision: revision}}}
}

func (fixture *fixture) beacons(count int, prefix string, revision int64) {
	for range count {
		fixture.HandleBeacon(beacon(prefix, revision), nil)
		time.Sleep(400 * time.Millisecond)
	}
}

// publishSnapshot publishes a snapshot of one key at a revision.
func (fixture *fixture) publishSnapshot(t *testing.T, prefix string, revision int64) {
	t.Helper()
	_, err := fixture.Publish(t.Context(), &clusterv1.PublishRequest{Updates: []*clusterv1.PrefixUpdate{
		{Prefix: prefix, Revision: revision, Whole: true, Items: []*clusterv1.StoredItem{{Key: prefix + "1", Revision: revision}}},
	}})
	must.NoError(t, err)
}

// Guards against a crash when a beacon arrives before the first check.
func TestBeaconBeforeFirstCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subscriber := newFixture()
		subscriber.HandleBeacon(&clusterv1.Beacon{}, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go subscriber.Run(ctx)
		time.Sleep(limits().BeaconTimeout + 200*time.Millisecond)
		must.Eq(t, 1, subscriber.reading.Load())
		cancel()
		synctest.Wait()
	})
}

// Guards against a node that does not read the store, for any topic, when beacons stop or it lacks an announced revision.
func TestReadsStoreWithoutBeacons(t *testing.T) {
	for _, prefix := range []string{prefixConfiguration, prefixReplicas} {
		synctest.Test(t, func(t *testing.T) {
			subscriber := newFixture()
			ctx, cancel := context.WithCancel(t.Context())
			go subscriber.Run(ctx)
			subscriber.publishSnapshot(t, prefix, 5)
			subscriber.beacons(8, prefix, 5)
			must.Eq(t, 0, subscriber.reading.Load())
			subscriber.beacons(2, prefix, 6) // announced but not received
			must.Eq(t, 1, subscriber.reading.Load())
			subscriber.publishSnapshot(t, prefix, 6)
			subscriber.beacons(8, prefix, 6)
			must.Eq(t, 0, subscriber.reading.Load())
			time.Sleep(1500 * time.Millisecond)
			must.Eq(t, 1, subscriber.reading.Load())
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against reading the store within the minimum interval of a topic, and against lagging for longer.
func TestPacedTopicMayLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subscriber := newFixture()
		ctx, cancel := context.WithCancel(t.Context())
		go subscriber.Run(ctx)
		subscriber.publishSnapshot(t, prefixNodes, 5)
		subscriber.beacons(3, prefixNodes, 6)
		must.Eq(t, 0, subscriber.reading.Load())
		subscriber.beacons(2, prefixNodes, 6)
		must.Eq(t, 1, subscriber.reading.Load())
		cancel()
		synctest.Wait()
	})
}

// Guards against a new process that reads the store before it has waited for a publisher, or not at all.
func TestStartWaitsForPublisher(t *testing.T) {
	for _, first := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			subscriber := newFixture()
			subscriber.Limits = dissemination.LimitsFor(2*time.Second, first)
			ctx, cancel := context.WithCancel(t.Context())
			go subscriber.Run(ctx)
			time.Sleep(subscriber.Limits.StartTimeout - 100*time.Millisecond)
			must.Eq(t, 0, subscriber.reading.Load())
			time.Sleep(300 * time.Millisecond)
			must.Eq(t, 1, subscriber.reading.Load())
			must.Eq(t, first, subscriber.Limits.StartTimeout > 2*time.Second)
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against a new process that reads the store although a publisher reaches it in time.
func TestStartWithPublisherReadsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subscriber := newFixture()
		ctx, cancel := context.WithCancel(t.Context())
		go subscriber.Run(ctx)
		time.Sleep(300 * time.Millisecond)
		subscriber.publishSnapshot(t, prefixReplicas, 5)
		for range 20 {
			subscriber.beacons(1, prefixReplicas, 5)
			must.Eq(t, 0, subscriber.reading.Load())
		}
		must.Eq(t, 0, subscriber.store.Calls())
		cancel()
		synctest.Wait()
	})
}

// Guards against reading a store that does not answer, and against reading it before a beacon could arrive when it answers again.
func TestLostStoreIsNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		subscriber := newFixture()
		ctx, cancel := context.WithCancel(t.Context())
		go subscriber.Run(ctx)
		subscriber.beacons(3, prefixReplicas, 0)
		must.False(t, subscriber.NeedsProbe(time.Now()))
		time.Sleep(700 * time.Millisecond)
		must.True(t, subscriber.NeedsProbe(time.Now()))
		subscriber.Health.Observe(errors.New("refused"))
		time.Sleep(6 * time.Second)
		must.Eq(t, 0, subscriber.reading.Load())
		subscriber.Health.Observe(nil)
		time.Sleep(300 * time.Millisecond)
		subscriber.beacons(5, prefixReplicas, 0)
		must.Eq(t, 0, subscriber.reading.Load())
		subscriber.Health.Observe(errors.New("refused"))
		time.Sleep(6 * time.Second)
		subscriber.Health.Observe(nil)
		time.Sleep(2 * time.Second) // without a publisher
		must.Eq(t, 1, subscriber.reading.Load())
		cancel()
		synctest.Wait()
	})
}

// Guards against a lagging publisher that replaces keys by an older revision.
func TestOlderKeysAreRefused(t *testing.T) {
	subscriber := newFixture()
	subscriber.publishSnapshot(t, prefixReplicas, 9)
	response, err := subscriber.Publish(t.Context(), &clusterv1.PublishRequest{Updates: []*clusterv1.PrefixUpdate{{Prefix: prefixReplicas, Revision: 8, Whole: true}}})
	must.NoError(t, err)
	must.Eq(t, 9, response.GetKnown()[1].GetRevision())
	must.Eq(t, 1, subscriber.replicas.count())
}

// Guards against several readers in a zone: without a publisher only the reader reads and relays, unless it relays nothing.
func TestZonesHaveOneReader(t *testing.T) {
	for _, reader := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			subscriber := newFixture()
			relaying := atomic.Int32{}
			subscriber.ReaderRank = func() int { return map[bool]int{true: 0, false: -1}[reader] }
			subscriber.Relay = func(ctx context.Context) {
				relaying.Add(1)
				<-ctx.Done()
				relaying.Add(-1)
			}
			ctx, cancel := context.WithCancel(t.Context())
			go subscriber.Run(ctx)
			subscriber.publishSnapshot(t, prefixReplicas, 5)
			subscriber.beacons(8, prefixReplicas, 5)
			must.Eq(t, 0, subscriber.reading.Load())
			time.Sleep(limits().BeaconTimeout - 300*time.Millisecond)
			subscriber.Health.Observe(nil) // a reader relays only after a successful probe
			for range 10 {
				relayed := beacon(prefixReplicas, 5)
				relayed.Relay = true
				subscriber.HandleBeacon(relayed, nil)
				time.Sleep(400 * time.Millisecond)
			}
			must.Eq(t, reader, subscriber.reading.Load() == 1)
			must.Eq(t, reader, relaying.Load() == 1)
			must.Nil(t, subscriber.Publisher())
			must.Greater(t, 3*time.Second, subscriber.PublisherSilence(time.Now()))
			time.Sleep(2 * time.Second)
			must.Eq(t, 1, subscriber.reading.Load())
			subscriber.beacons(8, prefixReplicas, 5)
			must.Eq(t, 0, subscriber.reading.Load())
			must.Eq(t, 0, relaying.Load())
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against a zone without a reader: if the first reader relays nothing, the next one takes over.
func TestReadersTakeTurns(t *testing.T) {
	for rank, turn := range []time.Duration{0, limits().RelayTimeout / 3, limits().RelayTimeout * 2 / 3, limits().RelayTimeout} {
		synctest.Test(t, func(t *testing.T) {
			subscriber := newFixture()
			relaying := atomic.Int32{}
			subscriber.ReaderRank = func() int { return [...]int{0, 1, 2, -1}[rank] }
			subscriber.Relay = func(ctx context.Context) {
				relaying.Add(1)
				<-ctx.Done()
			}
			ctx, cancel := context.WithCancel(t.Context())
			go subscriber.Run(ctx)
			subscriber.publishSnapshot(t, prefixReplicas, 5)
			subscriber.beacons(4, prefixReplicas, 5)
			last := time.Now().Add(-400 * time.Millisecond) // fixture.beacons sleeps after each beacon
			time.Sleep(limits().BeaconTimeout - 50*time.Millisecond - time.Since(last))
			subscriber.Health.Observe(nil)
			time.Sleep(limits().BeaconTimeout + turn - 50*time.Millisecond - time.Since(last))
			must.Eq(t, 0, subscriber.reading.Load(), must.Sprint("rank ", rank))
			time.Sleep(250 * time.Millisecond)
			must.Eq(t, 1, subscriber.reading.Load(), must.Sprint("rank ", rank))
			must.Eq(t, rank < 3, relaying.Load() == 1, must.Sprint("rank ", rank))
			cancel()
			synctest.Wait()
		})
	}
}

// Guards against limits that leave no time to read the store before a change has to take effect.
func TestLimitsEndBeforeChangesAreDue(t *testing.T) {
	for _, inForce := range []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, time.Minute} {
		limits := dissemination.LimitsFor(inForce, false)
		must.Less(t, inForce*4/5, limits.BeaconTimeout+limits.RelayTimeout)
		must.Less(t, inForce/3, limits.MaxLag)
	}
}

// Guards against claiming to be up to date before the first beacon, after beacons have stopped, or while an announced revision of the same
// topic is missing.
func TestUpToDate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go fixture.Run(ctx)
		synctest.Wait()
		upToDate := func() bool { return fixture.UpToDate(prefixConfiguration, time.Now()) }
		must.False(t, upToDate(), must.Sprint("before any beacon"))
		fixture.publishSnapshot(t, prefixConfiguration, 5)
		fixture.HandleBeacon(beacon(prefixConfiguration, 5), nil)
		must.True(t, upToDate())
		fixture.HandleBeacon(beacon(prefixConfiguration, 9), nil)
		must.False(t, upToDate(), must.Sprint("a newer revision was announced"))
		fixture.publishSnapshot(t, prefixConfiguration, 9)
		must.True(t, upToDate())
		fixture.HandleBeacon(beacon(prefixReplicas, 12), nil)
		must.True(t, upToDate(), must.Sprint("another topic"))
		time.Sleep(limits().BeaconTimeout + 10*time.Millisecond)
		must.False(t, upToDate(), must.Sprint("beacons stopped, nothing read yet"))
		time.Sleep(time.Second)
		must.True(t, upToDate(), must.Sprint("the node reads the store itself"))
	})
}
