package quarantine

import (
	"slices"
	"time"
)

const (
	// reservationTTL is how long a request keeps its turn after it was last asked for. A caller that asks again as
	// RetryAfter says keeps it; a caller that has left delays other requests by no more.
	reservationTTL = 3 * time.Second
	// reservationLead is how long before a request may be tried a node begins to reserve: long enough to settle, and no
	// longer, since the requests behind it wait meanwhile.
	reservationLead = 2 * settleTime
	// reservationInterval is how often a reservation is broadcast while its request is asked for.
	reservationInterval = 500 * time.Millisecond
	// settleTime is how long a reservation stands before its request may be tried beside those of other nodes. Of two
	// nodes that reserve at the same time each then knows of the other, also if one datagram is lost and repeated.
	settleTime = 500 * time.Millisecond
)

// Reservation announces that a node waits to try a quarantined request, or is trying it. Trials of requests that the same
// crash interrupted must not overlap, and a request that nobody asks for any more must not keep its turn.
type Reservation struct {
	Fingerprint Fingerprint
	// Running is true if the trial has begun.
	Running bool
	// Duration is how long the reservation holds from now. Zero ends it.
	Duration time.Duration
}

// reservations are the reservations of one request.
type reservations struct {
	// since is when this node began to reserve without interruption, until when it does, and sentAt when it last
	// broadcast that.
	since, until, sentAt time.Time
	// elsewhereUntil is until when other nodes reserve.
	elsewhereUntil time.Time
	// runningUntil is until when a trial may be running at any node.
	runningUntil time.Time
}

// renew reserves the request for this node, and returns what must be broadcast.
func (reserved *reservations) renew(fingerprint Fingerprint, now time.Time) Reservation {
	if now.After(reserved.until) {
		reserved.since = now
	}
	reserved.until = now.Add(reservationTTL)
	if now.Sub(reserved.sentAt) < reservationInterval {
		return Reservation{}
	}
	reserved.sentAt = now
	return Reservation{Fingerprint: fingerprint, Duration: reservationTTL}
}

func (reserved *reservations) running(now time.Time) bool { return now.Before(reserved.runningUntil) }

func (reserved *reservations) elsewhere(now time.Time) bool {
	return now.Before(reserved.elsewhereUntil)
}

// waiting reports whether a node waits to try a request.
func (entry *entry) waiting(now time.Time) bool {
	return entry.unreserved || now.Before(entry.reserved.until) || entry.reserved.elsewhere(now)
}

// trialPeers are the other quarantined requests that the newest crash under a request interrupted and whose trials are still
// to come: those that are tried before it and those that follow.
type trialPeers struct {
	ahead, behind []*entry
}

func (peers *trialPeers) add(peer *entry, ahead bool) {
	if ahead {
		peers.ahead = append(peers.ahead, peer)
		return
	}
	peers.behind = append(peers.behind, peer)
}

func (peers *trialPeers) count() int { return len(peers.ahead) + len(peers.behind) }

// reservedElsewhere reports whether another node reserves a peer.
func (peers *trialPeers) reservedElsewhere(now time.Time) bool {
	elsewhere := func(peer *entry) bool { return peer.reserved.elsewhere(now) }
	return slices.ContainsFunc(peers.ahead, elsewhere) || slices.ContainsFunc(peers.behind, elsewhere)
}

// running returns how many peers are being tried.
func (peers *trialPeers) running(now time.Time) int {
	count := 0
	for _, list := range [...][]*entry{peers.ahead, peers.behind} {
		for _, peer := range list {
			if peer.reserved.running(now) {
				count++
			}
		}
	}
	return count
}

// waiting returns how many peers that are not being tried are reserved and must be tried first.
func (peers *trialPeers) waiting(now time.Time) int {
	count := 0
	for _, peer := range peers.ahead {
		if peer.waiting(now) && !peer.reserved.running(now) {
			count++
		}
	}
	return count
}

// takeTurn reports whether a quarantined request that is asked for may be tried now, and otherwise reserves its turn. due is
// the time after the last crash from which it may be tried at all. It waits for each peer ahead of it that is asked for,
// and for a trial that is running, but for no peer longer than trialTurn. The tracker's mu must be held.
func (entry *entry) takeTurn(fingerprint Fingerprint, due time.Duration, decision *Decision, now time.Time) bool {
	sinceLastCrash := now.Sub(entry.lastSeen)
	if sinceLastCrash < due-reservationLead {
		return false
	}
	running, waiting := entry.peers.running(now), entry.peers.waiting(now)
	decision.Blocking = running + waiting
	reservation := entry.reserved.renew(fingerprint, now)
	ahead := time.Duration(len(entry.peers.ahead))
	waitedLongEnough := ahead > 0 && sinceLastCrash >= due+ahead*trialTurn
	if sinceLastCrash >= due && running == 0 && (waitedLongEnough || waiting == 0 && entry.isFirst(now)) {
		entry.reserved.runningUntil = now.Add(trialTurn)
		reservation = Reservation{Fingerprint: fingerprint, Running: true, Duration: trialTurn}
	}
	if entry.peers.count() > 0 {
		decision.Reservation = reservation
	}
	return reservation.Running
}

// isFirst reports whether no reservation of a peer can be on its way: that of this request is settled, or the request is the
// first in order and no other node reserves a peer.
func (entry *entry) isFirst(now time.Time) bool {
	settled := now.Sub(entry.reserved.since) >= settleTime
	return settled || (len(entry.peers.ahead) == 0 && !entry.peers.reservedElsewhere(now))
}

// RecordReservation records the reservation of another node.
func (tracker *Tracker) RecordReservation(reservation Reservation, now time.Time) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	known := tracker.entries[reservation.Fingerprint]
	switch {
	case known == nil:
	case reservation.Running:
		known.reserved.runningUntil = now.Add(min(reservation.Duration, trialTurn))
	default:
		known.reserved.elsewhereUntil = now.Add(min(reservation.Duration, reservationTTL))
	}
}

// EndTrial ends the trial of a request that reached no replica, and returns what must be broadcast.
func (tracker *Tracker) EndTrial(fingerprint Fingerprint) Reservation {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if known := tracker.entries[fingerprint]; known != nil {
		known.reserved.runningUntil = time.Time{}
	}
	return Reservation{Fingerprint: fingerprint, Running: true}
}

// SetUnreserved records that the reporter of the last crash under a request does not reserve its trials.
func (tracker *Tracker) SetUnreserved(fingerprint Fingerprint) {
	tracker.mu.Lock()
	defer tracker.mu.Unlock()
	if known := tracker.entries[fingerprint]; known != nil {
		known.unreserved = true
	}
}
