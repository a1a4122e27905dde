package dissemination

import "time"

// Limits bounds how long a node tolerates missing data from a publisher before it reads the metadata store itself.
type Limits struct {
	// BeaconTimeout is how long beacons may be missing before the reader of a zone reads the store and relays the result to the nodes of
	// its zone. RelayTimeout is how much longer those nodes wait for the reader before they read the store themselves.
	BeaconTimeout, RelayTimeout time.Duration
	// MaxLag is how long a node may lack a revision that a beacon announced, in addition to the minimum interval of the topic.
	MaxLag time.Duration
	// StartTimeout is how long a new process waits for a publisher.
	StartTimeout time.Duration
}

const (
	// maxBeaconTimeout and maxRelayTimeout apply when changes have ample time to take effect. maxBeaconTimeout tolerates two lost beacons;
	// maxRelayTimeout covers the time in which a reader reads and publishes.
	maxBeaconTimeout = 1100 * time.Millisecond
	maxRelayTimeout  = 900 * time.Millisecond
	// beaconTimeoutShare, relayTimeoutShare and lagShare are fractions of the time in which a change has to take effect. They add up to
	// less than 1; a quarter of the time remains for reading the store if the publisher and the reader of a zone fail at the moment of a
	// change.
	beaconTimeoutShare = 0.45
	relayTimeoutShare  = 0.3
	lagShare           = 0.2
	// startTimeout covers the interval at which a publisher looks for new nodes (250 ms) and a push. Callers whose connections a
	// restart of many nodes has cut wait as long.
	startTimeout = 400 * time.Millisecond
	// firstStartTimeout covers an election and a push to all nodes when the whole deployment starts for the first time and serves no
	// requests yet.
	firstStartTimeout = 4 * time.Second
)

// LimitsFor returns the limits for changes that have to take effect within inForce; zero if that time is unknown. firstStart is true when
// the whole deployment starts for the first time.
func LimitsFor(inForce time.Duration, firstStart bool) Limits {
	limits := Limits{BeaconTimeout: maxBeaconTimeout, RelayTimeout: maxRelayTimeout, MaxLag: maxLag, StartTimeout: startTimeout}
	if inForce > 0 {
		limits.BeaconTimeout = min(maxBeaconTimeout, fraction(inForce, beaconTimeoutShare))
		limits.RelayTimeout = min(maxRelayTimeout, fraction(inForce, relayTimeoutShare))
		limits.MaxLag = min(maxLag, fraction(inForce, lagShare))
	}
	if firstStart {
		limits.StartTimeout = firstStartTimeout
	}
	return limits
}

// maxLag is well above the duration of a push to a large fleet. It is ten times what a push to 300 nodes takes.
const maxLag = 800 * time.Millisecond

func fraction(duration time.Duration, share float64) time.Duration {
	return time.Duration(float64(duration) * share)
}
