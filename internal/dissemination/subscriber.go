package dissemination

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/clock"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/telemetry"
)

const (
	checkPeriod = 100 * time.Millisecond
	// calmTime is how long nothing must have been missing before a node that reads the store relies on beacons again: three beacons.
	calmTime = 1500 * time.Millisecond
	// pauseLimit is how long this process may stand still before it expects to have missed beacons.
	pauseLimit = 600 * time.Millisecond
	// doubtAfter is how long no beacon must have come before this node has to know whether the store answers: two beacons are late, and
	// a probe still ends before the node would read the store.
	doubtAfter = 800 * time.Millisecond
	// startDoubt is how long before the end of its wait for a publisher a process that has just begun has to know that.
	startDoubt = 100 * time.Millisecond
	// wakeWait is how long a process that stood still waits for a beacon: one comes every 400 ms.
	wakeWait = 500 * time.Millisecond
	// firstReading is how long a node that has begun to read the store may lack something: a call that the store answers within its usual
	// 4 ms, or fifty times as late, and as much again for a call that fails first.
	firstReading = 500 * time.Millisecond
)

// Subscriber takes what a publisher spreads, and reads the metadata store itself while that is not enough. It implements
// clusterv1.Nodes.
type Subscriber struct {
	Node   string
	Life   int64
	Topics []Topic
	Limits Limits
	Health *metadata.Health
	Logger *log.Logger
	// Metrics may be nil.
	Metrics *telemetry.Metrics
	// Follow reads all topics from the store until its context ends.
	Follow func(context.Context)
	// ReaderRank returns this node's place, from 0, among the readers of its zone: the first relays what it reads while no publisher is
	// heard, each further one while nobody is; negative for the other nodes of the zone. Relay does so until its context ends. Nil for a
	// node that waits for no reader.
	ReaderRank func() int
	Relay      func(context.Context)
	// Assign takes what this node is to relay to others; nil for a node that relays nothing.
	Assign func(*clusterv1.Assignment)
	// Clock tells how old what this node knows is, also after its machine was suspended; nil for a steady one.
	Clock clock.Clock

	unpacker unpacker
	updates  updates

	mu    sync.Mutex
	begun time.Time
	heard time.Time // a beacon of anybody
	led   time.Time // a beacon of the publisher itself
	told  *clusterv1.Beacon
	ages  beaconAges
	from  net.Addr
	// publisher is the name of the node that sent the last beacon of a publisher, term the fence that it told; zero for none.
	publisher string
	term      int64
	// excused is until when missing beacons mean nothing: this process stood still, or the store did not answer.
	excused time.Time
	checked time.Time
	// heardAt and checkedAt are when a beacon was last heard, and when this process last looked for what it misses, by the Clock.
	heardAt, checkedAt time.Duration
	behind             map[string]lag // by prefix
	missed             time.Time      // when something was missing last; zero for never
	reading            bool
	// readingSince is when this node last began to read the store.
	readingSince time.Time
}

// lag is a revision of a topic that a beacon told of, and since when this node has not reached it.
type lag struct {
	revision metadata.Revision
	since    time.Time
}

// Publish takes updates, and tells what this node knows then.
func (subscriber *Subscriber) Publish(_ context.Context, request *clusterv1.PublishRequest) (*clusterv1.PublishResponse, error) {
	response := &clusterv1.PublishResponse{}
	for _, update := range request.GetUpdates() {
		if err := subscriber.take(update); err != nil {
			response.Unread = append(response.Unread, update.GetPrefix())
		}
	}
	if request.GetAssignment() != nil && subscriber.Assign != nil {
		subscriber.Assign(request.GetAssignment())
	}
	response.Known = known(subscriber.Topics)
	return response, nil
}

// take takes an update. One that can't be read changes nothing, and this node knows that it lacks what it was to bring: it denies nothing meanwhile
// that may have been added, and reads the store itself if nothing better comes.
func (subscriber *Subscriber) take(packed *clusterv1.PrefixUpdate) error {
	update, err := subscriber.unpacker.unpack(packed)
	if err != nil {
		subscriber.Logger.Error("update not readable", "prefix", packed.GetPrefix(), "revision", packed.GetRevision(), "error", err)
		subscriber.Metrics.UpdateUnread(packed.GetPrefix())
		subscriber.noteLack(packed.GetPrefix(), metadata.Revision(packed.GetRevision()))
		return err
	}
	for _, topic := range subscriber.Topics {
		if topic.Prefix() == update.GetPrefix() {
			topic.Take(decodeDifference(update))
			subscriber.tellTaken(packed, update, topic.Revision())
		}
	}
	return nil
}

// noteLack notes that there is a revision of a prefix which this node has not reached.
func (subscriber *Subscriber) noteLack(prefix string, revision metadata.Revision) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if _, already := subscriber.behind[prefix]; !already && subscriber.behind != nil {
		subscriber.behind[prefix] = lag{revision, time.Now()}
	}
}

// tellTaken says what an update brought, as it came and as it was unpacked. Updates of single changes have no line, as at the publisher.
func (subscriber *Subscriber) tellTaken(packed, update *clusterv1.PrefixUpdate, known metadata.Revision) {
	isPacked := len(packed.GetPacked()) > 0
	subscriber.Metrics.UpdateTaken(update.GetPrefix(), update.GetWhole(), isPacked)
	if !update.GetWhole() && !isPacked {
		return
	}
	subscriber.Logger.Info("update taken", "prefix", update.GetPrefix(), "base", update.GetBaseRevision(), "revision", update.GetRevision(),
		"whole", update.GetWhole(), "packed", isPacked, "items", len(update.GetItems()), "removals", len(update.GetRemovals()), "known", int64(known))
}

// Ping tells who answers.
func (subscriber *Subscriber) Ping(context.Context, *clusterv1.PingRequest) (*clusterv1.PingResponse, error) {
	return &clusterv1.PingResponse{Name: subscriber.Node, Life: subscriber.Life}, nil
}

// Publisher returns the address of the publisher whose beacon came last; nil when none has come lately.
func (subscriber *Subscriber) Publisher() net.Addr {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if time.Since(subscriber.led) > subscriber.Limits.Silence {
		return nil
	}
	return subscriber.from
}

// Collector is the node that collects tallies of usage, with the fence of its term.
type Collector struct {
	Node, Address string
	Term          int64
}

// Collector returns the collector whose beacon came last; nil when none has come lately.
func (subscriber *Subscriber) Collector() *Collector {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if subscriber.term == 0 || subscriber.from == nil || time.Since(subscriber.led) > subscriber.Limits.Silence {
		return nil
	}
	return &Collector{Node: subscriber.publisher, Address: subscriber.from.String(), Term: subscriber.term}
}

// Silent returns how long no beacon of a publisher has come, counted from the start of this process at most.
func (subscriber *Subscriber) Silent(now time.Time) time.Duration {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if subscriber.begun.IsZero() {
		return 0
	}
	return now.Sub(later(subscriber.led, subscriber.begun))
}

// Doubts reports whether this node has to know whether the store answers it, because beacons are late.
func (subscriber *Subscriber) Doubts(now time.Time) bool {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	switch {
	case subscriber.reading:
		return true
	case subscriber.begun.IsZero():
		return false
	case subscriber.heard.IsZero():
		return now.Sub(subscriber.begun) > subscriber.Limits.Start-startDoubt
	}
	return now.Sub(subscriber.heard) > doubtAfter
}

// UpToDate reports whether this node knows of nothing that it lacks of a topic: it has read the store for some time, which answers, or a
// beacon came lately that told of nothing newer. A node that stood still, itself or with its machine, can't tell until it has heard anew: it
// would deny what the operator has added meanwhile.
func (subscriber *Subscriber) UpToDate(prefix string, now time.Time) bool {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	elapsed := subscriber.elapsed()
	if elapsed-subscriber.checkedAt > pauseLimit {
		return false
	}
	if subscriber.reading {
		return subscriber.Health.Good() && now.Sub(subscriber.readingSince) > firstReading
	}
	if subscriber.heard.IsZero() || elapsed-subscriber.heardAt > subscriber.Limits.Silence {
		return false
	}
	for _, topic := range subscriber.Topics {
		if _, lacks := subscriber.lacks(topic, now); lacks && topic.Prefix() == prefix {
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

// Heard takes a beacon, from its publisher or passed on by a relay, and reports whether it is new: an old one, which lay somewhere while a
// process or machine stood still, counts for nothing.
func (subscriber *Subscriber) Heard(beacon *clusterv1.Beacon, from net.Addr) (fresh bool) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	elapsed := subscriber.elapsed()
	if subscriber.ages.late(beacon, elapsed) {
		subscriber.Metrics.OldBeacon()
		return false
	}
	subscriber.heard, subscriber.heardAt = time.Now(), elapsed
	subscriber.told = beacon
	if !beacon.GetRelay() {
		subscriber.led = subscriber.heard
		subscriber.from = publisherOf(beacon, from)
		subscriber.publisher, subscriber.term = beacon.GetName(), beacon.GetTerm()
	}
	return true
}

// publisherOf returns the address of the publisher of a beacon that came from another one, if that was told.
func publisherOf(beacon *clusterv1.Beacon, from net.Addr) net.Addr {
	if address, err := netip.ParseAddrPort(beacon.GetAddress()); err == nil {
		return net.UDPAddrFromAddrPort(address)
	}
	return from
}

// elapsed must be called with mu held.
func (subscriber *Subscriber) elapsed() time.Duration {
	subscriber.Clock = clock.OrSteady(subscriber.Clock)
	return subscriber.Clock.Elapsed()
}

// Run decides, until the context ends, whether this node relies on beacons or reads the store itself.
func (subscriber *Subscriber) Run(ctx context.Context) {
	subscriber.mu.Lock()
	subscriber.begun = time.Now()
	subscriber.checked, subscriber.checkedAt = subscriber.begun, subscriber.elapsed()
	subscriber.behind = make(map[string]lag)
	subscriber.mu.Unlock()
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	var own *ownReading
	for {
		reading, changed, reason := subscriber.check(time.Now())
		switch {
		case changed && reading:
			subscriber.Logger.Warn("reading the store", "reason", reason)
			subscriber.Metrics.Reading(reason)
			own = subscriber.beginReading(ctx)
		case changed:
			subscriber.Logger.Info("store not read", "store_answers", subscriber.Health.Good())
			own.stop()
		}
		if reading {
			own.relayAsReader()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// ownReading is a time in which this node reads the store itself.
type ownReading struct {
	subscriber *Subscriber
	ctx        context.Context
	stop       context.CancelFunc
	relaying   bool
}

func (subscriber *Subscriber) beginReading(ctx context.Context) *ownReading {
	readCtx, stop := context.WithCancel(ctx)
	go subscriber.Follow(readCtx)
	return &ownReading{subscriber: subscriber, ctx: readCtx, stop: stop}
}

// relayAsReader relays what is read once this node is the reader of its zone, of which it may learn late, and knows that the store answers
// it: others would wait for a relay that has nothing to say.
func (own *ownReading) relayAsReader() {
	if own.relaying || !own.subscriber.isReader(time.Now()) || !own.subscriber.Health.AnsweredAfter(own.subscriber.lastLed()) {
		return
	}
	own.relaying = true
	own.subscriber.Logger.Info("relay begun", "node", own.subscriber.Node)
	go own.subscriber.Relay(own.ctx)
}

// lastLed returns when the last beacon of a publisher came; zero for never.
func (subscriber *Subscriber) lastLed() time.Time {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	return subscriber.led
}

// isReader reports whether it is this node's turn to relay what it reads.
func (subscriber *Subscriber) isReader(now time.Time) bool {
	if subscriber.ReaderRank == nil {
		return false
	}
	rank := subscriber.ReaderRank()
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	return rank == 0 || (rank > 0 && now.Sub(subscriber.heard) > subscriber.Limits.Silence)
}

// check decides whether this node reads the store, and why.
func (subscriber *Subscriber) check(now time.Time) (reading, changed bool, reason string) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	elapsed := subscriber.elapsed()
	if pause := elapsed - subscriber.checkedAt; pause > pauseLimit {
		subscriber.age(pause - now.Sub(subscriber.checked))
		subscriber.excuse(now.Add(wakeWait - subscriber.Limits.Silence))
		subscriber.readingSince = now // what is read may be as old as the pause
	}
	subscriber.checked, subscriber.checkedAt = now, elapsed
	answers := subscriber.Health.Good()
	if !answers {
		subscriber.excuse(now)
		subscriber.missed = time.Time{}
	}
	reason = subscriber.missing(now)
	if reason != "" {
		subscriber.missed = now
	}
	before := subscriber.reading
	subscriber.reading = answers && !subscriber.missed.IsZero() && now.Sub(subscriber.missed) <= calmTime
	if subscriber.reading && !before {
		subscriber.readingSince = now
	}
	return subscriber.reading, subscriber.reading != before, reason
}

// age has what was before count as older by the time for which the machine was suspended. It must be called with mu held.
func (subscriber *Subscriber) age(suspended time.Duration) {
	subscriber.begun = subscriber.begun.Add(-suspended)
	if !subscriber.heard.IsZero() {
		subscriber.heard = subscriber.heard.Add(-suspended)
	}
	if !subscriber.led.IsZero() {
		subscriber.led = subscriber.led.Add(-suspended)
	}
}

// excuse has silence count from a moment at the earliest, and forgets since when anything was lacking. It must be called with mu held.
func (subscriber *Subscriber) excuse(from time.Time) {
	subscriber.excused = later(subscriber.excused, from)
	clear(subscriber.behind)
}

// missing returns what this node misses for too long; empty for nothing. It must be called with mu held.
func (subscriber *Subscriber) missing(now time.Time) string {
	if subscriber.silent(now) {
		return "no beacon"
	}
	for _, topic := range subscriber.Topics {
		if since, lacks := subscriber.lacks(topic, now); lacks && now.Sub(since) > subscriber.Limits.Behind+topic.allowance() {
			return "behind on " + topic.Prefix()
		}
	}
	return ""
}

// readersOfZone is how many nodes of a zone read the store, one after the other, before all others do: with a third of the nodes refused by
// the store, three fail in one zone of 27. Each node that reads makes four calls in 1.5 s.
const readersOfZone = 3

// silent reports whether beacons have been missing for too long: those of the publisher for the first reader of a zone, any for the rest,
// which wait for the readers before them unless they have heard of nobody yet. It must be called with mu held.
func (subscriber *Subscriber) silent(now time.Time) bool {
	since := later(subscriber.excused, subscriber.begun)
	if subscriber.heard.IsZero() {
		return now.Sub(since) > subscriber.Limits.Start
	}
	rank := 0
	if subscriber.ReaderRank != nil {
		rank = subscriber.ReaderRank()
	}
	switch {
	case subscriber.ReaderRank == nil:
		return now.Sub(later(subscriber.heard, since)) > subscriber.Limits.Silence
	case rank == 0:
		return now.Sub(later(subscriber.led, since)) > subscriber.Limits.Silence
	case rank < 0:
		rank = readersOfZone
	}
	turn := subscriber.Limits.Relay * time.Duration(rank) / readersOfZone
	return now.Sub(later(subscriber.heard, since)) > subscriber.Limits.Silence+turn
}

// lacks reports whether beacons told of a revision of a topic that this node has not reached, and since when. While changes go on, it
// always lacks the last ones: what counts is how long it lacks any one. It must be called with mu held.
func (subscriber *Subscriber) lacks(topic Topic, now time.Time) (since time.Time, lacks bool) {
	known := topic.Revision()
	lagging, lacks := subscriber.behind[topic.Prefix()]
	if lacks && known < lagging.revision {
		return lagging.since, true
	}
	delete(subscriber.behind, topic.Prefix())
	for _, told := range subscriber.told.GetChanged() {
		if told.GetPrefix() == topic.Prefix() && metadata.Revision(told.GetRevision()) > known {
			subscriber.behind[topic.Prefix()] = lag{metadata.Revision(told.GetRevision()), now}
			return now, true
		}
	}
	return time.Time{}, false
}
