package batchrun

import (
	"cmp"
	"time"
)

// scoringText is what the order of scoring depends on for one waiting text.
type scoringText struct {
	job string
	// useful is the time by which the text's score is listed by the due time of its job.
	useful time.Time
	// required is true if the trainer waits for the text's group, however many other groups are complete. missing is the number of
	// unfinished items of the group, including this one.
	required bool
	missing  int
	since    time.Time // when the text began to wait
	// spare is true if nobody waits for the score: the trainer has enough groups, or the job is past its deadline.
	spare bool
}

// compareWithinJob orders the texts of one job: groups that the trainer waits for come first, then the groups nearest to completion, because
// a group counts only as a whole.
func (text *scoringText) compareWithinJob(other *scoringText) int {
	switch {
	case text.required != other.required && text.required:
		return -1
	case text.required != other.required:
		return 1
	}
	return cmp.Or(cmp.Compare(text.missing, other.missing), text.since.Compare(other.since))
}

// compareJobs orders the best texts of two jobs by due time. Jobs that are late already come after those that can still be on time.
func (text *scoringText) compareJobs(other *scoringText, now time.Time) int {
	late, otherLate := !now.Before(text.useful), !now.Before(other.useful)
	switch {
	case late != otherLate && late:
		return 1
	case late != otherLate:
		return -1
	}
	return cmp.Or(text.useful.Compare(other.useful), cmp.Compare(text.job, other.job))
}

// guaranteedTurns is the number of places granted per waiting job of which each job gets at least one. The job with the earliest due time
// gets the others: half of the places and more.
const guaranteedTurns = 2

// scoringOrder decides which of a service's waiting texts is scored next. It answers the load of several steps at one node, each of which
// asks for all of its scores at about the same time. It is not safe for concurrent use.
type scoringOrder struct {
	// passed is the number of places in a row that other jobs got while a job's texts waited, by job. It holds only waiting jobs.
	passed map[string]int
}

// next returns the index of the text to score next, or -1 if none may be scored. It chooses among the spare texts if spare is true, and
// among the others otherwise.
func (order *scoringOrder) next(waiting []scoringText, spare bool, now time.Time) int {
	best := make(map[string]int)
	for index := range waiting {
		text := &waiting[index]
		if text.spare != spare {
			continue
		}
		if first, found := best[text.job]; !found || text.compareWithinJob(&waiting[first]) < 0 {
			best[text.job] = index
		}
	}
	chosen := -1
	for job, index := range best {
		if chosen < 0 || order.comparePassed(job, waiting[chosen].job, len(best)) < 0 ||
			(order.comparePassed(job, waiting[chosen].job, len(best)) == 0 && waiting[index].compareJobs(&waiting[chosen], now) < 0) {
			chosen = index
		}
	}
	if chosen >= 0 && !spare {
		order.record(best, waiting[chosen].job)
	}
	return chosen
}

// comparePassed orders two jobs by whether they have been passed over as often as guaranteedTurns allows, and if both have, by how often.
func (order *scoringOrder) comparePassed(job, other string, jobs int) int {
	allowed := guaranteedTurns*jobs - 1
	return cmp.Compare(max(order.passed[other], allowed-1), max(order.passed[job], allowed-1))
}

// record counts a place that the chosen job got and the other waiting jobs did not get.
func (order *scoringOrder) record(waiting map[string]int, chosen string) {
	passed := make(map[string]int, len(waiting))
	for job := range waiting {
		if job != chosen {
			passed[job] = order.passed[job] + 1
		}
	}
	order.passed = passed
}
