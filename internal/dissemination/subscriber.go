package dissemination

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

const (
	// silenceLimit is how long beacons may be missing before the reader of a zone reads the store itself, and relays what it reads to
	// the nodes of its zone; relayLimit is how much longer these wait for it before they read the store as well.
	silenceLimit = 1100 * time.Millisecond
	relayLimit   = 900 * time.Millisecond
	// behindLimit is how long this node may be behind a beacon before it does.
	behindLimit = 350 * time.Millisecond
	checkPeriod = 100 * time.Millisecond
	// calmTime is how long beacons must have come again before this node relies on them.
	calmTime = 1500 * time.Millisecond
	// startTime is how long after its start a node expects a publisher to be elected.
	startTime = 4 * time.Second
	// pauseLimit is how long this process may stand still before it distrusts what it knows.
	pauseLimit = 600 * time.Millisecond
)

// Subscriber takes what a publisher spreads. It implements clusterv1.Nodes.
type Subscriber struct {
	Node    string
	Life    int64
	Catalog *catalog.Table
	Health  *metadata.Health
	Logger  *log.Logger
	// FollowReplicas reads the replicas from the store until its context ends.
	FollowReplicas func(context.Context)
	// IsReader reports whether this node is the one of its zone that relays what it reads while no publisher is heard, and
	// Relay does so until its context ends; nil for a node that waits for no reader.
	IsReader func() bool
	Relay    func(context.Context)

	mu      sync.Mutex
	heard   time.Time // a beacon of anybody
	led     time.Time // a beacon of the publisher itself
	told    *clusterv1.Beacon
	from    net.Addr
	behind  time.Time // since when every check found something lacking; zero when the last did not
	relying bool
	calm    time.Time // since when nothing was missing
	checked time.Time
	begun   time.Time
}

// Publish takes replicas, and tells the revision that this node has then.
func (subscriber *Subscriber) Publish(_ context.Context, request *clusterv1.PublishRequest) (*clusterv1.PublishResponse, error) {
	replicas := decodeReplicas(request)
	if request.GetBaseRevision() == 0 {
		subscriber.Catalog.SetReplicas(replicas, request.GetRevision())
		return &clusterv1.PublishResponse{Revision: subscriber.Catalog.Replicas().Revision}, nil
	}
	known := subscriber.Catalog.ChangeReplicas(request.GetBaseRevision(), replicas, request.GetRemoved(), request.GetRevision())
	return &clusterv1.PublishResponse{Revision: known}, nil
}

// Ping tells who answers.
func (subscriber *Subscriber) Ping(context.Context, *clusterv1.PingRequest) (*clusterv1.PingResponse, error) {
	return &clusterv1.PingResponse{Name: subscriber.Node, Life: subscriber.Life}, nil
}

// Publisher returns the address of the publisher whose beacon came last; nil when none has come lately.
func (subscriber *Subscriber) Publisher() net.Addr {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if time.Since(subscriber.led) > silenceLimit {
		return nil
	}
	return subscriber.from
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Heard takes a beacon.
func (subscriber *Subscriber) Heard(beacon *clusterv1.Beacon, from net.Addr) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	subscriber.heard = time.Now()
	subscriber.told = beacon
	if !beacon.GetRelay() {
		subscriber.led = subscriber.heard
		subscriber.from = from
	}
}

// lacking reports whether the last beacon told of something that the catalog has not. It must be called with mu held.
func (subscriber *Subscriber) lacking() bool {
	if subscriber.Catalog.Replicas().Revision < subscriber.told.GetReplicaRevision() {
		return true
	}
	version := subscriber.told.GetConfigurationVersion()
	configuration := subscriber.Catalog.Configuration()
	return version > 0 && (configuration == nil || configuration.Version < version)
}

// Wait is how long watches of the store may wait.
func (subscriber *Subscriber) Wait() time.Duration {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	if subscriber.relying || time.Since(subscriber.begun) < startTime {
		return metadata.LongWait
	}
	return metadata.ShortWait
}

// Run decides, until the context ends, whether this node relies on beacons or reads the store itself.
func (subscriber *Subscriber) Run(ctx context.Context) {
	stop := func() {}
	subscriber.mu.Lock()
	subscriber.begun = time.Now()
	subscriber.calm = subscriber.begun
	subscriber.mu.Unlock()
	ticker := time.NewTicker(checkPeriod)
	defer ticker.Stop()
	for first := true; ; first = false {
		relying, changed := subscriber.check(time.Now())
		switch {
		case relying && changed:
			stop()
			subscriber.Logger.Info("beacons regained", "revision", subscriber.Catalog.Replicas().Revision)
		case !relying && (changed || first):
			if !first {
				subscriber.Logger.Warn("beacons lost", "revision", subscriber.Catalog.Replicas().Revision)
			}
			subscriber.Health.CutWatches()
			followCtx, cancel := context.WithCancel(ctx)
			stop = cancel
			go subscriber.FollowReplicas(followCtx)
			if subscriber.isReader() {
				subscriber.Logger.Info("relay begun", "node", subscriber.Node)
				go subscriber.Relay(followCtx)
			}
		}
		select {
		case <-ctx.Done():
			stop()
			return
		case <-ticker.C:
		}
	}
}

func (subscriber *Subscriber) isReader() bool {
	return subscriber.IsReader != nil && subscriber.IsReader()
}

// silent reports whether beacons have been missing for too long: those of the publisher for the reader of a zone, any others for the
// rest, which wait for the reader unless they have just begun. It must be called with mu held.
func (subscriber *Subscriber) silent(now time.Time) bool {
	switch {
	case subscriber.heard.IsZero():
		return true
	case subscriber.IsReader == nil:
		return now.Sub(subscriber.heard) > silenceLimit
	case subscriber.IsReader():
		return now.Sub(subscriber.led) > silenceLimit
	}
	return now.Sub(subscriber.heard) > silenceLimit+relayLimit
}

// check decides whether this node relies on beacons.
func (subscriber *Subscriber) check(now time.Time) (relying, changed bool) {
	subscriber.mu.Lock()
	defer subscriber.mu.Unlock()
	switch {
	case !subscriber.lacking():
		subscriber.behind = time.Time{}
	case subscriber.behind.IsZero():
		subscriber.behind = now
	}
	missing := subscriber.silent(now) || (!subscriber.behind.IsZero() && now.Sub(subscriber.behind) > behindLimit)
	stoodStill := now.Sub(subscriber.checked) > pauseLimit
	subscriber.checked = now
	if missing || stoodStill {
		subscriber.calm = now
	}
	before := subscriber.relying
	subscriber.relying = !missing && !stoodStill && now.Sub(subscriber.calm) > calmTime
	return subscriber.relying, subscriber.relying != before
}
