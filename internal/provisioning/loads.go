package provisioning

import (
	"maps"
	"sync"
	"time"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

const (
	// loadExpiry is how long a zone's report of a service counts. Reports stop when a service is idle, and datagrams may be lost.
	loadExpiry = 3 * time.Second
	// jobExpiry is how long a job counts as open after its last report. Owners report every second.
	jobExpiry = 2500 * time.Millisecond
	// followGap is the longest time without open jobs between two steps of a trainer.
	followGap = 10 * time.Second
	// maxReports and maxJobs bound what is remembered. What arrives beyond is ignored.
	maxReports    = 4096
	maxJobs       = 16384
	pruneInterval = time.Second
	// lostZoneTTL is how long a zone counts as lost whose reports of a service ended without one that says that it is idle.
	lostZoneTTL = 5 * time.Minute
)

// Loads collects what nodes report of services and jobs. It is safe for concurrent use.
type Loads struct {
	mu      sync.Mutex
	heard   time.Time // of the latest report
	reports map[reportKey]serviceReport
	// lostZones are reports that expired although the zone had requests at the service then, with the time of the last one.
	lostZones map[reportKey]time.Time
	// serviceTimes are the last known service times. They outlive the reports.
	serviceTimes map[string]time.Duration
	jobs         map[string]openJob
	// busySince is when the uninterrupted series of open jobs of a model began.
	busySince map[string]time.Time
	lastOpen  map[string]time.Time
	// itemTimes are the last known times that a replica takes for an item, by model.
	itemTimes map[string]time.Duration
	prunedAt  time.Time
}

type reportKey struct{ zone, service string }

type serviceReport struct {
	load         *clusterv1.ServiceLoad
	sender       string
	life, number int64
	at           time.Time
}

type openJob struct {
	model         string
	items         int
	first, latest time.Time
}

// NewLoads returns an empty collection.
func NewLoads() *Loads {
	return &Loads{
		reports: make(map[reportKey]serviceReport), lostZones: make(map[reportKey]time.Time), serviceTimes: make(map[string]time.Duration), jobs: make(map[string]openJob),
		busySince: make(map[string]time.Time), lastOpen: make(map[string]time.Time), itemTimes: make(map[string]time.Duration),
	}
}

// RecordTotals records the sums of zones. A message that was overtaken by a later one of its sender is ignored, and so is a reply to a node.
func (loads *Loads) RecordTotals(totals *clusterv1.ServiceTotals, now time.Time) {
	if totals.GetReceiver() != "" {
		return
	}
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.heard = now
	loads.prune(now)
	for _, zone := range totals.GetZones() {
		for _, load := range zone.GetServices() {
			key := reportKey{zone.GetZone(), load.GetService()}
			before, known := loads.reports[key]
			overtaken := known && before.sender == totals.GetNode() && (totals.GetLife() < before.life || (totals.GetLife() == before.life && totals.GetNumber() < before.number))
			if overtaken || (!known && len(loads.reports) >= maxReports) {
				continue
			}
			delete(loads.lostZones, key)
			loads.reports[key] = serviceReport{load: load, sender: totals.GetNode(), life: totals.GetLife(), number: totals.GetNumber(), at: now}
		}
	}
}

// RecordDemand records an open job of a model.
func (loads *Loads) RecordDemand(demand *clusterv1.Demand, now time.Time) {
	if demand.GetJobId() == "" || demand.GetItems() <= 0 {
		return
	}
	loads.mu.Lock()
	defer loads.mu.Unlock()
	loads.prune(now)
	job, known := loads.jobs[demand.GetJobId()]
	if !known || now.Sub(job.latest) > jobExpiry {
		if !known && len(loads.jobs) >= maxJobs {
			return
		}
		job.first = now
	}
	job.model, job.items, job.latest = demand.GetModel(), int(demand.GetItems()), now
	if demand.RemainingItems != nil {
		job.items = min(job.items, int(max(0, demand.GetRemainingItems())))
	}
	if micros := demand.GetItemTimeUs(); micros > 0 {
		loads.itemTimes[job.model] = time.Duration(micros) * time.Microsecond
	}
	loads.jobs[demand.GetJobId()] = job
	if latest, open := loads.lastOpen[job.model]; !open || now.Sub(latest) > followGap {
		loads.busySince[job.model] = now
	}
	loads.lastOpen[job.model] = now
}

// prune removes what has expired. It must be called with mu held.
func (loads *Loads) prune(now time.Time) {
	if now.Sub(loads.prunedAt) < pruneInterval {
		return
	}
	loads.prunedAt = now
	maps.DeleteFunc(loads.reports, func(key reportKey, report serviceReport) bool {
		expired := now.Sub(report.at) > loadExpiry
		if expired && report.load.GetInFlight()+report.load.GetWaiting() > 0 && len(loads.lostZones) < maxReports {
			loads.lostZones[key] = report.at
		}
		return expired
	})
	maps.DeleteFunc(loads.lostZones, func(_ reportKey, last time.Time) bool { return now.Sub(last) > lostZoneTTL })
	maps.DeleteFunc(loads.jobs, func(_ string, job openJob) bool { return now.Sub(job.latest) > jobExpiry })
	maps.DeleteFunc(loads.lastOpen, func(_ string, latest time.Time) bool { return now.Sub(latest) > followGap })
	maps.DeleteFunc(loads.busySince, func(model string, _ time.Time) bool { return loads.lastOpen[model].IsZero() })
	maps.DeleteFunc(loads.itemTimes, func(model string, _ time.Duration) bool { return loads.lastOpen[model].IsZero() })
}

// LastHeard returns when the latest report of services arrived; zero for never.
func (loads *Loads) LastHeard() time.Time {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	return loads.heard
}

// Read returns the load of a service, with the open jobs of its models, whose results are due the span after their submission. Jobs have followed
// each other if there were some for longer than the boot time.
func (loads *Loads) Read(service string, models []string, span, bootTime time.Duration, now time.Time) Load {
	loads.mu.Lock()
	defer loads.mu.Unlock()
	load, weighted := Load{}, 0.0
	for key, report := range loads.reports {
		if key.service != service || now.Sub(report.at) > loadExpiry {
			continue
		}
		inFlight := max(0, int(report.load.GetInFlight()))
		load.InFlight += inFlight
		load.Waiting += max(0, int(report.load.GetWaiting()))
		load.Refused += max(0, int(report.load.GetRefused()))
		if micros := report.load.GetServiceTimeUs(); micros > 0 {
			weight := float64(max(1, inFlight))
			load.ServiceTime += time.Duration(weight * float64(micros) * float64(time.Microsecond))
			weighted += weight
		}
	}
	for key := range loads.lostZones {
		load.Incomplete = load.Incomplete || key.service == service
	}
	if weighted > 0 {
		load.ServiceTime = time.Duration(float64(load.ServiceTime) / weighted)
		loads.serviceTimes[service] = load.ServiceTime
	}
	load.ServiceTime = loads.serviceTimes[service]
	if span <= 0 {
		return load
	}
	for _, job := range loads.jobs {
		for _, model := range models {
			if job.model == model && now.Sub(job.latest) <= jobExpiry {
				load.Jobs = append(load.Jobs, Job{
					Items: job.items, ItemTime: loads.itemTimes[model], Span: span, Left: span - now.Sub(job.first), Follows: now.Sub(loads.busySince[model]) > bootTime,
				})
				break
			}
		}
	}
	return load
}
