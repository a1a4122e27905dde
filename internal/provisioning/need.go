package provisioning

import (
	"math"
	"slices"
	"time"
)

// Load is what callers and jobs ask of a service at one moment.
type Load struct {
	// InFlight and Waiting are requests at replicas and at the nodes, Refused those that the nodes refused in the last second.
	InFlight, Waiting, Refused int
	// ServiceTime is the mean time that a replica takes for a request; zero if it is unknown.
	ServiceTime time.Duration
	// Patience is the time for which a caller of the service waits at most.
	Patience time.Duration
	Jobs     []Job
	// Incomplete is true if a zone that had requests at the service has fallen silent. What it has now is unknown.
	Incomplete bool
}

// Job is an open batch job.
type Job struct {
	Items int
	// ItemTime is the mean time that a replica takes for an item of the job's model; zero if it is unknown.
	ItemTime time.Duration
	// Span is the time from the submission of the job until its results are due, Left the rest of it.
	Span, Left time.Duration
	// Follows is true if the service has had open jobs for longer than a replica takes to boot, so that further jobs are expected.
	Follows bool
}

// itemTime returns the mean time that a replica takes for an item of a job; zero if it is unknown.
func (load *Load) itemTime(job Job) time.Duration {
	if job.ItemTime > 0 {
		return job.ItemTime
	}
	return load.ServiceTime
}

// hasUnknownTimes reports whether it is unknown how long the items of a job take.
func (load *Load) hasUnknownTimes() bool {
	return slices.ContainsFunc(load.Jobs, func(job Job) bool { return load.itemTime(job) == 0 })
}

// Need is the room that a service needs, in requests that run at the same time.
type Need struct {
	// Reported is what the nodes report, Jobs what open jobs need in order to be complete in time.
	Reported, Jobs float64
}

// Slots returns the needed room. Nodes report the running items of jobs too, so the parts are not added.
func (need Need) Slots() float64 { return max(need.Reported, need.Jobs) }

// jobSpanShare is the part of a job's time in which its items are to be complete. A trainer waits for the slowest item, which takes a multiple of
// the mean, and may have to run again after a failure.
const jobSpanShare = 0.5

// Measure returns the room that a load needs, if the present replicas run the given number of requests at the same time.
func (service *Service) Measure(load Load, slots float64) Need {
	need := service.measureReported(load, slots)
	for _, job := range load.Jobs {
		if job.Left > service.Scaling.BootTime || job.Follows {
			need.Jobs += float64(job.Items) * load.itemTime(job).Seconds() / (jobSpanShare * job.Span.Seconds())
		}
	}
	switch {
	case service.BatchOnly && len(load.Jobs) > 0:
		need.Reported = 0
	case (service.BatchOnly || len(load.Jobs) > 0) && load.Refused == 0:
		// Items take every free slot, so full replicas alone are no sign that there are too few.
		need.Reported = min(need.Reported, maxUtilization*slots)
	}
	return need
}

// measureReported returns the need of the requests that nodes report.
func (service *Service) measureReported(load Load, slots float64) Need {
	if load.ServiceTime <= 0 {
		return Need{Reported: float64(load.InFlight + load.Waiting)} // how fast the backlog shrinks is unknown
	}
	seconds := load.ServiceTime.Seconds()
	need := float64(load.InFlight) + float64(load.Refused)*seconds
	return Need{Reported: need + backlogSlots(float64(load.Waiting)*seconds, slots-need, load.Patience, service.Scaling.BootTime)}
}

// backlogSlots returns how many further slots a backlog needs, given its work in seconds of a slot and the free slots of the present replicas.
// It returns zero if the present replicas work it off before a new replica serves, and if its callers give up before.
func backlogSlots(work, free float64, patience, bootTime time.Duration) float64 {
	if free > 0 && work/free <= bootTime.Seconds() {
		return 0
	}
	if patience <= bootTime {
		return 0 // only a load that lasts needs more replicas, and it shows in the requests in flight and refused
	}
	return work / (patience - bootTime).Seconds()
}

const (
	// maxUtilization is the share of the slots above which requests noticeably wait for each other, so that replicas are ordered.
	// raisedUtilization is the share after an order; the difference keeps small changes of the load from causing further orders.
	maxUtilization    = 0.85
	raisedUtilization = 0.7
	// loweredUtilization is the share that the highest recent load may take after a reduction. It is below raisedUtilization, so that a reduction
	// never leads to an order for the same load.
	loweredUtilization = 0.6
)

// replicasFor returns how many replicas provide the slots at a utilization.
func replicasFor(slots, utilization, slotsPerReplica float64) int {
	return int(math.Ceil(slots/(utilization*slotsPerReplica) - roundingTolerance))
}

// roundingTolerance absorbs rounding errors.
const roundingTolerance = 1e-6
