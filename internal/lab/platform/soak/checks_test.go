package soak

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
)

// record returns executions in which an item ran once at replica "r" and its scorer once at replica "s", both under version 1.
func record(t *testing.T, item string) *site.Executions {
	t.Helper()
	executions := site.NewExecutions()
	run(t, executions, "r", "model", item)
	run(t, executions, "s", "", scorerOf(item))
	return executions
}

// run sends a request to a new replica, which has version 1.
func run(t *testing.T, executions *site.Executions, replica, model, id string) {
	t.Helper()
	standIn := site.NewReplica(replica, "service", model)
	standIn.EventTime, standIn.Log = time.Millisecond, executions
	member := &Member{replica: standIn}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: member}
	go func() { _ = server.Serve(listener) }() // returns when the test closes the server
	t.Cleanup(func() { _ = server.Close() })
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+listener.Addr().String()+"/x", nil)
	must.NoError(t, err)
	request.Header.Set("Request-Id", id)
	response, err := http.DefaultClient.Do(request)
	must.NoError(t, err)
	_, err = io.ReadAll(response.Body)
	must.NoError(t, err)
	must.NoError(t, response.Body.Close())
}

func wholeText(item string) string {
	var texts []string
	for event := int64(1); event <= site.EventCount(item); event++ {
		texts = append(texts, site.EventData(item, event))
	}
	return strings.Join(texts, "\n")
}

// Guards against result checks that miss a wrong result or attribute it to the wrong promise.
func TestResultChecksCanFail(t *testing.T) {
	executions := record(t, "item")
	job := &trainerJob{id: "job", minVersion: 1, items: []string{"item"}, bodies: map[string]string{"item": "b"}}
	right := result{ID: "item", State: stateCompleted, Text: wholeText("item"), Versions: []int64{1}, Score: "stamp.s." + scorerOf("item")}
	must.Nil(t, checkResult(executions, job, right))
	for name, c := range map[string]struct {
		change  func(entry *result)
		promise Promise
	}{
		"foreign item":          {func(entry *result) { entry.ID = "other" }, PromiseAccepted},
		"text cut":              {func(entry *result) { entry.Text = entry.Text[:3] }, PromiseText},
		"terminated":            {func(entry *result) { entry.State = stateTerminated }, PromiseText},
		"version without event": {func(entry *result) { entry.Versions = []int64{1, 2} }, PromiseText},
		"version not listed":    {func(entry *result) { entry.Versions = []int64{2} }, PromiseText},
		"unknown score":         {func(entry *result) { entry.Score = "stamp.s.other" }, PromiseScore},
		"no version":            {func(entry *result) { entry.Versions = nil }, PromiseText},
		"score missing":         {func(entry *result) { entry.Score = "" }, PromiseScore},
		"score of a replica":    {func(entry *result) { entry.Score = "stamp.r.item" }, PromiseScore},
	} {
		entry := right
		c.change(&entry)
		found := checkResult(executions, job, entry)
		must.NotNil(t, found, must.Sprint(name))
		must.Eq(t, c.promise, found.Promise, must.Sprint(name))
	}
	early := site.NewExecutions()
	run(t, early, "s", "", scorerOf("item"))
	run(t, early, "r", "model", "item")
	must.Eq(t, PromiseScore, checkResult(early, job, right).Promise)
	job.minVersion = 2
	must.Eq(t, PromiseText, checkResult(executions, job, right).Promise)
}

// Guards against page checks that miss a contradiction with an earlier page or within a page.
func TestPageChecksCanFail(t *testing.T) {
	found := &violations{began: time.Now()}
	trainers := &trainers{deployment: &Deployment{Executions: record(t, "item")}, report: found.add}
	job := &trainerJob{id: "job", minVersion: 1, items: []string{"item", "more"}, bodies: map[string]string{"item": "b", "more": "b"}}
	node := &Node{Process: &Process{Name: "front"}}
	right := result{ID: "item", State: stateCompleted, Text: wholeText("item"), Versions: []int64{1}, Score: "stamp.s." + scorerOf("item")}
	expect := func(name string, count int, read page) {
		t.Helper()
		before := len(found.all())
		trainers.check(job, node, 0, read)
		must.Eq(t, before+count, len(found.all()), must.Sprint(name, found.all()))
	}
	expect("first read", 0, page{Total: 2, Next: 1, Results: []result{right}})
	expect("again", 0, page{Total: 2, Next: 1, Results: []result{right}})
	expect("wrong total", 1, page{Total: 3, Next: 1, Results: []result{right}})
	expect("wrong position", 1, page{Total: 2, Next: 2, Results: []result{right}})
	expect("item twice", 1, page{Total: 2, Next: 2, Results: []result{right, right}})
	other := right
	other.Score = "stamp.t." + scorerOf("item")
	expect("another result", 1, page{Total: 2, Next: 1, Results: []result{other}})
}

// Guards against call checks that miss a repeated run, a run of a refused request, or an incomplete or foreign answer.
func TestCallChecksCanFail(t *testing.T) {
	found := &violations{began: time.Now()}
	executions := site.NewExecutions()
	run(t, executions, "a", "", "twice")
	run(t, executions, "b", "", "twice")
	run(t, executions, "a", "", "ran")
	callers := &callers{deployment: &Deployment{Executions: executions}, report: found.add, nonIdempotent: []string{"twice", "ran"}, refused: []string{"ran", "never"}}
	callers.verify()
	must.Eq(t, 2, len(found.all()), must.Sprint(found.all()))
	must.Eq(t, PromiseOnce, found.all()[0].Promise)
	must.Eq(t, PromiseNotRun, found.all()[1].Promise)
	header := http.Header{"Server-Stamp": {"stamp.a.ran"}}
	callers.check("ran", answer{status: http.StatusOK, body: "answer to ran", header: header})
	callers.check("ran", answer{status: http.StatusBadGateway})
	must.Eq(t, 2, len(found.all()))
	callers.check("ran", answer{status: http.StatusOK, body: "answer to", header: header})
	callers.check("other", answer{status: http.StatusOK, body: "answer to other", header: header})
	must.Eq(t, 4, len(found.all()))
}

// Guards against a missed report of a front that cut off a forwarded request, and against reports of requests that were not forwarded.
func TestStopCheckCanFail(t *testing.T) {
	found := &violations{began: time.Now()}
	executions := site.NewExecutions()
	run(t, executions, "a", "", "ran")
	callers := &callers{deployment: &Deployment{Executions: executions}, report: found.add}
	node := &Node{Process: &Process{Name: "front"}}
	cut := answer{written: true, err: io.ErrUnexpectedEOF}
	callers.checkPlannedStop("never", node, 0, time.Now(), cut)
	callers.checkPlannedStop("ran", node, 1, time.Now(), cut)
	must.SliceEmpty(t, found.all(), must.Sprint("not forwarded, or sent to another incarnation"))
	callers.checkPlannedStop("ran", node, 0, time.Now(), cut)
	node.NoteFault()
	node.stopping.Store(true)
	callers.checkPlannedStop("ran", node, 0, time.Now().Add(-time.Second), cut)
	must.Eq(t, 2, len(found.all()), must.Sprint(found.all()))
}

// Guards against missing a second node that sends orders to a replica without a higher fence or within the lease of the first.
func TestOrderChecksCanFail(t *testing.T) {
	now := time.Unix(100, 0)
	order := func(holder string, fence int64, after time.Duration) site.ReceivedOrder {
		return site.ReceivedOrder{Replica: "r", Holder: holder, Fence: fence, At: now.Add(after)}
	}
	must.SliceEmpty(t, checkOrders([]site.ReceivedOrder{order("a", 1, 0), order("a", 1, time.Second), order("b", 2, time.Second+leaseDuration)}))
	must.Len(t, 1, checkOrders([]site.ReceivedOrder{order("a", 1, 0), order("b", 2, leaseDuration/2)}))
	must.Len(t, 1, checkOrders([]site.ReceivedOrder{order("a", 2, 0), order("b", 1, 2*leaseDuration)}))
	must.Len(t, 1, checkOrders([]site.ReceivedOrder{order("a", 2, 0), order("b", 2, 2*leaseDuration)}))
}

// Guards against accepting a usage report with a wrong count, and against rejecting one for a run that its front may have counted in the window before.
func TestUsageBounds(t *testing.T) {
	const window, millisecond = 7, time.Millisecond
	begin := time.Unix(0, window*int64(usageWindow))
	var executions []site.Execution
	sentAt := make(map[string]time.Time)
	run := func(id, tenant string, sent, started time.Duration) {
		executions = append(executions, site.Execution{Request: id, Caller: site.Caller{Tenant: tenant}, Started: begin.Add(started)})
		sentAt[id] = begin.Add(sent)
	}
	run("call-1", "harbour", time.Second, time.Second+millisecond)
	run("call-2", "harbour", millisecond/2, millisecond) // sent in the same window, however soon after its begin it starts
	run("call-3", "airport", time.Second, time.Second+millisecond)
	run("call-4", "harbour", -2*millisecond, 50*millisecond)
	run("call-5", "harbour", -3*millisecond, -millisecond/2) // started in the window before, however soon before its end
	run("job-1-item", "depot", time.Second, time.Second)
	run("score", "", time.Second, time.Second)
	matched := func(sentAt map[string]time.Time, reports ...site.UsageReport) int {
		compared, exact := matchUsage(runsByWindow(executions, sentAt), reports)
		must.Eq(t, len(reports), compared)
		return exact
	}
	before := func(counts map[string]int64) site.UsageReport {
		return site.UsageReport{Window: window - 1, Counts: counts}
	}
	report := func(counts map[string]int64) site.UsageReport {
		return site.UsageReport{Window: window, Counts: counts}
	}
	for _, check := range []struct {
		name    string
		counts  map[string]int64
		allowed bool
	}{
		{"with the run sent in the window before", map[string]int64{"harbour": 3, "airport": 1}, true},
		{"without it", map[string]int64{"harbour": 2, "airport": 1}, true},
		{"one too few", map[string]int64{"harbour": 1, "airport": 1}, false},
		{"one too many", map[string]int64{"harbour": 4, "airport": 1}, false},
		{"a tenant left out", map[string]int64{"harbour": 3}, false},
		{"a tenant too many", map[string]int64{"harbour": 3, "airport": 1, "depot": 1}, false},
	} {
		must.Eq(t, check.allowed, matched(sentAt, report(check.counts)) == 1, must.Sprint(check.name))
	}
	for _, check := range []struct {
		name            string
		before, counted int64 // of harbour
		exact           int
	}{
		{"the run is counted before", 2, 2, 2},
		{"the run is counted after", 1, 3, 2},
		{"the run is counted twice", 2, 3, 1},
		{"the run is counted nowhere", 1, 2, 1},
		{"the run of the window before is lost", 0, 3, 1},
		{"a run too many before", 3, 3, 1},
	} {
		got := matched(sentAt, before(map[string]int64{"harbour": check.before}), report(map[string]int64{"harbour": check.counted, "airport": 1}))
		must.Eq(t, check.exact, got, must.Sprint(check.name))
	}
	must.Eq(t, 0, matched(nil, report(map[string]int64{"harbour": 2, "airport": 1})), must.Sprint("without the time of sending only the start counts"))
	must.Eq(t, 1, matched(nil, report(map[string]int64{"harbour": 3, "airport": 1})))
}

// Guards against exempting runs as delayed that arrived before or long after a link fault, or at another replica.
func TestHeldUp(t *testing.T) {
	member, other := &Member{Name: "engine-1"}, &Member{Name: "engine-2"}
	deployment := &Deployment{Members: []*Member{member, other}}
	heal := member.noteLinkFault()
	time.Sleep(2 * time.Millisecond)
	heal()
	at := func(replica string, moment time.Time) site.Execution {
		return site.Execution{Replica: replica, Started: moment}
	}
	must.True(t, deployment.mayBeDelayed(at("engine-1-0", time.Now())))
	must.True(t, deployment.mayBeDelayed(at("engine-1-3", time.Now().Add(recoveryTime/2))))
	must.False(t, deployment.mayBeDelayed(at("engine-1-0", time.Now().Add(2*recoveryTime))))
	must.False(t, deployment.mayBeDelayed(at("engine-1-0", time.Now().Add(-time.Minute))))
	must.False(t, deployment.mayBeDelayed(at("engine-2-0", time.Now())))
}

// Guards against checks that miss a wrong tenant, conflicting usage reports or two concurrent reporters.
func TestTenantChecksCanFail(t *testing.T) {
	executions := site.NewExecutions()
	run(t, executions, "r", "", "call")
	must.SliceEmpty(t, checkCallers(executions, "call", ""))
	must.Len(t, 1, checkCallers(executions, "call", "harbour"))

	report := func(holder string, fence, window, count int64, after time.Duration) site.UsageReport {
		return site.UsageReport{CloudCall: cloudCall(holder, fence, after), Window: window, Counts: map[string]int64{"harbour": count}}
	}
	must.SliceEmpty(t, checkUsage([]site.UsageReport{report("a", 1, 7, 3, 0), report("a", 1, 7, 3, 1), report("b", 2, 7, 3, 2*leaseDuration), report("b", 2, 8, 4, 2*leaseDuration)}))
	must.Len(t, 1, checkUsage([]site.UsageReport{report("a", 1, 7, 3, 0), report("a", 1, 7, 4, 1)}))
	must.Len(t, 1, checkUsage([]site.UsageReport{report("a", 2, 7, 3, 0), report("b", 1, 8, 4, 2*leaseDuration)}))
	must.Len(t, 1, checkUsage([]site.UsageReport{report("a", 2, 7, 3, 0), report("b", 2, 8, 4, 2*leaseDuration)}))
	must.Len(t, 1, checkUsage([]site.UsageReport{report("a", 1, 7, 3, 0), report("b", 2, 8, 4, leaseDuration/2)}))
}

func cloudCall(holder string, fence int64, after time.Duration) site.CloudCall {
	return site.CloudCall{Holder: holder, Fence: fence, At: time.Unix(0, 0).Add(after)}
}

// Guards against a check that overlooks orders for replicas by two holders at a time, and orders out of bounds.
func TestReplicaOrdersAreChecked(t *testing.T) {
	order := func(holder string, fence int64, count int, after time.Duration) site.ScaleOrder {
		return site.ScaleOrder{CloudCall: cloudCall(holder, fence, after), Service: applicationName, Zone: zoneName, Count: count}
	}
	other, spot := order("a", 1, minReplicas, 0), order("a", 1, minReplicas, 0)
	other.Service, spot.Spot = engineName, true
	must.SliceEmpty(t, checkReplicaOrders([]site.ScaleOrder{order("a", 1, minReplicas, 0), order("a", 1, minReplicas, 1), order("b", 2, maxReplicas, 2*leaseDuration)}))
	must.Len(t, 1, checkReplicaOrders([]site.ScaleOrder{order("a", 1, minReplicas-1, 0)}))
	must.Len(t, 1, checkReplicaOrders([]site.ScaleOrder{order("a", 1, maxReplicas+1, 0)}))
	must.Len(t, 2, checkReplicaOrders([]site.ScaleOrder{other, spot}))
	must.Len(t, 1, checkReplicaOrders([]site.ScaleOrder{order("a", 2, minReplicas, 0), order("b", 1, minReplicas, 2*leaseDuration)}))
	must.Len(t, 1, checkReplicaOrders([]site.ScaleOrder{order("a", 2, minReplicas, 0), order("b", 2, minReplicas, 2*leaseDuration)}))
	must.Len(t, 1, checkReplicaOrders([]site.ScaleOrder{order("a", 1, minReplicas, 0), order("b", 2, minReplicas, leaseDuration/2)}))
}

// echo starts a server that echoes each connection, and returns its address.
func echo(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn) // returns when the connection closes
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// Guards against link faults that have no effect, and against held data that is lost when the link heals.
func TestProxy(t *testing.T) {
	proxy, err := NewProxy(echo(t))
	must.NoError(t, err)
	t.Cleanup(proxy.Close)
	conn, err := net.Dial("tcp", proxy.Address())
	must.NoError(t, err)
	buffer := make([]byte, 4)
	exchange := func(limit time.Duration) error {
		must.NoError(t, conn.SetDeadline(time.Now().Add(limit)))
		if _, err := conn.Write([]byte("ping")); err != nil {
			return err
		}
		_, err := io.ReadFull(conn, buffer)
		return err
	}
	must.NoError(t, exchange(time.Second))
	proxy.Set(LinkState{Delay: 60 * time.Millisecond})
	started := time.Now()
	must.NoError(t, exchange(time.Second))
	must.GreaterEq(t, 120*time.Millisecond, time.Since(started))
	for _, state := range []LinkState{{HoldRequests: true}, {HoldAnswers: true}} {
		proxy.Set(state)
		must.Error(t, exchange(100*time.Millisecond))
		proxy.Set(LinkState{})
		must.NoError(t, conn.SetDeadline(time.Now().Add(time.Second)))
		_, err = io.ReadFull(conn, buffer)
		must.NoError(t, err, must.Sprint("held data is delivered when the link heals"))
	}
	proxy.Reset()
	must.Error(t, exchange(time.Second))
	proxy.Set(LinkState{Refuse: true})
	refused, err := net.Dial("tcp", proxy.Address())
	if err == nil {
		_, err = refused.Read(buffer)
	}
	must.Error(t, err)
}
