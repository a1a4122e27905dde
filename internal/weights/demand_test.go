package weights

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Open jobs of a model count together, each once. The recent peak stays until a newer one replaces it.
func TestOpenItems(t *testing.T) {
	open, now := newOpenItems(), time.Now()
	must.Eq(t, 0, open.peak(now), must.Sprint("no job reported"))
	take := func(job string, items int) int {
		total, _ := open.record(Demand{Job: job, Items: items}, now)
		return total
	}
	must.Eq(t, 80, take("a", 80))
	must.Eq(t, 80, take("a", 80), must.Sprint("reported again"))
	must.Eq(t, 120, take("b", 40))
	must.Eq(t, 0, take("", 40), must.Sprint("report without a job"))
	now = now.Add(4 * time.Second)
	must.Eq(t, 50, take("c", 50), must.Sprint("the other jobs are no longer reported"))
	must.Eq(t, 120, open.peak(now))
	now = now.Add(40 * time.Second)
	must.Eq(t, 120, open.peak(now), must.Sprint("the last peak stays while there are no jobs"))
	take("d", 50)
	must.Eq(t, 50, open.peak(now))
}
