package soak

import (
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// Guards against late runs after the third crash being missed, and against counting runs at nodes that had a fault.
func TestLateRuns(t *testing.T) {
	begun := time.Now()
	at := func(offsets ...time.Duration) (times []time.Time) {
		for _, offset := range offsets {
			times = append(times, begun.Add(offset))
		}
		return times
	}
	all := func(time.Time) bool { return true }
	third := 2 * time.Second
	bound := third + crashDelay + recoveryTime
	must.Eq(t, 0, lateRuns(at(0, third), all))
	must.Eq(t, 0, lateRuns(at(0, time.Second, third, bound), all))
	must.Eq(t, 2, lateRuns(at(0, time.Second, third, bound+1, bound+2), all))
	must.Eq(t, 1, lateRuns(at(0, time.Second, third, bound+1, bound+2), func(run time.Time) bool { return run.Equal(begun.Add(bound + 1)) }))
}

// Guards against an entry of an incarnation that is gone, after two faults have replaced the same one at a time: fronts would send it requests for good.
func TestReplacedTwiceLeavesOneEntry(t *testing.T) {
	for range 200 {
		store := memstore.New()
		link, err := NewProxy("127.0.0.1:1")
		must.NoError(t, err)
		member := &Member{Name: "application", Link: link, deployment: &Deployment{Store: store}}
		member.install(site.NewReplica("application-0", applicationName, ""))
		var faults sync.WaitGroup
		for range 2 {
			faults.Go(func() { member.Replace(member.Crash()) })
		}
		faults.Wait()
		link.Close()
		listing, err := store.List(t.Context(), "servers/")
		must.NoError(t, err)
		must.Len(t, 1, listing.Items)
		must.Eq(t, "servers/"+member.Current().ID, listing.Items[0].Key)
	}
}
