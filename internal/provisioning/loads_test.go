package provisioning_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/provisioning"
)

// Guards against sums that count a zone twice, that an overtaken message sets back, or that outlast the zone's reports.
func TestLoads(t *testing.T) {
	const second = time.Second
	loads, start := provisioning.NewLoads(), time.Now()
	record := func(at time.Duration, node string, number int64, zone, name string, inFlight int32, micros int64) {
		load := &clusterv1.ServiceLoad{Service: name, InFlight: inFlight, Waiting: 1, Refused: 2, ServiceTimeUs: micros}
		loads.RecordTotals(&clusterv1.ServiceTotals{
			Node: node, Number: number, Zones: []*clusterv1.ZoneLoad{{Zone: zone, Services: []*clusterv1.ServiceLoad{load}}},
		}, start.Add(at))
	}
	read := func(at time.Duration) provisioning.Load {
		return loads.Read("s", []string{"m"}, 10*second, 4*second, start.Add(at))
	}
	record(0, "x", 1, "a", "s", 10, 1000)
	record(0, "y", 1, "b", "s", 30, 3000)
	record(0, "x", 2, "a", "another", 99, 1000) // a second message of the same zone
	loads.RecordTotals(&clusterv1.ServiceTotals{Node: "x", Number: 3, Receiver: "y", Zones: []*clusterv1.ZoneLoad{{Zone: "a", Services: []*clusterv1.ServiceLoad{{Service: "s"}}}}}, start)
	must.Eq(t, provisioning.Load{InFlight: 40, Waiting: 2, Refused: 4, ServiceTime: 2500 * time.Microsecond}, read(0), must.Sprint("a reply is no sum"))
	record(second, "x", 5, "a", "s", 20, 1000)
	record(second, "x", 4, "a", "s", 10, 1000)
	must.Eq(t, 50, read(second).InFlight, must.Sprint("the overtaken message counts for nothing"))
	record(second, "z", 1, "a", "s", 7, 1000)
	must.Eq(t, 37, read(second).InFlight, must.Sprint("another node sums up the zone"))
	record(2*second, "x", 6, "a", "s", -5, 1000)
	must.Eq(t, 30, read(2*second).InFlight, must.Sprint("a negative number"))
	must.Eq(t, provisioning.Load{ServiceTime: 91 * time.Millisecond / 31}, read(10*second), must.Sprint("silence: the service time is kept"))
}

// Guards against jobs that count after their end, and against steps that are not known to follow each other.
func TestLoadsOfJobs(t *testing.T) {
	const second = time.Second
	loads, start := provisioning.NewLoads(), time.Now()
	record := func(at time.Duration, job string) {
		loads.RecordDemand(&clusterv1.Demand{JobId: job, Model: "m", Items: 100}, start.Add(at))
	}
	read := func(at time.Duration, models ...string) []provisioning.Job {
		return loads.Read("s", models, 10*second, 4*second, start.Add(at)).Jobs
	}
	record(0, "first")
	record(2*second, "first")
	must.Eq(t, []provisioning.Job{{Items: 100, Span: 10 * second, Left: 7 * second}}, read(3*second, "m"))
	must.SliceEmpty(t, read(3*second, "another"))
	must.SliceEmpty(t, read(5*second, "m"), must.Sprint("its owner is silent"))
	record(9*second, "second")
	must.Eq(t, []provisioning.Job{{Items: 100, Span: 10 * second, Left: 10 * second, Follows: true}}, read(9*second, "m"))
	record(30*second, "third")
	must.Eq(t, []provisioning.Job{{Items: 100, Span: 10 * second, Left: 10 * second}}, read(30*second, "m"), must.Sprint("a long pause"))
	must.SliceEmpty(t, loads.Read("s", []string{"m"}, 0, 4*second, start.Add(30*second)).Jobs, must.Sprint("no due time"))
}

// Guards against replicas that are given up because the reports of a zone are lost, which then counts as idle.
func TestZoneThatFallsSilentIsUnknown(t *testing.T) {
	const second = time.Second
	loads, start := provisioning.NewLoads(), time.Now()
	record := func(at time.Duration, zone string, inFlight int32) {
		load := &clusterv1.ServiceLoad{Service: "s", InFlight: inFlight, ServiceTimeUs: 1000}
		loads.RecordTotals(&clusterv1.ServiceTotals{
			Node: zone, Number: int64(at), Zones: []*clusterv1.ZoneLoad{{Zone: zone, Services: []*clusterv1.ServiceLoad{load}}},
		}, start.Add(at))
	}
	incomplete := func(at time.Duration) bool {
		return loads.Read("s", nil, 0, 4*second, start.Add(at)).Incomplete
	}
	record(0, "a", 20)
	record(0, "b", 20)
	record(0, "c", 0) // the last report of an idle zone
	for at := second; at <= 10*second; at += second {
		record(at, "a", 20)
	}
	must.True(t, incomplete(10*second), must.Sprint("b had requests and is silent"))
	record(11*second, "b", 20)
	must.False(t, incomplete(11*second))
	record(12*second, "b", 0)
	for at := 13 * second; at <= 20*second; at += second {
		record(at, "a", 20)
	}
	must.False(t, incomplete(20*second), must.Sprint("idle zones are silent too"))
}
