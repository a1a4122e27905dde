package backend

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/logging"
)

// Each pair is a replica that must come before another.
func TestOrderOfCandidates(t *testing.T) {
	usual := candidate{slots: 6, pace: 1}
	with := func(change func(candidate *candidate)) candidate {
		changed := usual
		change(&changed)
		return changed
	}
	for name, check := range map[string]struct{ first, second candidate }{
		"fewer in flight":                           {usual, with(func(c *candidate) { c.inFlight = 1 })},
		"more slots":                                {with(func(c *candidate) { c.slots, c.inFlight = 12, 2 }), with(func(c *candidate) { c.inFlight = 1 })},
		"busy and usual before idle and slow":       {with(func(c *candidate) { c.inFlight = 2 }), with(func(c *candidate) { c.pace = 4 })},
		"slow before a long queue":                  {with(func(c *candidate) { c.pace = 2 }), with(func(c *candidate) { c.inFlight = 4 })},
		"fast with one in flight before usual":      {with(func(c *candidate) { c.inFlight, c.pace = 1, 0.4 }), usual},
		"an open connection":                        {with(func(c *candidate) { c.idle = true }), usual},
		"load before an open connection":            {usual, with(func(c *candidate) { c.idle, c.inFlight = true, 1 })},
		"one that fails a third of its answers":     {with(func(c *candidate) { c.inFlight = 1 }), with(func(c *candidate) { c.failing = 0.33 })},
		"new with none before usual with one":       {with(func(c *candidate) { c.unproven = true }), with(func(c *candidate) { c.inFlight = 1 })},
		"usual with three before new with one":      {with(func(c *candidate) { c.inFlight = 3 }), with(func(c *candidate) { c.unproven, c.inFlight, c.own = true, 1, 1 })},
		"fails a little, before slow by four times": {with(func(c *candidate) { c.failing = 0.1 }), with(func(c *candidate) { c.pace = 4 })},
	} {
		// The first has the most unfavorable chance.
		must.Less(t, check.second.cost(0), check.first.cost(1), must.Sprint(name))
	}
}

func TestZoneSurcharge(t *testing.T) {
	for _, check := range []struct{ load, pace, bytes, want float64 }{
		{load: 0, pace: 1, want: 1},
		{load: 0.5, pace: 1, want: 0.5},
		{load: 1, pace: 1, want: 0},
		{load: 2, pace: 1, want: 0},
		{load: 0, pace: 1.25, want: 0.5},                   // the own zone is slower: part of its room counts
		{load: 0, pace: 3, want: 0},                        // far slower: no room
		{load: 0, pace: 0.5, want: 1},                      // faster: no more than free
		{load: 1, pace: 1, bytes: 64 << 10, want: 0.1},     // bytes cost also when the own zone is full
		{load: 1, pace: 1, bytes: 1 << 30, want: 0.5},      // but bounded
		{load: 0.75, pace: 1, bytes: 128 << 10, want: .45}, // and add up
	} {
		must.InDelta(t, check.want, zoneSurcharge(check.load, check.pace, check.bytes), 1e-9, must.Sprintf("%+v", check))
	}
}

func TestPace(t *testing.T) {
	now := time.Unix(1000, 0)
	play := func(average paceAverage, every time.Duration, ratios ...float64) paceAverage {
		for _, ratio := range ratios {
			now = now.Add(every)
			average.observe(ratio, now)
		}
		return average
	}
	repeat := func(count int, ratio float64) []float64 {
		list := make([]float64, count)
		for index := range list {
			list[index] = ratio
		}
		return list
	}
	usual := play(paceAverage{}, 100*time.Millisecond, repeat(20, 1)...)
	must.InDelta(t, 1, usual.value, 1e-9)
	long := usual
	long = play(long, 100*time.Millisecond, 1000)
	must.Less(t, 1.6, long.value, must.Sprint("one long answer"))
	single := usual
	single = play(single, time.Millisecond, 3)
	burst := play(single, time.Millisecond, repeat(5, 3)...)
	must.Less(t, single.value+0.2, burst.value, must.Sprint("a burst of answers that ended together"))
	lasting := usual
	lasting = play(lasting, 100*time.Millisecond, repeat(10, 4)...)
	must.Greater(t, 3, lasting.value, must.Sprint("a second of slow answers"))
	rare := usual
	rare = play(rare, time.Second, repeat(3, 4)...)
	must.Greater(t, 2, rare.value, must.Sprint("three rare ones"))
	must.Eq(t, lasting.value, lasting.at(lasting.last.Add(time.Minute), 1), must.Sprint("a slow replica stays slow"))
	back := play(lasting, trialPause, 1, 1)
	must.Less(t, slowPace, back.value, must.Sprint("two usual answers bring it back"))
	mild := play(usual, time.Second, 1.8)
	must.InDelta(t, 1+(mild.value-1)/2, mild.at(mild.last.Add(paceSettled+paceHalfLife), 1), 1e-9, must.Sprint("forgotten by half"))
	first := play(paceAverage{}, 0, 1e9)
	must.Eq(t, maxPaceStep, first.value, must.Sprint("a first answer is bounded"))
	must.Eq(t, 1.3, new(paceAverage).at(now, 1.3), must.Sprint("an unknown replica is typical"))
	for range 100 {
		long = play(long, time.Second, 1e9)
	}
	must.LessEq(t, maxPace, long.value)
}

func TestExpectedDrain(t *testing.T) {
	for _, check := range []struct {
		waiting, slots int
		serviceTime    time.Duration
		want           time.Duration
	}{
		{waiting: 6, slots: 6, serviceTime: 200 * time.Millisecond, want: 200 * time.Millisecond},
		{waiting: 3, slots: 6, serviceTime: 200 * time.Millisecond, want: 100 * time.Millisecond},
		{waiting: 0, slots: 0, serviceTime: 200 * time.Millisecond, want: 200 * time.Millisecond},
		{waiting: 3, slots: 6, want: minDrain},
		{waiting: 600, slots: 6, serviceTime: time.Second, want: maxDrain},
	} {
		must.Eq(t, check.want, expectedDrain(check.waiting, check.slots, check.serviceTime), must.Sprintf("%+v", check))
	}
}

// bench is one node with one replica that is told how requests end.
type bench struct {
	balancer *Balancer
	replica  *catalog.Replica
	peers    []*catalog.Replica
	now      time.Time
}

func newBench() *bench {
	bench := &bench{balancer: NewBalancer("a", log.New(io.Discard), nil), replica: &catalog.Replica{ID: "x@1", Service: "app", Slots: 6, Zone: "a"}, now: time.Unix(1000, 0)}
	for index := range 4 {
		bench.peers = append(bench.peers, &catalog.Replica{ID: fmt.Sprint("p", index), Service: "app", Slots: 6, Zone: "a"})
	}
	for range 20 {
		for _, peer := range append(bench.peers, bench.replica) {
			bench.call(peer, endServed, 100*time.Millisecond, ReportedLoad{})
		}
	}
	return bench
}

func (bench *bench) call(replica *catalog.Replica, end measuredEnd, took time.Duration, load ReportedLoad) {
	measured := bench.balancer.begin(replica, &Request{}, bench.now)
	bench.now = bench.now.Add(took)
	measured.report(load, bench.now)
	measured.end(end, 0, bench.now)
}

func (bench *bench) mayTry(own int) bool {
	return bench.balancer.service("app").replicas[bench.replica.ID].hold.mayTry(own, bench.now)
}

// A full replica gets nothing until a part of its queue has drained, then one request, and all of its share once it answered that.
func TestFullReplicaReturnsAfterItsDrain(t *testing.T) {
	bench := newBench()
	bench.call(bench.replica, endFull, 0, ReportedLoad{Known: true, Running: 6, Waiting: 3, Slots: 6})
	must.False(t, bench.mayTry(0))
	bench.now = bench.now.Add(49 * time.Millisecond)
	must.False(t, bench.mayTry(0))
	bench.now = bench.now.Add(2 * time.Millisecond)
	must.True(t, bench.mayTry(0))
	must.False(t, bench.mayTry(1), must.Sprint("one probe at a time"))
	bench.call(bench.replica, endFull, time.Millisecond, ReportedLoad{Known: true, Running: 6, Waiting: 3, Slots: 6})
	must.False(t, bench.mayTry(0))
	bench.now = bench.now.Add(60 * time.Millisecond)
	bench.call(bench.replica, endServed, 100*time.Millisecond, ReportedLoad{})
	must.True(t, bench.mayTry(5))
	must.Zero(t, bench.balancer.service("app").replicas[bench.replica.ID].failures.value, must.Sprint("full is not a failure"))
}

// A replica that fails is held for longer with each failed probe, and returns after three answers.
func TestFailingReplicaReturnsByProbes(t *testing.T) {
	bench := newBench()
	for range 6 {
		must.True(t, bench.mayTry(3))
		bench.call(bench.replica, endFailed, time.Millisecond, ReportedLoad{})
	}
	must.False(t, bench.mayTry(0))
	for _, pause := range []time.Duration{initialHold, 2 * initialHold, 4 * initialHold} {
		bench.now = bench.now.Add(pause - 10*time.Millisecond)
		must.False(t, bench.mayTry(0))
		bench.now = bench.now.Add(10 * time.Millisecond)
		must.True(t, bench.mayTry(0))
		must.False(t, bench.mayTry(1))
		bench.call(bench.replica, endFailed, time.Millisecond, ReportedLoad{})
		must.False(t, bench.mayTry(0))
	}
	bench.now = bench.now.Add(maxHold)
	for range probesToReturn {
		must.False(t, bench.mayTry(1))
		bench.call(bench.replica, endServed, 100*time.Millisecond, ReportedLoad{})
	}
	must.True(t, bench.mayTry(5))
}

// A request that is never answered counts against the replica only if the replica was silent and its peers were not.
func TestMuteIsToldFromAService(t *testing.T) {
	unanswered := func(meanwhile func(bench *bench)) bool {
		bench := newBench()
		for range 3 {
			measured := bench.balancer.begin(bench.replica, &Request{}, bench.now)
			meanwhile(bench)
			bench.now = bench.now.Add(time.Second)
			measured.end(endAbandoned, 0, bench.now)
		}
		return !bench.mayTry(0)
	}
	must.True(t, unanswered(func(bench *bench) {
		bench.call(bench.peers[0], endServed, 100*time.Millisecond, ReportedLoad{})
	}))
	must.False(t, unanswered(func(*bench) {}), must.Sprint("no replica answers"))
	must.False(t, unanswered(func(bench *bench) {
		bench.call(bench.peers[0], endServed, 100*time.Millisecond, ReportedLoad{})
		bench.call(bench.replica, endServed, 100*time.Millisecond, ReportedLoad{})
	}), must.Sprint("the replica answers others"))
}

// A replica that starts again under its name is another incarnation: it is neither slow nor held.
func TestRestartUnderTheSameName(t *testing.T) {
	bench := newBench()
	for range 8 {
		bench.call(bench.peers[0], endServed, 100*time.Millisecond, ReportedLoad{})
		bench.call(bench.replica, endServed, 800*time.Millisecond, ReportedLoad{})
		bench.call(bench.replica, endFailed, time.Millisecond, ReportedLoad{})
	}
	must.True(t, bench.balancer.service("app").replicas[bench.replica.ID].slow)
	bench.replica = &catalog.Replica{ID: "x@2", Service: "app", Slots: 6, Zone: "a"}
	bench.call(bench.replica, endServed, 100*time.Millisecond, ReportedLoad{})
	must.True(t, bench.mayTry(3))
	must.Between(t, 0.7, bench.balancer.service("app").replicas[bench.replica.ID].pace.value, 1.3)
}

// What a replica reports of others counts in full at once, less with its age, and its pace for a moment only.
func TestReportedLoadAges(t *testing.T) {
	now := time.Unix(1000, 0)
	reported := report{load: ReportedLoad{Known: true, Running: 6, Waiting: 2, Slots: 8, Pace: 3}, others: 6, at: now}
	for _, check := range []struct {
		age          time.Duration
		others, pace float64
	}{
		{age: 0, others: 6, pace: 3},
		{age: reportedPaceHalfLife, others: 2 + 4*0.660, pace: 2},
		{age: reportHalfLife, others: 4, pace: 1.630},
		{age: 10 * time.Second, others: 2, pace: 1},
	} {
		view, others := candidate{slots: 6, pace: 1}, 2.0
		reported.apply(&view, &others, now.Add(check.age))
		must.InDelta(t, check.others, others, 0.01)
		must.InDelta(t, check.pace, view.pace, 0.01)
		must.Eq(t, 8, view.slots)
	}
	view, others := candidate{slots: 6, pace: 1}, 2.0
	new(report).apply(&view, &others, now)
	must.Eq(t, candidate{slots: 6, pace: 1}, view)
	must.Eq(t, 2, others)
}

// The state of replicas that come and go must not grow.
func TestStateIsBounded(t *testing.T) {
	balancer, now := NewBalancer("a", log.New(io.Discard), nil), time.Unix(1000, 0)
	for index := range 3 * maxReplicas {
		measured := balancer.begin(&catalog.Replica{ID: fmt.Sprint(index), Service: "app"}, &Request{}, now)
		measured.end(endServed, 0, now)
	}
	must.LessEq(t, maxReplicas, len(balancer.service("app").replicas))
	now = now.Add(replicaTTL)
	balancer.begin(&catalog.Replica{ID: "new", Service: "app"}, &Request{}, now).end(endServed, 0, now)
	must.MapLen(t, 1, balancer.service("app").replicas)
	for index := range 3 * maxServices {
		balancer.service(fmt.Sprint(index))
	}
	must.LessEq(t, maxServices, len(balancer.services))
}

func TestLogLinesAreBounded(t *testing.T) {
	written := &strings.Builder{}
	balancer, now := NewBalancer("a", log.New(written), nil), time.Unix(1000, 0)
	for range 100 {
		balancer.log("replica slow", now)
	}
	must.Eq(t, logging.LinesPerWindow, strings.Count(written.String(), "\n"))
	balancer.log("replica slow", now.Add(time.Second))
	must.StrContains(t, written.String(), "lines_left_out=90")
}

// That a replica is slow or fails must be logged once, and once when it no longer is.
func TestChangesAreLoggedOnce(t *testing.T) {
	bench, written := newBench(), &strings.Builder{}
	bench.balancer.logger = log.New(written)
	round := func(end measuredEnd, took time.Duration) {
		bench.call(bench.peers[0], endServed, 100*time.Millisecond, ReportedLoad{})
		bench.call(bench.replica, end, took, ReportedLoad{})
	}
	for range 10 {
		round(endServed, 400*time.Millisecond)
	}
	for range 10 {
		round(endServed, 100*time.Millisecond)
	}
	for range 4 {
		round(endFailed, time.Millisecond)
	}
	for range 30 {
		round(endServed, 100*time.Millisecond)
	}
	lines := strings.Split(strings.TrimSpace(written.String()), "\n")
	must.Len(t, 4, lines, must.Sprint(lines))
	for index, want := range []string{"replica slow", "replica back", "replica failing", "replica back"} {
		must.StrContains(t, lines[index], want)
		must.StrContains(t, lines[index], "replica=x@1")
	}
}

// scripted answers with what the test says.
type scripted func(ctx context.Context) (*Response, error)

func (script scripted) Send(ctx context.Context, _ *catalog.Replica, _ *Request) (*Response, error) {
	return script(ctx)
}

// Each way in which a request ends must be told apart, and end the measurement once.
func TestEndsAreToldApart(t *testing.T) {
	body := func(text string) io.ReadCloser { return io.NopCloser(strings.NewReader(text)) }
	answer := func(status int, notExecuted bool) scripted {
		return func(context.Context) (*Response, error) {
			return &Response{Status: status, NotExecuted: notExecuted, Length: 4, Body: body("body")}, nil
		}
	}
	failing := func(err error) scripted {
		return func(context.Context) (*Response, error) { return nil, err }
	}
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for name, check := range map[string]struct {
		ctx             context.Context
		script          scripted
		streamed        bool
		answers, failed int
		held            bool
	}{
		"served":        {script: answer(http.StatusOK, false), answers: 1},
		"redirect":      {script: answer(http.StatusFound, false)},
		"not found":     {script: answer(http.StatusNotFound, false)},
		"own error":     {script: answer(http.StatusInternalServerError, false), failed: 1},
		"own timeout":   {script: answer(http.StatusGatewayTimeout, false)},
		"full":          {script: answer(http.StatusServiceUnavailable, true), held: true},
		"full, by rate": {script: answer(http.StatusTooManyRequests, true), held: true},
		"another life":  {script: answer(http.StatusMisdirectedRequest, true), failed: 1},
		"not run":       {script: answer(http.StatusBadRequest, true)},
		"not sent":      {script: failing(ErrNotSent), failed: 1},
		"broken":        {script: failing(ErrBroken), failed: 1},
		"on hold":       {script: failing(errors.Mark(&HeldError{}, ErrNotSent))},
		"caller left":   {ctx: canceled, script: failing(ErrBroken)},
		"cut short": {failed: 1, script: func(context.Context) (*Response, error) {
			return &Response{Status: http.StatusOK, Length: 9, Body: io.NopCloser(io.MultiReader(strings.NewReader("body"), broken{}))}, nil
		}},
		"stream": {answers: 1, streamed: true, script: func(context.Context) (*Response, error) {
			return &Response{Status: http.StatusOK, Length: -1, Body: io.NopCloser(broken{})}, nil
		}},
		"without a length": {answers: 1, script: func(context.Context) (*Response, error) {
			return &Response{Status: http.StatusOK, Length: -1, Body: body("body")}, nil
		}},
		"without a length, cut short": {failed: 1, script: func(context.Context) (*Response, error) {
			return &Response{Status: http.StatusOK, Length: -1, Body: io.NopCloser(io.MultiReader(strings.NewReader("body"), broken{}))}, nil
		}},
	} {
		t.Run(name, func(t *testing.T) {
			balancer := NewBalancer("a", log.New(io.Discard), nil)
			ctx := check.ctx
			if ctx == nil {
				ctx = t.Context()
			}
			response, err := balancer.Sender(check.script).Send(ctx, &catalog.Replica{ID: "x", Service: "app", Slots: 6}, &Request{Streamed: check.streamed})
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				must.NoError(t, response.Body.Close())
			}
			state := balancer.service("app").replicas["x"]
			must.Zero(t, state.running)
			must.Eq(t, check.answers, state.pace.answers)
			must.Eq(t, check.failed > 0, state.failures.value > 0)
			must.Eq(t, check.held, state.hold != nil)
		})
	}
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, ErrBroken }

// Requests at engines must not be measured or placed by the balancer.
func TestEnginesTakeTheirOwnPath(t *testing.T) {
	balancer, loads, now := NewBalancer("a", log.New(io.Discard), nil), NewLoads(), time.Now()
	loads.Balance(balancer)
	engine := &catalog.Replica{ID: "e", Service: "lm", Slots: 6, Models: []catalog.ModelVersion{{Model: "m", Version: 1}}}
	picker := Picker{Loads: loads, Zone: "a"}
	must.Eq(t, engine, picker.Pick(catalog.NewReplicaList(engine), nil, now))
	_, err := balancer.Sender(scripted(func(context.Context) (*Response, error) { return nil, ErrBroken })).Send(t.Context(), engine, &Request{})
	must.ErrorIs(t, err, ErrBroken)
	must.MapEmpty(t, balancer.services)
}

// A held or excluded replica is chosen only if there is no other, and of several held ones that which is free first.
func TestPickWithoutAFreeReplica(t *testing.T) {
	balancer, loads, now := NewBalancer("a", log.New(io.Discard), nil), NewLoads(), time.Unix(1000, 0)
	loads.Balance(balancer)
	first := &catalog.Replica{ID: "x", Service: "app", Slots: 6, Zone: "a"}
	second := &catalog.Replica{ID: "y", Service: "app", Slots: 6, Zone: "b"}
	picker, list := Picker{Loads: loads, Zone: "a"}, catalog.NewReplicaList(first, second)
	must.Eq(t, first, picker.Pick(list, nil, now))
	service := balancer.service("app")
	service.state(first, "a", now).hold = &hold{reason: holdFull, until: now.Add(time.Second)}
	must.Eq(t, second, picker.Pick(list, nil, now), must.Sprint("the other zone has room"))
	service.state(second, "a", now).hold = &hold{reason: holdFull, until: now.Add(500 * time.Millisecond)}
	must.Eq(t, second, picker.Pick(list, nil, now), must.Sprint("free first"))
	must.Eq(t, first, picker.Pick(list, []string{"y"}, now))
	must.Nil(t, picker.Pick(list, []string{"x", "y"}, now))
	must.Nil(t, picker.Pick(catalog.ReplicaList{}, nil, now))
}

// A held replica gets one probe at a time, also when several requests are placed before the first of them has begun.
func TestOneProbeAtATime(t *testing.T) {
	balancer, loads, now := NewBalancer("a", log.New(io.Discard), nil), NewLoads(), time.Unix(1000, 0)
	loads.Balance(balancer)
	probed := &catalog.Replica{ID: "x", Service: "app", Slots: 6, Zone: "a"}
	other := &catalog.Replica{ID: "y", Service: "app", Slots: 6, Zone: "a"}
	for range 5 {
		loads.Begin(other.ID, now)
	}
	balancer.service("app").state(probed, "a", now).hold = &hold{reason: holdFailing, until: now}
	picker, list := Picker{Loads: loads, Zone: "a"}, catalog.NewReplicaList(probed, other)
	must.Eq(t, probed, picker.Pick(list, nil, now))
	must.Eq(t, other, picker.Pick(list, nil, now))
	loads.Begin(probed.ID, now)
	must.Eq(t, other, picker.Pick(list, nil, now.Add(time.Second)))
	loads.End(probed.ID, Unknown, now.Add(time.Second))
	must.Eq(t, probed, picker.Pick(list, nil, now.Add(time.Second)), must.Sprint("a probe that ended without an answer leaves room for the next"))
}

// A replica that has not answered for long counts as slow before its requests have run into their time limit.
func TestSilenceCountsAsSlow(t *testing.T) {
	bench, loads := newBench(), NewLoads()
	loads.Balance(bench.balancer)
	picker, list := Picker{Loads: loads, Zone: "a"}, catalog.NewReplicaList(bench.replica, bench.peers[0])
	begin := func(replica *catalog.Replica) *measurement {
		loads.Begin(replica.ID, bench.now)
		return bench.balancer.begin(replica, &Request{}, bench.now)
	}
	begin(bench.replica)
	for range 3 {
		begin(bench.peers[0])
	}
	must.Eq(t, bench.replica, picker.Pick(list, nil, bench.now.Add(200*time.Millisecond)))
	bench.now = bench.now.Add(400 * time.Millisecond)
	begin(bench.peers[0]).end(endServed, 0, bench.now)
	must.Eq(t, bench.peers[0], picker.Pick(list, nil, bench.now))
}

// If most replicas are held for failures, it is not the replicas: holds for failures then keep no request away, those of full replicas do.
func TestMostReplicasHeld(t *testing.T) {
	balancer, loads, now := NewBalancer("a", log.New(io.Discard), nil), NewLoads(), time.Unix(1000, 0)
	loads.Balance(balancer)
	var list []*catalog.Replica
	for index := range 5 {
		list = append(list, &catalog.Replica{ID: id(index), Service: "app", Slots: 6, Zone: "a"})
	}
	picker, service := Picker{Loads: loads, Zone: "a"}, balancer.service("app")
	chosen := func() int {
		now = now.Add(typicalTTL)
		different := make(map[string]bool)
		for range 200 {
			different[picker.Pick(catalog.NewReplicaList(list...), nil, now).ID] = true
		}
		return len(different)
	}
	for index := range 2 {
		service.state(list[index], "a", now).hold = &hold{reason: holdFailing, until: now.Add(time.Hour)}
	}
	must.Eq(t, 3, chosen())
	service.state(list[2], "a", now).hold = &hold{reason: holdMute, until: now.Add(time.Hour)}
	must.Eq(t, 5, chosen())
	service.state(list[3], "a", now).hold = &hold{reason: holdFull, until: now.Add(time.Hour)}
	must.Eq(t, 4, chosen())
}

// BenchmarkPickBalanced measures the time to place one request with a balancer and without, after each replica has answered some.
func BenchmarkPickBalanced(b *testing.B) {
	for _, count := range []int{39, 1000, 10_000} {
		for _, balanced := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/balanced=%v", count, balanced), func(b *testing.B) {
				world := newWorld(1, count, balanced, "a", "b", "c")
				node := world.nodes[0]
				for replica := range world.list.Each() {
					if balanced {
						measured := node.loads.balancer.begin(replica, &Request{}, world.now)
						measured.report(ReportedLoad{Known: true, Running: 2, Slots: 6, Pace: 1}, world.now.Add(time.Millisecond))
						measured.end(endServed, 0, world.now.Add(time.Millisecond))
					}
				}
				b.ReportAllocs()
				for b.Loop() {
					node.picker.Pick(world.list, nil, world.now)
					world.now = world.now.Add(time.Millisecond)
				}
			})
		}
	}
}
