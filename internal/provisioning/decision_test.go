package provisioning_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/provisioning"
)

// interactive and batch are services in three zones, of which a is the cheapest and c the most expensive.
var (
	scaling     = catalog.Scaling{Minimum: 1, Maximum: 8, BootTime: 4 * time.Second, SpotPrice: 0.2, ZonePrices: map[string]float64{"a": 1, "b": 1.1, "c": 1.2}}
	interactive = provisioning.Service{Scaling: scaling, Slots: 10}
	batch       = provisioning.Service{Scaling: scaling, Slots: 10, BatchOnly: true}
)

// settled returns pools with as many replicas as ordered long ago: on-demand in zones a, b and c, and then spot.
func settled(counts ...int) []provisioning.Pool {
	var pools []provisioning.Pool
	for index := range 6 {
		pool := provisioning.Pool{Zone: "abc"[index%3 : index%3+1], Spot: index >= 3, Age: time.Hour}
		if index < len(counts) {
			pool.Ordered, pool.Expected = counts[index], counts[index]
		}
		pools = append(pools, pool)
	}
	return pools
}

func reported(slots float64) provisioning.Need { return provisioning.Need{Reported: slots} }
func jobs(slots float64) provisioning.Need     { return provisioning.Need{Jobs: slots} }

// describe formats changes, such as "a3 spot-b2 load".
func describe(changes []provisioning.Change) string {
	var parts []string
	for _, change := range changes {
		kind := ""
		if change.Spot {
			kind = "spot-"
		}
		parts = append(parts, fmt.Sprint(kind, change.Zone, change.Count))
	}
	if len(changes) > 0 {
		parts = append(parts, string(changes[0].Reason))
	}
	return strings.Join(parts, " ")
}

// Guards against orders that the load does not need, orders out of bounds, and too few replicas after the loss of a zone or of all spot replicas.
func TestDecide(t *testing.T) {
	type pools = []provisioning.Pool
	change := func(list pools, index int, edit func(*provisioning.Pool)) pools {
		edit(&list[index])
		return list
	}
	for _, test := range []struct {
		name       string
		service    provisioning.Service
		pools      pools
		need, peak provisioning.Need
		peakKnown  bool
		want       string
	}{
		{name: "adequate", service: interactive, pools: settled(2, 2, 2), need: reported(51), peak: reported(51), peakKnown: true},
		{name: "too full: the cheapest zones first", service: interactive, pools: settled(2, 2, 2), need: reported(52), want: "a3 b3 load"},
		{name: "the zone with the fewest first", service: interactive, pools: settled(3, 2, 1), need: reported(52), want: "b3 c2 load"},
		{name: "no more than the maximum", service: interactive, pools: settled(8, 8, 7), need: reported(500), want: "c8 load"},
		{name: "spot counts for the maximum", service: batch, pools: settled(6, 6, 6, 2, 2, 2), need: jobs(500)},
		{
			name: "none in zone a", service: interactive, need: reported(52), want: "b3 c3 load",
			pools: change(settled(2, 2, 2), 0, func(pool *provisioning.Pool) { pool.Unavailable = true }),
		},
		{
			name: "ordered replicas are on their way", service: interactive, need: reported(70),
			pools: change(settled(2, 2, 4), 2, func(pool *provisioning.Pool) { pool.Age, pool.Ordered, pool.Expected = time.Second, 8, 8 }),
		},
		{
			name: "the answer of zone a is awaited", service: interactive, need: reported(100), want: "b7 c6 load",
			pools: change(settled(2, 2, 2), 0, func(pool *provisioning.Pool) { pool.Age, pool.Unanswered = time.Second, true }),
		},
		{
			name: "zone a does not answer", service: interactive, need: reported(52), want: "a3 b3 load",
			pools: change(settled(2, 2, 2), 0, func(pool *provisioning.Pool) { pool.Age, pool.Unanswered = time.Minute, true }),
		},
		{
			name: "lost replicas that are not needed", service: interactive, need: reported(40), peak: reported(40), peakKnown: true,
			pools: change(settled(3, 3, 3), 0, func(pool *provisioning.Pool) { pool.Expected = 0 }),
		},
		{
			name: "lost replicas are ordered once more", service: interactive, need: reported(60), want: "a3 load",
			pools: change(settled(3, 3, 3), 0, func(pool *provisioning.Pool) { pool.Expected = 0 }),
		},
		{name: "movable work: half on spot, spread", service: batch, pools: settled(1, 1, 1), need: jobs(70), want: "a2 spot-a2 b2 spot-b2 spot-c1 load"},
		{name: "interactive work: no spot", service: interactive, pools: settled(1, 1, 1), need: reported(70), want: "a4 b3 c3 load"},
		{
			name: "interactive work beside jobs: spot for the jobs alone", service: interactive, pools: settled(1, 1, 1), need: provisioning.Need{Reported: 28, Jobs: 42},
			want: "a2 spot-a1 b2 load",
		},
		{
			name: "reclaimed: on-demand replicas are too few alone", service: batch, pools: change(settled(1, 1, 1, 2, 2, 2), 3, func(pool *provisioning.Pool) {
				pool.Expected, pool.Unavailable = 0, true
			}), need: jobs(70), want: "a2 b2 spot-b3 load",
		},
		{name: "idle", service: interactive, pools: settled(3, 3, 3), peak: reported(20), peakKnown: true, want: "a2 b2 c1 idle"},
		{name: "idle, but observed too briefly", service: interactive, pools: settled(3, 3, 3), peak: reported(20)},
		{
			name: "idle, but ordered a short time ago", service: interactive, peak: reported(20), peakKnown: true,
			pools: change(settled(3, 3, 3), 1, func(pool *provisioning.Pool) { pool.Age = 44 * time.Second }),
		},
		{name: "the rest must do without a zone", service: interactive, pools: settled(4, 4, 1), peak: reported(25), peakKnown: true, want: "a2 b2 idle"},
		{name: "on-demand replicas go first, spot replicas are not counted on", service: batch, pools: settled(4, 4, 4, 2, 2, 2), peak: jobs(60), peakKnown: true,
			want: "a2 b2 c2 idle"},
		{name: "never without a replica in two zones", service: provisioning.Service{Scaling: catalog.Scaling{Maximum: 8}, Slots: 10}, pools: settled(2, 2, 2), peakKnown: true,
			want: "a1 b1 c0 idle"},
		{name: "below the minimum", service: interactive, pools: settled(0, 2, 2), want: "a1 bounds"},
		{name: "above the maximum: spot first", service: interactive, pools: settled(8, 2, 2, 3), want: "spot-a0 bounds"},
		{
			name: "above the maximum: refused a short time ago", service: interactive,
			pools: change(settled(9, 2, 2), 0, func(pool *provisioning.Pool) { pool.Unavailable = true }),
		},
		{
			name: "above the maximum: spot refused a short time ago", service: interactive, want: "b8 bounds",
			pools: change(settled(8, 9, 2, 3), 3, func(pool *provisioning.Pool) { pool.Unavailable = true }),
		},
		{
			name: "below the minimum: refused a short time ago", service: interactive,
			pools: change(settled(0, 2, 2), 0, func(pool *provisioning.Pool) { pool.Unavailable = true }),
		},
		{
			name: "above the maximum: the answer is awaited", service: interactive,
			pools: change(settled(9, 2, 2), 0, func(pool *provisioning.Pool) { pool.Age, pool.Unanswered = time.Second, true }),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := provisioning.Decide(provisioning.Situation{Service: test.service, Pools: test.pools, Need: test.need, Peak: test.peak, PeakKnown: test.peakKnown})
			must.Eq(t, test.want, describe(got))
		})
	}
}

// Guards against need that is taken for too high, which costs replicas, or for too low, which costs callers.
func TestMeasure(t *testing.T) {
	second := time.Second
	job := provisioning.Job{Items: 100, Span: 10 * second, Left: 10 * second}
	late := provisioning.Job{Items: 100, Span: 10 * second, Left: 3 * second}
	slow := job
	slow.ItemTime = second
	follows := late
	follows.Follows = true
	for _, test := range []struct {
		name    string
		service provisioning.Service
		load    provisioning.Load
		want    provisioning.Need
	}{
		{"in flight", interactive, provisioning.Load{InFlight: 12, ServiceTime: second}, reported(12)},
		{"refused requests would have run", interactive, provisioning.Load{InFlight: 60, Refused: 20, ServiceTime: second / 2}, reported(70)},
		{"a backlog that is gone before a replica boots", interactive, provisioning.Load{InFlight: 40, Waiting: 80, ServiceTime: second, Patience: 30 * second}, reported(40)},
		{"a backlog that is not", interactive, provisioning.Load{InFlight: 40, Waiting: 104, ServiceTime: second, Patience: 30 * second}, reported(44)},
		{"a backlog whose callers give up before", interactive, provisioning.Load{InFlight: 60, Waiting: 200, ServiceTime: second, Patience: 2 * second}, reported(60)},
		{"unknown service time", interactive, provisioning.Load{InFlight: 60, Waiting: 5}, reported(65)},
		{"items whose service time is unknown", batch, provisioning.Load{InFlight: 60, Waiting: 400, Jobs: []provisioning.Job{job}}, reported(0)},
		{"items of jobs that are unknown", batch, provisioning.Load{InFlight: 60, Waiting: 400}, reported(51)},
		{"a job", batch, provisioning.Load{InFlight: 60, Waiting: 40, ServiceTime: second / 2, Jobs: []provisioning.Job{job}}, jobs(10)},
		{"a job of a model with a time of its own", batch, provisioning.Load{InFlight: 60, ServiceTime: second / 2, Jobs: []provisioning.Job{slow}}, jobs(20)},
		{"a job that ends before a replica boots", batch, provisioning.Load{ServiceTime: second / 2, Jobs: []provisioning.Job{late}}, jobs(0)},
		{"but others follow", batch, provisioning.Load{ServiceTime: second / 2, Jobs: []provisioning.Job{follows}}, jobs(10)},
		{"items fill interactive replicas", interactive, provisioning.Load{InFlight: 60, ServiceTime: second / 2, Jobs: []provisioning.Job{job}}, provisioning.Need{Reported: 51, Jobs: 10}},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := test.service.Measure(test.load, 60)
			must.InDelta(t, test.want.Reported, got.Reported, 1e-6)
			must.InDelta(t, test.want.Jobs, got.Jobs, 1e-6)
		})
	}
}
