package dissemination

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/capability"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

const (
	checkInterval = 100 * time.Millisecond
	// recoveryPeriod is how long nothing may have been missing before a node that reads the store relies on beacons again. It spans three
	// beacons.
	recoveryPeriod = 1500 * time.Millisecond
	// pauseThreshold is how long this process may be paused before it assumes that it has missed beacons.
	pauseThreshold = 600 * time.Millisecond
	// probeAfter is how long no beacon may arrive before this node has to know whether the store answers. Two beacons are late by then, and
	// a probe still ends before the node would read the store.
	probeAfter = 800 * time.Millisecond
	// startProbeLead is how long before the end of Limits.StartTimeout a new process has to know whether the store answers.
	startProbeLead = 100 * time.Millisecond
	// resumeTimeout is how long a process waits for a beacon after a pause. It exceeds beaconInterval.
	resumeTimeout = 500 * time.Millisecond
	// firstReadTimeout is how long a node that has started to read the store may still lack data. It covers a failed call and a
	// slow one. The store usually answers in 4 ms, and in fifty times as long when it is slow.
	firstReadTimeout = 500 * time.Millisecond
)

// Subscriber applies the updates of a publisher, and reads the metadata store itself while these do not suffice. It implements
// clusterv1.Nodes.
type Subscriber struct {
	Node        string
	Incarnation int64
	Topics      []Topic
	Limits      Limits
	Health      *metadata.Health
	Logger      *log.Logger
	// Metrics may be nil.
	Metrics *telemetry.Metrics
	// Follow reads all topics from the store until its context ends.
	Follow func(context.Context)
	// ReaderRank returns this node's rank, from 0, among the readers of its zone; negative if it is not one of them. While no
	// beacon of a publisher arrives, the reader with rank 0 relays what it reads; a reader with a higher rank does so while no beacon of any
	// sender arrives. Nil for a node that does not wait for readers. Relay publishes what this node reads until its context ends.
	ReaderRank func() int
	Relay      func(context.Context)
	// Assign handles assignments of nodes to relay to; nil for a node that does not relay.
	Assign func(*clusterv1.Assignment)
	// Clock measures the age of this node's data, including the time for which the machine was suspended; nil for a steady clock.
	Clock clock.Clock

	unpacker unpacker
	updates  updateCache

	mu                    sync.Mutex
	startedAt             time.Time
	lastBeaconAt          time.Time // of any sender
	lastPublisherBeaconAt time.Time // issued by a publisher, not by the reader of a zone
	lastBeacon            *clusterv1.Beacon
	delays                beaconDelays
	publisherAddress      net.Addr
	// publisher is the name of the node that issued the last beacon of a publisher, and term its fence; zero for none.
	publisher string
	term      int64
	// missingFrom is the earliest time from which missing beacons count. It advances while the store does not answer and when this process
	// was paused.
	missingFrom time.Time
	lastCheckAt time.Time
	// lastBeaconElapsed and lastCheckElapsed are the times of the last beacon and of the last check, by Clock.
	lastBeaconElapsed, lastCheckElapsed time.Duration
	lags                                map[string]lag // by prefix
	lastMissedAt                        time.Time      // zero for never
	reading                             bool
	// readingSince is when this node last started to read the store.
	readingSince time.Time
}

// lag is an announced revision of a topic that this node has not reached, and since when it lacks the revision.
type lag struct {
	revision metadata.Revision
	since    time.Time
}

// Publish applies updates and returns the revisions that this node has afterwards.
func (subscriber *Subscriber) Publish(_ context.Context, request *clusterv1.PublishRequest) (*clusterv1.PublishResponse, error) {
	response := &clusterv1.PublishResponse{}
	if request.GetAskCapabilities() {
		response.Capabilities = capability.Own()
	}
	for _, update := range request.GetUpdates() {
		if err := subscriber.applyUpdate(update); err != nil {
			response.Unread = append(response.Unread, update.GetPrefix())
		}
	}
	if request.GetAssignment() != nil && subscriber.Assign != nil {
		subscriber.Assign(request.GetAssignment())
	}
	response.Known = knownRevisions(subscriber.Topics)
	return response, nil
}

// applyUpdate applies an update. An update that cannot be read changes nothing and is recorded as a lag: this node is not up to date, and
// so rejects nothing that may have been added, and it reads the store itself if no readable update follows.
func (subscriber *Subscriber) applyUpdate(packed *clusterv1.PrefixUpdate) error {
	update, err := subscriber.unpacker.unpack(packed)
	if err != nil {
		subscriber.Logger.Error("update not readable", "prefix", packed.GetPrefix(), "revision", packed.GetRevision(), "error", err)
		subscriber.Metrics.UpdateUndecodable(packed.GetPrefix())
		subscriber.recordLag(packed.GetPrefix(), metadata.Revision(packed.GetRevision()))
		return err
	}
	for _, topic := range subscriber.Topics {
		if topic.Prefix() == update.GetPrefix() {
			topic.ApplyDelta(decodeDelta(update))
			subscriber.logUpdate(packed, update, topic.Revision())
		}
	}
	return nil
}

// recordLag records a revision of a prefix that this node has not reached.
func (subscriber *Subscriber) recordLag(prefix string, revision metadata.Revision) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if _, already := subscriber.lags[prefix]; !already && subscriber.lags != nil {
		subscriber.lags[prefix] = lag{revision, time.Now()}
	}
}

// logUpdate logs snapshots and packed updates. Updates of single changes are too frequent to log.
func (subscriber *Subscriber) logUpdate(packed, update *clusterv1.PrefixUpdate, known metadata.Revision) {
	isPacked := len(packed.GetPacked()) > 0
	subscriber.Metrics.UpdateApplied(update.GetPrefix(), update.GetWhole(), isPacked)
	if !update.GetWhole() && !isPacked {
		return
	}
	subscriber.Logger.Info("update taken", "prefix", update.GetPrefix(), "base", update.GetBaseRevision(), "revision", update.GetRevision(),
		"whole", update.GetWhole(), "packed", isPacked, "items", len(update.GetItems()), "removals", len(update.GetRemovals()), "known", int64(known))
}

// Ping returns the identity of this process.
func (subscriber *Subscriber) Ping(context.Context, *clusterv1.PingRequest) (*clusterv1.PingResponse, error) {
	return &clusterv1.PingResponse{Name: subscriber.Node, Life: subscriber.Incarnation}, nil
}

// Publisher returns the address of the publisher that issued the last beacon; nil if none arrived within Limits.BeaconTimeout.
func (subscriber *Subscriber) Publisher() net.Addr {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if time.Since(subscriber.lastPublisherBeaconAt) > subscriber.Limits.BeaconTimeout {
		return nil
	}
	return subscriber.publisherAddress
}

// Collector is the node that collects usage tallies, with the fence of its term.
type Collector struct {
	Node, Address string
	Term          int64
}

// Collector returns the collector that issued the last beacon; nil if none arrived within Limits.BeaconTimeout.
func (subscriber *Subscriber) Collector() *Collector {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if subscriber.term == 0 || subscriber.publisherAddress == nil || time.Since(subscriber.lastPublisherBeaconAt) > subscriber.Limits.BeaconTimeout {
		return nil
	}
	return &Collector{Node: subscriber.publisher, Address: subscriber.publisherAddress.String(), Term: subscriber.term}
}

// PublisherSilence returns the time since the last beacon of a publisher, or since the start of this process if none has arrived.
func (subscriber *Subscriber) PublisherSilence(now time.Time) time.Duration {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if subscriber.startedAt.IsZero() {
		return 0
	}
	return now.Sub(later(subscriber.lastPublisherBeaconAt, subscriber.startedAt))
}

// NeedsProbe reports whether this node has to know if the store answers, because beacons are late or it reads the store.
func (subscriber *Subscriber) NeedsProbe(now time.Time) bool {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	switch {
	case subscriber.reading:
		return true
	case subscriber.startedAt.IsZero():
		return false
	case subscriber.lastBeaconAt.IsZero():
		return now.Sub(subscriber.startedAt) > subscriber.Limits.StartTimeout-startProbeLead
	}
	return now.Sub(subscriber.lastBeaconAt) > probeAfter
}

// UpToDate reports whether this node knows of no missing revision of a topic: it has read a store that answers for some time, or a recent
// beacon announced nothing newer. After a pause of the process or a suspension of the machine it returns false until the node has new data.
// Otherwise the node would reject what the operator has added in the meantime.
func (subscriber *Subscriber) UpToDate(prefix string, now time.Time) bool {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	elapsed := subscriber.elapsed()
	if elapsed-subscriber.lastCheckElapsed > pauseThreshold {
		return false
	}
	if subscriber.reading {
		return subscriber.Health.Good() && now.Sub(subscriber.readingSince) > firstReadTimeout
	}
	if subscriber.lastBeaconAt.IsZero() || elapsed-subscriber.lastBeaconElapsed > subscriber.Limits.BeaconTimeout {
		return false
	}
	for _, topic := range subscriber.Topics {
		if _, lagging := subscriber.laggingSince(topic, now); lagging && topic.Prefix() == prefix {
			return false
		}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// HandleBeacon handles a beacon of a publisher, received directly or through a relay, and reports whether it is fresh. It ignores a beacon
// that was delayed while a process or machine was paused.
func (subscriber *Subscriber) HandleBeacon(beacon *clusterv1.Beacon, from net.Addr) (fresh bool) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	elapsed := subscriber.elapsed()
	if subscriber.delays.stale(beacon, elapsed) {
		subscriber.Metrics.StaleBeacon()
		return false
	}
	subscriber.lastBeaconAt, subscriber.lastBeaconElapsed = time.Now(), elapsed
	subscriber.lastBeacon = beacon
	if !beacon.GetRelay() {
		subscriber.lastPublisherBeaconAt = subscriber.lastBeaconAt
		subscriber.publisherAddress = publisherAddressOf(beacon, from)
		subscriber.publisher, subscriber.term = beacon.GetName(), beacon.GetTerm()
	}
	return true
}

// publisherAddressOf returns the publisher's address that a beacon carries, or the address of its sender if it carries none.
func publisherAddressOf(beacon *clusterv1.Beacon, from net.Addr) net.Addr {
	if address, err := netip.ParseAddrPort(beacon.GetAddress()); err == nil {
		return net.UDPAddrFromAddrPort(address)
	}
	return from
}

// elapsed returns the time of Clock. The caller holds mu.
func (subscriber *Subscriber) elapsed() time.Duration {
	subscriber.Clock = clock.OrMonotonic(subscriber.Clock)
	return subscriber.Clock.Elapsed()
}

// Run switches between relying on beacons and reading the store, until the context ends.
func (subscriber *Subscriber) Run(ctx context.Context) {
	subscriber.mu.Lock()
	subscriber.startedAt = time.Now()
	subscriber.lastCheckAt, subscriber.lastCheckElapsed = subscriber.startedAt, subscriber.elapsed()
	subscriber.lags = make(map[string]lag)
	subscriber.mu.Unlock()
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var reader *storeReader
	for {
		reading, changed, reason := subscriber.check(time.Now())
		switch {
		case changed && reading:
			subscriber.Logger.Warn("reading the store", "reason", reason)
			subscriber.Metrics.StoreReadStarted(reason)
			reader = subscriber.startReading(ctx)
		case changed:
			subscriber.Logger.Info("stopped reading the store", "store_answers", subscriber.Health.Good())
			reader.stop()
		}
		if reading {
			reader.relayAsReader()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// storeReader is a period in which this node reads the store itself.
type storeReader struct {
	subscriber *Subscriber
	ctx        context.Context
	stop       context.CancelFunc
	relaying   bool
}

func (subscriber *Subscriber) startReading(ctx context.Context) *storeReader {
	readCtx, stop := context.WithCancel(ctx)
	go subscriber.Follow(readCtx)
	return &storeReader{subscriber: subscriber, ctx: readCtx, stop: stop}
}

// relayAsReader starts relaying once this node is the reader of its zone, which may happen late, and the store has answered since the last
// beacon of a publisher. Otherwise other nodes would wait for a relay that has no data.
func (reader *storeReader) relayAsReader() {
	if reader.relaying || !reader.subscriber.isReader(time.Now()) || !reader.subscriber.Health.RespondedAfter(reader.subscriber.lastPublisherBeacon()) {
		return
	}
	reader.relaying = true
	reader.subscriber.Logger.Info("relaying started", "node", reader.subscriber.Node)
	go reader.subscriber.Relay(reader.ctx)
}

// lastPublisherBeacon returns when the last beacon of a publisher arrived; zero for never.
func (subscriber *Subscriber) lastPublisherBeacon() time.Time {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	return subscriber.lastPublisherBeaconAt
}

// isReader reports whether this node has to relay what it reads.
func (subscriber *Subscriber) isReader(now time.Time) bool {
	if subscriber.ReaderRank == nil {
		return false
	}
	rank := subscriber.ReaderRank()
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	return rank == 0 || (rank > 0 && now.Sub(subscriber.lastBeaconAt) > subscriber.Limits.BeaconTimeout)
}

// check decides whether this node reads the store. reason is what it lacks, empty for nothing.
func (subscriber *Subscriber) check(now time.Time) (reading, changed bool, reason string) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	elapsed := subscriber.elapsed()
	if pause := elapsed - subscriber.lastCheckElapsed; pause > pauseThreshold {
		subscriber.shiftTimes(pause - now.Sub(subscriber.lastCheckAt))
		subscriber.restartBeaconTimeout(now.Add(resumeTimeout - subscriber.Limits.BeaconTimeout))
		subscriber.readingSince = now // data read so far may be as old as the pause
	}
	subscriber.lastCheckAt, subscriber.lastCheckElapsed = now, elapsed
	storeAnswers := subscriber.Health.Good()
	if !storeAnswers {
		subscriber.restartBeaconTimeout(now)
		subscriber.lastMissedAt = time.Time{}
	}
	reason = subscriber.missingReason(now)
	if reason != "" {
		subscriber.lastMissedAt = now
	}
	before := subscriber.reading
	subscriber.reading = storeAnswers && !subscriber.lastMissedAt.IsZero() && now.Sub(subscriber.lastMissedAt) <= recoveryPeriod
	if subscriber.reading && !before {
		subscriber.readingSince = now
	}
	return subscriber.reading, subscriber.reading != before, reason
}

// shiftTimes moves timestamps back by the time for which the machine was suspended, which the monotonic clock does not count. The caller
// holds mu.
func (subscriber *Subscriber) shiftTimes(suspended time.Duration) {
	subscriber.startedAt = subscriber.startedAt.Add(-suspended)
	if !subscriber.lastBeaconAt.IsZero() {
		subscriber.lastBeaconAt = subscriber.lastBeaconAt.Add(-suspended)
	}
	if !subscriber.lastPublisherBeaconAt.IsZero() {
		subscriber.lastPublisherBeaconAt = subscriber.lastPublisherBeaconAt.Add(-suspended)
	}
}

// restartBeaconTimeout counts missing beacons from a given time at the earliest, and clears all lags. The caller holds mu.
func (subscriber *Subscriber) restartBeaconTimeout(from time.Time) {
	subscriber.missingFrom = later(subscriber.missingFrom, from)
	clear(subscriber.lags)
}

// missingReason returns what this node has lacked for too long; empty for nothing. The caller holds mu.
func (subscriber *Subscriber) missingReason(now time.Time) string {
	if subscriber.beaconsMissing(now) {
		return "no beacon"
	}
	for _, topic := range subscriber.Topics {
		if since, lagging := subscriber.laggingSince(topic, now); lagging && now.Sub(since) > subscriber.Limits.MaxLag+topic.allowance() {
			return "behind on " + topic.Prefix()
		}
	}
	return ""
}

// readersPerZone is how many nodes of a zone read the store, one after the other, before all other nodes of the zone do. With a
// third of the nodes refused by the store, three fail in one zone of 27. Each node that reads makes four calls in 1.5 s.
const readersPerZone = 3

// beaconsMissing reports whether beacons have been missing for too long. For the first reader of a zone, only beacons of the publisher
// count. Other nodes count beacons of any sender and wait for the readers of lower rank, unless they have never received a beacon. The
// caller holds mu.
func (subscriber *Subscriber) beaconsMissing(now time.Time) bool {
	since := later(subscriber.missingFrom, subscriber.startedAt)
	if subscriber.lastBeaconAt.IsZero() {
		return now.Sub(since) > subscriber.Limits.StartTimeout
	}
	rank := 0
	if subscriber.ReaderRank != nil {
		rank = subscriber.ReaderRank()
	}
	switch {
	case subscriber.ReaderRank == nil:
		return now.Sub(later(subscriber.lastBeaconAt, since)) > subscriber.Limits.BeaconTimeout
	case rank == 0:
		return now.Sub(later(subscriber.lastPublisherBeaconAt, since)) > subscriber.Limits.BeaconTimeout
	case rank < 0:
		rank = readersPerZone
	}
	delay := subscriber.Limits.RelayTimeout * time.Duration(rank) / readersPerZone
	return now.Sub(later(subscriber.lastBeaconAt, since)) > subscriber.Limits.BeaconTimeout+delay
}

// laggingSince reports whether this node has not reached an announced revision of a topic, and since when. It tracks one revision until it
// is reached: during continuous changes the newest revision is always missing, and only the delay of each one matters. The caller holds mu.
func (subscriber *Subscriber) laggingSince(topic Topic, now time.Time) (since time.Time, lagging bool) {
	known := topic.Revision()
	current, lagging := subscriber.lags[topic.Prefix()]
	if lagging && known < current.revision {
		return current.since, true
	}
	delete(subscriber.lags, topic.Prefix())
	for _, announced := range subscriber.lastBeacon.GetChanged() {
		if announced.GetPrefix() == topic.Prefix() && metadata.Revision(announced.GetRevision()) > known {
			subscriber.lags[topic.Prefix()] = lag{metadata.Revision(announced.GetRevision()), now}
			return now, true
		}
	}
	return time.Time{}, false
}
