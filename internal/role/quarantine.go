package role

import (
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// newGuard returns the guard, which withholds requests that crash replicas, and the record store, which stores such
// requests in the metadata store.
func (front *Front) newGuard() (*quarantine.Guard, *quarantine.RecordStore) {
	tracker := quarantine.NewTracker(front.Node)
	recordStore := quarantine.NewRecordStore(front.ctx, front.Store, front.health, tracker, front.Node, front.Logger)
	recordStore.IsDeputy = func(fingerprint quarantine.Fingerprint) bool {
		return front.Registry.PreferredAnywhere(fingerprint.String()) == front.Node
	}
	return &quarantine.Guard{
		IsDeputy: recordStore.IsDeputy, Sender: front.Sender, Prober: front.Prober, Tracker: tracker, Catalog: front.Catalog, Broadcaster: noticeBroadcaster{front}, Persister: recordStore,
		Node: front.Node, Logger: front.Logger, Metrics: front.Metrics,
	}, recordStore
}

// noticeBroadcaster sends quarantine notices to all other nodes by datagram. It implements quarantine.Broadcaster.
type noticeBroadcaster struct{ front *Front }

// Broadcast implements quarantine.Broadcaster.
func (broadcaster noticeBroadcaster) Broadcast(notice quarantine.Notice) {
	datagram := &clusterv1.Datagram{Kind: &clusterv1.Datagram_Suspicions{Suspicions: encodeNotice(notice)}}
	broadcaster.front.datagrams.Send(datagram, broadcaster.front.Registry.Others())
}

func encodeNotice(notice quarantine.Notice) *clusterv1.Suspicions {
	encoded := &clusterv1.Suspicions{Reporter: notice.Reporter, Reserves: notice.Reserves}
	for _, crash := range notice.Crashes {
		encoded.Crashes = append(encoded.Crashes, &clusterv1.Crash{
			Fingerprint: crash.Fingerprint[:], Replica: crash.Replica, AgoMs: time.Since(crash.InterruptedAt).Milliseconds(),
		})
	}
	for _, fingerprint := range notice.Cleared {
		encoded.Cleared = append(encoded.Cleared, fingerprint[:])
	}
	for _, answeredAt := range notice.ClearedAt {
		encoded.ClearedAgoMs = append(encoded.ClearedAgoMs, time.Since(answeredAt).Milliseconds())
	}
	for _, reservation := range notice.Reservations {
		encoded.Reservations = append(encoded.Reservations, &clusterv1.TrialReservation{
			Fingerprint: reservation.Fingerprint[:], Running: reservation.Running, ForMs: reservation.Duration.Milliseconds(),
		})
	}
	return encoded
}

// decodeNotice skips fingerprints of an unexpected length, which come from another version.
func decodeNotice(suspicions *clusterv1.Suspicions) quarantine.Notice {
	decoded := quarantine.Notice{Reporter: suspicions.GetReporter(), Reserves: suspicions.GetReserves()}
	for _, crash := range suspicions.GetCrashes() {
		if len(crash.GetFingerprint()) == len(quarantine.Fingerprint{}) {
			decoded.Crashes = append(decoded.Crashes, quarantine.CrashReport{
				Fingerprint: quarantine.Fingerprint(crash.GetFingerprint()),
				CrashEvent:  quarantine.CrashEvent{Replica: crash.GetReplica(), InterruptedAt: timeAgo(crash.GetAgoMs())},
			})
		}
	}
	for _, reservation := range suspicions.GetReservations() {
		if len(reservation.GetFingerprint()) == len(quarantine.Fingerprint{}) {
			decoded.Reservations = append(decoded.Reservations, quarantine.Reservation{
				Fingerprint: quarantine.Fingerprint(reservation.GetFingerprint()), Running: reservation.GetRunning(),
				Duration: time.Duration(reservation.GetForMs()) * time.Millisecond,
			})
		}
	}
	dated := len(suspicions.GetClearedAgoMs()) == len(suspicions.GetCleared())
	for index, cleared := range suspicions.GetCleared() {
		if len(cleared) != len(quarantine.Fingerprint{}) {
			continue
		}
		decoded.Cleared = append(decoded.Cleared, quarantine.Fingerprint(cleared))
		if dated {
			decoded.ClearedAt = append(decoded.ClearedAt, timeAgo(suspicions.GetClearedAgoMs()[index]))
		}
	}
	return decoded
}

func timeAgo(milliseconds int64) time.Time {
	return time.Now().Add(-time.Duration(milliseconds) * time.Millisecond)
}
