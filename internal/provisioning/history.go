package provisioning

import "time"

// historyParts is the number of parts into which a history divides its length.
const historyParts = 16

// history combines the needs observed in a time of fixed length up to now.
type history struct {
	length  time.Duration
	combine func(a, b Need) Need
	samples []observedNeed
	since   time.Time
	latest  time.Time
}

type observedNeed struct {
	at time.Time
	Need
}

func highest(a, b Need) Need {
	return Need{Reported: max(a.Reported, b.Reported), Jobs: max(a.Jobs, b.Jobs)}
}

func lowest(a, b Need) Need {
	return Need{Reported: min(a.Reported, b.Reported), Jobs: min(a.Jobs, b.Jobs)}
}

// observationGap is the longest time between two observations, above which the needs in between count as unknown.
const observationGap = 5 * time.Second

func (history *history) add(need Need, now time.Time) {
	if len(history.samples) == 0 || now.Sub(history.latest) > observationGap {
		history.samples, history.since = nil, now
	}
	history.latest = now
	for len(history.samples) > 0 && now.Sub(history.samples[0].at) > history.length {
		history.samples = history.samples[1:]
	}
	if last := len(history.samples) - 1; last >= 0 && now.Sub(history.samples[last].at) < history.length/historyParts {
		history.samples[last].Need = history.combine(history.samples[last].Need, need)
		return
	}
	history.samples = append(history.samples, observedNeed{now, need})
}

// value returns the combined needs. covered is false if the needs were not observed for the whole length.
func (history *history) value() (combined Need, covered bool) {
	for index, sample := range history.samples {
		if index == 0 {
			combined = sample.Need
		}
		combined = history.combine(combined, sample.Need)
	}
	return combined, len(history.samples) > 0 && history.latest.Sub(history.since) >= history.length
}

func (history *history) reset() { history.samples = nil }
