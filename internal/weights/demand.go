package weights

import "time"

// Demand describes an open batch job and what it requires of its model.
type Demand struct {
	Job, Model string
	// Minimum is the oldest version of the weights that the job accepts.
	Minimum int64
	// Work is the expected output of the job in tokens and Items the number of its items. Zero means unknown.
	Work  int64
	Items int
}

// workSmoothing is the weight of the newest report in the moving average of work per job.
const workSmoothing = 0.3

// averageWork adds a report of a job to the moving average of work per job. Zero means unknown for both arguments.
func averageWork(average, work float64) float64 {
	switch {
	case work <= 0:
		return average
	case average <= 0:
		return work
	}
	return average + workSmoothing*(work-average)
}

const (
	// jobExpiry is how long a job counts as open after its last report. Owners report every second, and a datagram may be lost.
	jobExpiry = 2500 * time.Millisecond
	// peakWindow is how long a peak of open items counts. It spans the time between two steps of a trainer and a short outage, so
	// that a returning trainer still finds its replicas.
	peakWindow = 30 * time.Second
)

// openItems tracks how many items the open jobs of a model have in total.
type openItems struct {
	jobs map[string]openJob
	// peaks are the highest totals in the current and in the previous half of peakWindow. The current half starts at windowStart.
	peaks       [2]int
	windowStart time.Time
	// lastPeak is the newest peak that was not zero. A model without open jobs keeps the replicas that its next job needs.
	lastPeak int
}

// openJob is the last report of a job.
type openJob struct {
	items    int
	reported time.Time
}

func newOpenItems() *openItems { return &openItems{jobs: make(map[string]openJob)} }

// record adds a report of an open job. It returns how many items are open now, and whether this exceeds the recent peak.
func (open *openItems) record(demand Demand, now time.Time) (items int, increased bool) {
	if demand.Job == "" || demand.Items <= 0 {
		return 0, false
	}
	open.rotate(now)
	open.jobs[demand.Job] = openJob{items: demand.Items, reported: now}
	for id, job := range open.jobs {
		if now.Sub(job.reported) > jobExpiry {
			delete(open.jobs, id)
			continue
		}
		items += job.items
	}
	before := max(open.peaks[0], open.peaks[1])
	open.peaks[0] = max(open.peaks[0], items)
	return items, items > before
}

// peak returns the highest recent total, or the last known one if no job was open recently; zero if there was none.
func (open *openItems) peak(now time.Time) int {
	open.rotate(now)
	if recent := max(open.peaks[0], open.peaks[1]); recent > 0 {
		open.lastPeak = recent
	}
	return open.lastPeak
}

// rotate drops peaks that are older than peakWindow.
func (open *openItems) rotate(now time.Time) {
	switch age := now.Sub(open.windowStart); {
	case age > peakWindow:
		open.peaks, open.windowStart = [2]int{}, now
	case age > peakWindow/2:
		open.peaks, open.windowStart = [2]int{0, open.peaks[0]}, now
	}
}
