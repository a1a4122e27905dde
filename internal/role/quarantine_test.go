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

// The largest notice fits into a datagram, and comes out as it went in, to the millisecond.
func TestNoticeFitsIntoADatagram(t *testing.T) {
	const datagramSize, longName = 2048, 60
	now := time.Now()
	told := quarantine.Notice{Reporter: strings.Repeat("n", longName)}
	for index := range quarantine.NoticeMost {
		fingerprint := quarantine.Fingerprint{byte(index), 1}
		told.Cleared = append(told.Cleared, fingerprint)
		told.Crashes = append(told.Crashes, quarantine.Crash{Fingerprint: fingerprint, End: quarantine.End{
			Replica: strings.Repeat("r", longName), Broke: now.Add(-time.Duration(index) * time.Second),
		}})
	}
	datagram := &clusterv1.Datagram{Kind: &clusterv1.Datagram_Suspicions{Suspicions: encodeNotice(told)}}
	must.LessEq(t, datagramSize, proto.Size(datagram))
	heard := decodeNotice(datagram.GetSuspicions())
	must.Eq(t, told.Cleared, heard.Cleared)
	must.Eq(t, told.Reporter, heard.Reporter)
	must.Len(t, len(told.Crashes), heard.Crashes)
	for index, crash := range heard.Crashes {
		must.Eq(t, told.Crashes[index].Fingerprint, crash.Fingerprint)
		must.Eq(t, told.Crashes[index].Replica, crash.Replica)
		must.Less(t, 100*time.Millisecond, crash.Broke.Sub(told.Crashes[index].Broke).Abs())
	}
}

// Fingerprints of another length are passed over.
func TestNoticeOfAnotherVersion(t *testing.T) {
	heard := decodeNotice(&clusterv1.Suspicions{Reporter: "n", Crashes: []*clusterv1.Crash{{Fingerprint: []byte{1}, Replica: "r"}}, Cleared: [][]byte{{1, 2}}})
	must.SliceEmpty(t, heard.Crashes)
	must.SliceEmpty(t, heard.Cleared)
}
