package dissemination

import "time"

// Limits are how long a node puts up with what it misses of a publisher before it reads the metadata store itself.
type Limits struct {
	// Silence is how long beacons may be missing before the reader of a zone reads the store, and relays what it reads to the nodes of
	// its zone; Relay is how much longer these wait for it before they read the store as well.
	Silence, Relay time.Duration
	// Behind is how long a node may lack what a beacon tells of, beyond the pace of the topic.
	Behind time.Duration
	// Start is how long a process that has just begun waits for a publisher.
	Start time.Duration
}

const (
	// mostSilence and mostRelay hold where changes have more time than they need: a silence of two lost beacons, and the time in which
	// a reader has read and published.
	mostSilence = 1100 * time.Millisecond
	mostRelay   = 900 * time.Millisecond
	// silenceShare, relayShare and behindShare are parts of the time in which a change has to be in force, that add up to less than all
	// of it: a publisher that dies with the reader of a zone, in the moment of a change, still leaves a quarter for reading.
	silenceShare = 0.45
	relayShare   = 0.3
	behindShare  = 0.2
	// startWait covers the pace at which a publisher looks for new nodes (250 ms) and a push. Callers that are cut by a restart of many
	// nodes wait as long.
	startWait = 400 * time.Millisecond
	// firstStartWait covers an election and a push to all nodes at once, when the whole deployment starts for the first time: nobody
	// calls yet.
	firstStartWait = 4 * time.Second
)

// LimitsFor returns the limits for changes that have to be in force within a time; zero if that is not known.
func LimitsFor(inForce time.Duration, firstStart bool) Limits {
	limits := Limits{Silence: mostSilence, Relay: mostRelay, Behind: mostBehind, Start: startWait}
	if inForce > 0 {
		limits.Silence = min(mostSilence, part(inForce, silenceShare))
		limits.Relay = min(mostRelay, part(inForce, relayShare))
		limits.Behind = min(mostBehind, part(inForce, behindShare))
	}
	if firstStart {
		limits.Start = firstStartWait
	}
	return limits
}

// mostBehind is ten times what a push to 300 nodes takes.
const mostBehind = 800 * time.Millisecond

func part(duration time.Duration, share float64) time.Duration {
	return time.Duration(float64(duration) * share)
}
