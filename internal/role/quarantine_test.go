package role

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// The largest notice must fit into a datagram, and decoding must restore it within the precision of its timestamps.
func TestNoticeFitsIntoADatagram(t *testing.T) {
	const datagramSize, longName = 2048, 60
	now := time.Now()
	sent := quarantine.Notice{Reporter: strings.Repeat("n", longName)}
	for index := range quarantine.MaxNoticeEntries {
		fingerprint := quarantine.Fingerprint{byte(index), 1}
		sent.Cleared = append(sent.Cleared, fingerprint)
		sent.Crashes = append(sent.Crashes, quarantine.CrashReport{Fingerprint: fingerprint, CrashEvent: quarantine.CrashEvent{
			Replica: strings.Repeat("r", longName), InterruptedAt: now.Add(-time.Duration(index) * time.Second),
		}})
	}
	datagram := &clusterv1.Datagram{Kind: &clusterv1.Datagram_Suspicions{Suspicions: encodeNotice(sent)}}
	must.LessEq(t, datagramSize, proto.Size(datagram))
	received := decodeNotice(datagram.GetSuspicions())
	must.Eq(t, sent.Cleared, received.Cleared)
	must.Eq(t, sent.Reporter, received.Reporter)
	must.Len(t, len(sent.Crashes), received.Crashes)
	for index, crash := range received.Crashes {
		must.Eq(t, sent.Crashes[index].Fingerprint, crash.Fingerprint)
		must.Eq(t, sent.Crashes[index].Replica, crash.Replica)
		must.Less(t, 100*time.Millisecond, crash.InterruptedAt.Sub(sent.Crashes[index].InterruptedAt).Abs())
	}
}

// Fingerprints of an unexpected length must be skipped.
func TestNoticeOfAnotherVersion(t *testing.T) {
	received := decodeNotice(&clusterv1.Suspicions{Reporter: "n", Crashes: []*clusterv1.Crash{{Fingerprint: []byte{1}, Replica: "r"}}, Cleared: [][]byte{{1, 2}}})
	must.SliceEmpty(t, received.Crashes)
	must.SliceEmpty(t, received.Cleared)
}

// Guards against answers that lose their time on the way, which would clear crashes that occurred after them. Builds that do
// not tell the time must still be understood, as must notices of an unexpected shape.
func TestTimesOfAnswersAreSent(t *testing.T) {
	first, second := quarantine.Fingerprint{1}, quarantine.Fingerprint{2}
	answeredAt := []time.Time{time.Now().Add(-2 * time.Second), time.Now()}
	encoded := encodeNotice(quarantine.Notice{Reporter: "n", Cleared: []quarantine.Fingerprint{first, second}, ClearedAt: answeredAt})
	received := decodeNotice(encoded)
	must.Len(t, 2, received.ClearedAt)
	for index, at := range received.ClearedAt {
		must.Less(t, 100*time.Millisecond, at.Sub(answeredAt[index]).Abs())
	}
	encoded.ClearedAgoMs = encoded.GetClearedAgoMs()[:1]
	must.SliceEmpty(t, decodeNotice(encoded).ClearedAt)
	encoded.ClearedAgoMs = nil
	must.Len(t, 2, decodeNotice(encoded).Cleared)
	must.SliceEmpty(t, decodeNotice(encoded).ClearedAt)
}

// Guards against reservations that are lost on the way, or make a notice too large for a datagram.
func TestReservationsAreSent(t *testing.T) {
	const datagramSize, longName = 2048, 60
	sent := quarantine.Notice{Reporter: strings.Repeat("n", longName), Reserves: true}
	for index := range quarantine.MaxNoticeEntries {
		fingerprint := quarantine.Fingerprint{byte(index), 1}
		sent.Cleared, sent.ClearedAt = append(sent.Cleared, fingerprint), append(sent.ClearedAt, time.Now().Add(-time.Hour))
		sent.Crashes = append(sent.Crashes, quarantine.CrashReport{Fingerprint: fingerprint, CrashEvent: quarantine.CrashEvent{
			Replica: strings.Repeat("r", longName), InterruptedAt: time.Now().Add(-time.Hour),
		}})
	}
	for index := range quarantine.MaxNoticeReservations {
		sent.Reservations = append(sent.Reservations, quarantine.Reservation{Fingerprint: quarantine.Fingerprint{byte(index)}, Running: true, Duration: 8 * time.Second})
	}
	datagram := &clusterv1.Datagram{Kind: &clusterv1.Datagram_Suspicions{Suspicions: encodeNotice(sent)}}
	must.LessEq(t, datagramSize, proto.Size(datagram))
	received := decodeNotice(datagram.GetSuspicions())
	must.True(t, received.Reserves)
	must.Eq(t, sent.Reservations, received.Reservations)
	datagram.GetSuspicions().Reservations[0].Fingerprint = []byte{1}
	must.Len(t, len(sent.Reservations)-1, decodeNotice(datagram.GetSuspicions()).Reservations)
}
