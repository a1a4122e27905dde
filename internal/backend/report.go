package backend

import "time"

// ReportedLoad is what a replica says of itself with an answer. The zero value means that it said nothing.
type ReportedLoad struct {
	Known            bool
	Running, Waiting int
	Slots            int
	// Pace is how long work currently takes as a multiple of the usual; zero if the replica does not say.
	Pace float64
}

const (
	// reportHalfLife is the age at which half of a reported load still counts: by then many of the requests that it counts have ended.
	reportHalfLife = 100 * time.Millisecond
	// fullHalfLife is that age for a replica that refused a request because it was full. Its queue has to drain before requests end.
	fullHalfLife = 200 * time.Millisecond
	// reportedPaceHalfLife is short because the reported pace changes many times a second.
	reportedPaceHalfLife = 60 * time.Millisecond
	// othersHalfLife is how long the mean load by others outlives the last report.
	othersHalfLife    = 2 * time.Second
	othersWeight      = 0.05
	maxReportedSlots  = 2.0
	minReportedPace   = 0.5
	maxReportedOthers = 4.0
)

// report is the last reported load of a replica.
type report struct {
	load   ReportedLoad
	others float64 // requests of other nodes
	full   bool    // the replica refused a request
	at     time.Time
}

// apply adds the reported load to the view of a replica. others is the mean number of other nodes' requests at the service's replicas, and
// becomes that at this one.
func (report *report) apply(view *candidate, others *float64, now time.Time) {
	if !report.load.Known {
		return
	}
	age := max(0, now.Sub(report.at))
	halfLife := reportHalfLife
	if report.full {
		halfLife = fullHalfLife
	}
	*others += (report.others - *others) * halved(age, halfLife)
	if report.load.Slots > 0 {
		view.slots = min(float64(report.load.Slots), maxReportedSlots*max(view.slots, 1))
	}
	if report.load.Pace > 0 {
		view.pace *= 1 + (min(maxPace, max(minReportedPace, report.load.Pace))-1)*halved(age, reportedPaceHalfLife)
	}
}

// othersMean is the mean number of requests that other nodes have at a replica of a service; zero while replicas report nothing.
type othersMean struct {
	value float64
	last  time.Time
}

func (mean *othersMean) observe(others float64, now time.Time) {
	if mean.last.IsZero() {
		mean.value = others
	}
	mean.value += othersWeight * (others - mean.value)
	mean.last = now
}

func (mean *othersMean) at(now time.Time) float64 {
	if mean.last.IsZero() {
		return 0
	}
	return mean.value * halved(max(0, now.Sub(mean.last)), othersHalfLife)
}
