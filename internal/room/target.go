package room

import (
	"slices"
	"time"
)

// returnAfter is the time after which a node that found its summing node silent tries it again. A change of the registry usually comes first.
const returnAfter = 10 * time.Second

// target chooses the node that sums up a node's reports: the first of the zone, or the next one while that is silent. It is not safe for
// concurrent use.
type target struct {
	first string
	place int
	// since is when the node began to report to the target without interruption, asked is when it last did; moved is when it left the first
	// one.
	since, asked, moved time.Duration
}

// choose returns the node to report to now, or an empty string if there is none. ranked are the summing nodes of the zone, the first choice first.
// heard is when the last reply arrived.
func (target *target) choose(ranked []string, heard, now time.Duration) string {
	if len(ranked) == 0 {
		return ""
	}
	if ranked[0] != target.first || target.place >= len(ranked) || (target.place > 0 && now-target.moved > returnAfter) {
		target.first, target.place, target.since = ranked[0], 0, now
	}
	if now-target.asked > 2*Interval {
		target.since = now
	}
	target.asked = now
	if now-max(heard, target.since) > WordTTL {
		if target.place == 0 {
			target.moved = now
		}
		target.place, target.since = (target.place+1)%len(ranked), now
	}
	return ranked[target.place]
}

// refusedTime is the time over which refused requests are counted for a report.
const refusedTime = time.Second

// Refusals turns the counts of refused requests into those of the last second. It is not safe for concurrent use.
type Refusals struct {
	counts []map[string]int64 // of the last refusedTime, the oldest first
}

// Recent records the counts since the start of the process at a report, and returns by how much they have grown since the report a second ago.
func (refusals *Refusals) Recent(total map[string]int64) map[string]int {
	recent := make(map[string]int)
	if len(refusals.counts) > 0 {
		for service, count := range total {
			if refused := count - refusals.counts[0][service]; refused > 0 {
				recent[service] = int(refused)
			}
		}
	}
	refusals.counts = append(refusals.counts, total)
	if most := int(refusedTime / Interval); len(refusals.counts) > most {
		refusals.counts = slices.Delete(refusals.counts, 0, len(refusals.counts)-most)
	}
	return recent
}
