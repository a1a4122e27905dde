package role

import (
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// newGuard returns what keeps requests from replicas that end under them, and what keeps such requests in the metadata store.
func (front *Front) newGuard() (*quarantine.Guard, *quarantine.Archive) {
	book := quarantine.NewBook(front.Node, time.Now())
	archive := quarantine.NewArchive(front.ctx, front.Store, front.health, book, front.Node, front.Logger)
	archive.IsDeputy = func(fingerprint quarantine.Fingerprint) bool {
		return front.Registry.PreferredAnywhere(fingerprint.String()) == front.Node
	}
	return &quarantine.Guard{
		IsDeputy: archive.IsDeputy, Sender: front.Sender, Prober: front.Prober, Book: book, Catalog: front.Catalog, Teller: noticeTeller{front}, Keeper: archive,
		Node: front.Node, Logger: front.Logger, Metrics: front.Metrics,
	}, archive
}

// noticeTeller tells all other fronts by datagrams. It implements quarantine.Teller.
type noticeTeller struct{ front *Front }

// Tell implements quarantine.Teller.
func (teller noticeTeller) Tell(told quarantine.Notice) {
	datagram := &clusterv1.Datagram{Kind: &clusterv1.Datagram_Suspicions{Suspicions: encodeNotice(told)}}
	teller.front.datagrams.Send(datagram, teller.front.Registry.Others())
}

func encodeNotice(told quarantine.Notice) *clusterv1.Suspicions {
	encoded := &clusterv1.Suspicions{Reporter: told.Reporter}
	for _, crash := range told.Crashes {
		encoded.Crashes = append(encoded.Crashes, &clusterv1.Crash{
			Fingerprint: crash.Fingerprint[:], Replica: crash.Replica, AgoMs: time.Since(crash.Broke).Milliseconds(),
		})
	}
	for _, fingerprint := range told.Cleared {
		encoded.Cleared = append(encoded.Cleared, fingerprint[:])
	}
	return encoded
}

// decodeNotice passes over fingerprints of another length, which this version did not make.
func decodeNotice(told *clusterv1.Suspicions) quarantine.Notice {
	decoded := quarantine.Notice{Reporter: told.GetReporter()}
	for _, crash := range told.GetCrashes() {
		if len(crash.GetFingerprint()) == len(quarantine.Fingerprint{}) {
			decoded.Crashes = append(decoded.Crashes, quarantine.Crash{
				Fingerprint: quarantine.Fingerprint(crash.GetFingerprint()),
				End:         quarantine.End{Replica: crash.GetReplica(), Broke: time.Now().Add(-time.Duration(crash.GetAgoMs()) * time.Millisecond)},
			})
		}
	}
	for _, cleared := range told.GetCleared() {
		if len(cleared) == len(quarantine.Fingerprint{}) {
			decoded.Cleared = append(decoded.Cleared, quarantine.Fingerprint(cleared))
		}
	}
	return decoded
}
