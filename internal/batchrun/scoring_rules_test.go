package batchrun

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against scoring texts that complete no group while the last texts of other groups wait.
func TestScoringOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	in := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	cases := []struct {
		name    string
		waiting []scoringText
		spare   bool
		want    int
	}{
		{"nothing waits", nil, false, -1},
		{"the group with the fewest missing items", []scoringText{{job: "a", useful: in(5), missing: 3}, {job: "a", useful: in(5), missing: 1}, {job: "a", useful: in(5), missing: 2}}, false, 1},
		{"a required group before others", []scoringText{{job: "a", useful: in(5), missing: 1}, {job: "a", useful: in(5), missing: 4, required: true}}, false, 1},
		{"among equals the one that waited longest", []scoringText{{job: "a", useful: in(5), missing: 1, since: in(-1)}, {job: "a", useful: in(5), missing: 1, since: in(-2)}}, false, 1},
		{"the job that is due first", []scoringText{{job: "a", useful: in(6), missing: 1}, {job: "b", useful: in(5), missing: 3}}, false, 1},
		{"a job that can be on time before one that is late", []scoringText{{job: "a", useful: in(-1), missing: 1}, {job: "b", useful: in(5), missing: 3}}, false, 1},
		{"no spare text", []scoringText{{job: "a", useful: in(5), missing: 1, spare: true}}, false, -1},
		{"only spare texts", []scoringText{{job: "a", useful: in(1), missing: 1}, {job: "b", useful: in(5), missing: 3, spare: true}}, true, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for range 20 { // the order does not depend on that of a map
				must.Eq(t, c.want, (&scoringOrder{}).next(c.waiting, c.spare, now))
			}
		})
	}
}

// Guards against a step with many texts that holds back the last texts of smaller steps which are due later, and against the opposite.
func TestScoringOrderSharesTurns(t *testing.T) {
	now := time.Unix(1000, 0)
	var waiting []scoringText
	for range 160 {
		waiting = append(waiting, scoringText{job: "large", useful: now.Add(time.Second), missing: 1})
	}
	for _, job := range []string{"small", "other"} {
		for range 6 {
			waiting = append(waiting, scoringText{job: job, useful: now.Add(3 * time.Second), missing: 1})
		}
	}
	var order scoringOrder
	scored := make(map[string]int)
	for turn := 1; turn <= 37; turn++ {
		index := order.next(waiting, false, now)
		scored[waiting[index].job]++
		waiting = append(waiting[:index], waiting[index+1:]...)
		if turn >= 6 {
			must.GreaterEq(t, turn/6, scored["small"]+1, must.Sprint("turn ", turn))
			must.GreaterEq(t, turn/2, scored["large"], must.Sprint("turn ", turn))
		}
	}
	must.Eq(t, 6, scored["small"])
	must.Eq(t, 6, scored["other"])
	order.next(waiting, false, now)
	must.MapEmpty(t, order.passed)
}

// Guards against a limit that cuts off each call of a service that is slow as a whole, and against one that waits for a hanging replica
// as long as for an unknown service.
func TestScoringTimeLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	known := func(took ...time.Duration) *scoreTimes {
		times := &scoreTimes{}
		for range 50 {
			for _, each := range took {
				times.observe(each, now)
			}
		}
		return times
	}
	ms := time.Millisecond
	cases := []struct {
		name     string
		times    *scoreTimes
		timeouts int
		left     time.Duration
		low, up  time.Duration
	}{
		{"unknown", &scoreTimes{}, 0, 7 * time.Second, scoreTimeout, scoreTimeout},
		{"unknown with little time", &scoreTimes{}, 0, time.Second, 500 * ms, 500 * ms},
		{"fast", known(20 * ms), 0, 7 * time.Second, minScoreTimeout, minScoreTimeout},
		{"steady", known(200 * ms), 0, 7 * time.Second, 400 * ms, 420 * ms},
		{"scattered", known(100*ms, 500*ms), 0, 7 * time.Second, 900 * ms, 1300 * ms},
		{"slow", known(3 * time.Second), 0, 20 * time.Second, 6 * time.Second, 7 * time.Second},
		{"slow with little time", known(3 * time.Second), 0, time.Second, 6 * time.Second, 6 * time.Second},
		{"after timeouts", known(200 * ms), 2, 7 * time.Second, 1600 * ms, 1700 * ms},
		{"after timeouts with little time", known(200 * ms), 2, 2 * time.Second, 1600 * ms, 1700 * ms},
		{"the step can use the score for as long as a slower service takes", known(200 * ms), 1, 800 * ms, 800 * ms, 850 * ms},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Between(t, c.low, c.times.limit(c.timeouts, c.left, now), c.up)
		})
	}
	old := known(20 * ms)
	must.Eq(t, scoreTimeout, old.limit(0, 7*time.Second, now.Add(2*scoreTimesTTL)))
}

// Guards against pauses that overflow, or that all texts end at the same moment.
func TestScoreBackoff(t *testing.T) {
	must.Eq(t, scoreRetryDelay/2, scoreBackoff(1, 0))
	must.Eq(t, scoreRetryDelay, scoreBackoff(1, 1))
	must.Eq(t, 2*scoreRetryDelay, scoreBackoff(2, 1))
	must.Eq(t, maxScoreRetryDelay, scoreBackoff(1000, 1))
	must.Eq(t, maxScoreRetryDelay/2, scoreBackoff(1000, 0))
}
