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

// record returns executions in which an item and its scorer ran once at replica "r", under version 3.
func record(t *testing.T, item string) *site.Executions {
	t.Helper()
	executions := site.NewExecutions()
	run(t, executions, "r", "model", item)
	run(t, executions, "s", "", scorerOf(item))
	return executions
}

// run has a replica of version 1 run a request.
func run(t *testing.T, executions *site.Executions, replica, model, id string) {
	t.Helper()
	stand := site.NewReplica(replica, "service", model)
	stand.EventTime, stand.Log = time.Millisecond, executions
	member := &Member{replica: stand}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	server := &http.Server{Handler: member}
	go func() { _ = server.Serve(listener) }() // ends with the test
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
	for event := int64(1); event <= site.EventsOf(item); event++ {
		texts = append(texts, site.EventData(item, event))
	}
	return strings.Join(texts, "\n")
}

// Each check of a result finds the fault that it is for.
func TestResultChecksCanFail(t *testing.T) {
	executions := record(t, "item")
	created := &job{id: "job", minimum: 1, items: []string{"item"}, bodies: map[string]string{"item": "b"}}
	right := result{ID: "item", State: stateCompleted, Text: wholeText("item"), Versions: []int64{1}, Score: "stamp.s." + scorerOf("item")}
	must.Nil(t, judgeResult(executions, created, right))
	for name, c := range map[string]struct {
		change  func(entry *result)
		promise Promise
	}{
		"foreign item":       {func(entry *result) { entry.ID = "other" }, PromiseAccepted},
		"text cut":           {func(entry *result) { entry.Text = entry.Text[:3] }, PromiseText},
		"given up":           {func(entry *result) { entry.State = stateTerminated }, PromiseText},
		"version not made":   {func(entry *result) { entry.Versions = []int64{1, 2} }, PromiseText},
		"version not named":  {func(entry *result) { entry.Versions = []int64{2} }, PromiseText},
		"score of nobody":    {func(entry *result) { entry.Score = "stamp.s.other" }, PromiseScore},
		"no version":         {func(entry *result) { entry.Versions = nil }, PromiseText},
		"score missing":      {func(entry *result) { entry.Score = "" }, PromiseScore},
		"score of a replica": {func(entry *result) { entry.Score = "stamp.r.item" }, PromiseScore},
	} {
		entry := right
		c.change(&entry)
		found := judgeResult(executions, created, entry)
		must.NotNil(t, found, must.Sprint(name))
		must.Eq(t, c.promise, found.Promise, must.Sprint(name))
	}
	early := site.NewExecutions()
	run(t, early, "s", "", scorerOf("item"))
	run(t, early, "r", "model", "item")
	must.Eq(t, PromiseScore, judgeResult(early, created, right).Promise)
	created.minimum = 2
	must.Eq(t, PromiseText, judgeResult(executions, created, right).Promise)
}

// Pages are compared with those that were read before.
func TestPageChecksCanFail(t *testing.T) {
	found := &violations{began: time.Now()}
	trainers := &trainers{world: &World{Executions: record(t, "item")}, report: found.add}
	created := &job{id: "job", minimum: 1, items: []string{"item", "more"}, bodies: map[string]string{"item": "b", "more": "b"}}
	node := &Node{Process: &Process{Name: "front"}}
	right := result{ID: "item", State: stateCompleted, Text: wholeText("item"), Versions: []int64{1}, Score: "stamp.s." + scorerOf("item")}
	expect := func(name string, count int, read page) {
		t.Helper()
		before := len(found.all())
		trainers.judge(created, node, 0, read)
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

// Runs of requests are compared with what callers were told.
func TestCallChecksCanFail(t *testing.T) {
	found := &violations{began: time.Now()}
	executions := site.NewExecutions()
	run(t, executions, "a", "", "twice")
	run(t, executions, "b", "", "twice")
	run(t, executions, "a", "", "ran")
	calls := &calls{world: &World{Executions: executions}, report: found.add, once: []string{"twice", "ran"}, refused: []string{"ran", "never"}}
	calls.verify()
	must.Eq(t, 2, len(found.all()), must.Sprint(found.all()))
	must.Eq(t, PromiseOnce, found.all()[0].Promise)
	must.Eq(t, PromiseNotRun, found.all()[1].Promise)
	header := http.Header{"Server-Stamp": {"stamp.a.ran"}}
	calls.judge("ran", answer{status: http.StatusOK, body: "answer to ran", header: header})
	calls.judge("ran", answer{status: http.StatusBadGateway})
	must.Eq(t, 2, len(found.all()))
	calls.judge("ran", answer{status: http.StatusOK, body: "answer to", header: header})
	calls.judge("other", answer{status: http.StatusOK, body: "answer to other", header: header})
	must.Eq(t, 4, len(found.all()))
}

// A caller whose request was passed on and whose connection then ends tells of a front that cut it off.
func TestStopCheckCanFail(t *testing.T) {
	found := &violations{began: time.Now()}
	executions := site.NewExecutions()
	run(t, executions, "a", "", "ran")
	calls := &calls{world: &World{Executions: executions}, report: found.add}
	node := &Node{Process: &Process{Name: "front"}}
	cut := answer{written: true, broken: io.ErrUnexpectedEOF}
	calls.judgeStop("never", node, 0, time.Now(), cut)
	calls.judgeStop("ran", node, 1, time.Now(), cut)
	must.SliceEmpty(t, found.all(), must.Sprint("not passed on, or another life"))
	calls.judgeStop("ran", node, 0, time.Now(), cut)
	node.Fault()
	node.stopping.Store(true)
	calls.judgeStop("ran", node, 0, time.Now().Add(-time.Second), cut)
	must.Eq(t, 2, len(found.all()), must.Sprint(found.all()))
}

// Two nodes that order a replica need growing fences and the time of a lease between them.
func TestOrderChecksCanFail(t *testing.T) {
	now := time.Unix(100, 0)
	order := func(holder string, fence int64, after time.Duration) site.OrderTaken {
		return site.OrderTaken{Replica: "r", Holder: holder, Fence: fence, At: now.Add(after)}
	}
	must.SliceEmpty(t, judgeOrders([]site.OrderTaken{order("a", 1, 0), order("a", 1, time.Second), order("b", 2, time.Second+leaseTime)}))
	must.Len(t, 1, judgeOrders([]site.OrderTaken{order("a", 1, 0), order("b", 2, leaseTime/2)}))
	must.Len(t, 1, judgeOrders([]site.OrderTaken{order("a", 2, 0), order("b", 1, 2*leaseTime)}))
	must.Len(t, 1, judgeOrders([]site.OrderTaken{order("a", 2, 0), order("b", 2, 2*leaseTime)}))
}

// A report has to tell each run of its window, but for those at its edges, which either side may tell.
func TestUsageBounds(t *testing.T) {
	begin := time.Unix(0, 7*int64(usageWindow))
	ran := func(id, tenant string, after time.Duration) site.Execution {
		return site.Execution{Request: id, Caller: site.Caller{Tenant: tenant}, Started: begin.Add(after)}
	}
	truth := usageOf([]site.Execution{
		ran("call-1", "harbour", time.Second), ran("call-2", "harbour", time.Second), ran("call-3", "airport", time.Second),
		ran("call-4", "harbour", edge/2), ran("job-1-item", "depot", time.Second), ran("score", "", time.Second),
	})
	for _, check := range []struct {
		name    string
		counts  map[string]int64
		allowed bool
	}{
		{"with the run at the edge", map[string]int64{"harbour": 3, "airport": 1}, true},
		{"without it", map[string]int64{"harbour": 2, "airport": 1}, true},
		{"one too few", map[string]int64{"harbour": 1, "airport": 1}, false},
		{"one too many", map[string]int64{"harbour": 4, "airport": 1}, false},
		{"a tenant left out", map[string]int64{"harbour": 3}, false},
		{"a tenant too many", map[string]int64{"harbour": 3, "airport": 1, "depot": 1}, false},
	} {
		must.Eq(t, check.allowed, truth[7].allow(check.counts), must.Sprint(check.name))
	}
	must.True(t, truth[6].allow(map[string]int64{"harbour": 1}))
	must.True(t, truth[6].allow(nil))
}

// What arrives while a link is harmed or soon after may have been held up; what arrives later or at another replica may not.
func TestHeldUp(t *testing.T) {
	member, other := &Member{Name: "engine-1"}, &Member{Name: "engine-2"}
	world := &World{Members: []*Member{member, other}}
	heal := member.harmLink()
	time.Sleep(2 * time.Millisecond)
	heal()
	at := func(replica string, moment time.Time) site.Execution {
		return site.Execution{Replica: replica, Started: moment}
	}
	must.True(t, world.heldUp(at("engine-1-0", time.Now())))
	must.True(t, world.heldUp(at("engine-1-3", time.Now().Add(contactTime/2))))
	must.False(t, world.heldUp(at("engine-1-0", time.Now().Add(2*contactTime))))
	must.False(t, world.heldUp(at("engine-1-0", time.Now().Add(-time.Minute))))
	must.False(t, world.heldUp(at("engine-2-0", time.Now())))
}

// The checks of tenants and of usage find the faults that they are for.
func TestTenantChecksCanFail(t *testing.T) {
	executions := site.NewExecutions()
	run(t, executions, "r", "", "call")
	must.SliceEmpty(t, judgeCallers(executions, "call", ""))
	must.Len(t, 1, judgeCallers(executions, "call", "harbour"))

	report := func(holder string, fence, window, count int64, after time.Duration) site.UsageReport {
		return site.UsageReport{Holder: holder, Fence: fence, Window: window, Counts: map[string]int64{"harbour": count}, At: time.Unix(0, 0).Add(after)}
	}
	must.SliceEmpty(t, judgeUsage([]site.UsageReport{report("a", 1, 7, 3, 0), report("a", 1, 7, 3, 1), report("b", 2, 7, 3, 2*leaseTime), report("b", 2, 8, 4, 2*leaseTime)}))
	must.Len(t, 1, judgeUsage([]site.UsageReport{report("a", 1, 7, 3, 0), report("a", 1, 7, 4, 1)}))
	must.Len(t, 1, judgeUsage([]site.UsageReport{report("a", 2, 7, 3, 0), report("b", 1, 8, 4, 2*leaseTime)}))
	must.Len(t, 1, judgeUsage([]site.UsageReport{report("a", 2, 7, 3, 0), report("b", 2, 8, 4, 2*leaseTime)}))
	must.Len(t, 1, judgeUsage([]site.UsageReport{report("a", 1, 7, 3, 0), report("b", 2, 8, 4, leaseTime/2)}))
}

// echo answers each connection with what it reads.
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
				_, _ = io.Copy(conn, conn) // ends with the connection
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

// A link delays, holds and heals, resets and refuses.
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
		must.NoError(t, err, must.Sprint("what was held comes when the link heals"))
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
