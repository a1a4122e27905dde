package soak

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
)

// Guards against plans that cannot be repeated, and against pulses that leave no time in which a step must succeed.
func TestDrawPulses(t *testing.T) {
	for seed := range uint64(40) {
		plan := DrawPulses(seed, time.Minute)
		must.Eq(t, plan.String(), DrawPulses(seed, time.Minute).String())
		must.True(t, plan.Resubmits)
		calms := 0
		var lastEnd time.Duration
		for _, event := range plan.Events {
			if lastEnd > 0 && event.At-lastEnd >= recoveryTime+stepTimeout {
				calms++
			}
			lastEnd = max(lastEnd, event.At+event.For)
		}
		must.GreaterEq(t, 2, calms, must.Sprint(plan))
	}
}

// Guards against a check for idle items that misses one, or reports an item that a replica worked on or has finished.
func TestIdleCheckCanFail(t *testing.T) {
	const id = "item"
	now := time.Now()
	at := func(before time.Duration) time.Time { return now.Add(-before) }
	run := func(started, ended time.Time, events int64) site.Execution {
		made := make(map[int64]site.ProducedEvent)
		for event := int64(1); event <= events; event++ {
			made[event] = site.ProducedEvent{At: started}
		}
		return site.Execution{Request: id, Started: started, Ended: ended, Events: made}
	}
	for name, c := range map[string]struct {
		runs []site.Execution
		idle bool
	}{
		"never ran":                        {nil, true},
		"ran before":                       {[]site.Execution{run(at(9*time.Second), at(6*time.Second), 1)}, true},
		"only short runs":                  {[]site.Execution{run(at(4*time.Second), at(3300*time.Millisecond), 0), run(at(2*time.Second), at(1300*time.Millisecond), 0)}, true},
		"runs":                             {[]site.Execution{run(at(2*time.Second), time.Time{}, 0)}, false},
		"ran in the interval":              {[]site.Execution{run(at(6*time.Second), at(4*time.Second), 1)}, false},
		"finished long ago, and never ran": {[]site.Execution{run(at(9*time.Second), at(8*time.Second), site.EventCount(id))}, false},
	} {
		must.Eq(t, c.idle, wasIdle(c.runs, id, now.Add(-idleBound), now), must.Sprint(name))
	}
}

// Guards against a step that brings back other groups than the incomplete ones, and against one that ends without them.
func TestIncompleteGroupsAreBroughtBack(t *testing.T) {
	trainers := &trainers{}
	former, job := trainers.newJob(), trainers.newJob()
	for index, id := range former.items {
		if index != 4 {
			former.results = append(former.results, result{ID: id})
		}
	}
	left := former.incompleteGroups()
	job.bringBack(left)
	sent := time.Now()
	former.setResubmitted(left.items, sent)
	must.True(t, former.mayHaveRunAgain(former.items[3], sent))
	must.False(t, former.mayHaveRunAgain(former.items[3], sent.Add(-time.Second)))
	must.False(t, former.mayHaveRunAgain(former.items[0], sent.Add(time.Second)), must.Sprint("an item that did not come again"))
	must.Eq(t, former.items[3:6], job.items[:3])
	must.Eq(t, len(job.items), len(job.bodies))
	must.Eq(t, former.bodies[former.items[4]], job.bodies[job.items[1]])
	for _, id := range job.items[3:] {
		job.results = append(job.results, result{ID: id})
	}
	must.False(t, job.hasDesiredGroups())
	for _, id := range job.items[:3] {
		job.results = append(job.results, result{ID: id})
	}
	must.True(t, job.hasDesiredGroups())
}
