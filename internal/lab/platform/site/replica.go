package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Replica is one replica of a service: a model engine if Model is set, otherwise an application.
type Replica struct {
	ID string
	// StartedAt is the start time of the process in Unix milliseconds; zero leaves it out of the replica's entry.
	StartedAt int64
	Service   string
	Zone      string
	Slots     int
	Model     string
	// EventTime is the interval between two events of a stream. LoadTime is the duration of a version change. WorkTime is the
	// time from the request to the start of the response.
	EventTime, LoadTime, WorkTime time.Duration
	// Queues makes requests for a model wait until one of the Slots is free.
	Queues bool

	busySlots  chan struct{}
	mu         sync.Mutex
	version    int64
	orderCount int64
	loading    bool
	faults     ReplicaFaults
	runCounts  map[string]int
	requests   map[string]string
	callers    map[string]Caller
	refused    int
	holders    []string
	// OnChange is called after a change of the state that RegistryEntry returns.
	OnChange func()
	// CrashBody marks the requests that crash the replica: it crashes CrashDelay after it starts a request whose body contains
	// this text. The empty string disables crashes.
	CrashBody  string
	CrashDelay time.Duration
	// CrashLimit is the number of replicas that such requests still crash, shared by several replicas; nil sets no limit.
	CrashLimit *atomic.Int64
	// OnCrash is called when the replica crashes. It must close all connections of the replica.
	OnCrash func(request string)
	// Log records executions and orders; nil disables it.
	Log      *Executions
	draining bool
}

// ReplicaFaults are the injected faults. The zero value injects none.
type ReplicaFaults struct {
	// BreakAfterEvent is the ID of the last event that a stream sends whole; the stream breaks inside the next one. Zero disables it.
	BreakAfterEvent int64
	// WrongRequestID makes responses carry the ID of another request.
	WrongRequestID bool
	// CloseSilently closes the connection without a response after the request has been executed.
	CloseSilently bool
	// RejectRequests makes the replica reject requests.
	RejectRequests bool
}

// NewReplica returns a replica that serves version 1 of its weights.
func NewReplica(id, service, model string) *Replica {
	return &Replica{
		ID: id, Service: service, Model: model, Slots: 8, EventTime: 5 * time.Millisecond, LoadTime: 50 * time.Millisecond,
		version: 1, runCounts: make(map[string]int), requests: make(map[string]string), callers: make(map[string]Caller), OnChange: func() {}, OnCrash: func(string) {},
	}
}

// Restart returns a new incarnation of the replica under the given ID. It keeps the version of the weights.
func (replica *Replica) Restart(id string) *Replica {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	next := NewReplica(id, replica.Service, replica.Model)
	next.Zone, next.Slots = replica.Zone, replica.Slots
	if replica.Queues {
		next.SetSlots(replica.Slots)
	}
	next.EventTime, next.LoadTime, next.WorkTime = replica.EventTime, replica.LoadTime, replica.WorkTime
	next.version, next.Log = replica.version, replica.Log
	next.CrashBody, next.CrashDelay, next.CrashLimit = replica.CrashBody, replica.CrashDelay, replica.CrashLimit
	return next
}

// RestartInPlace returns a new incarnation of the replica under the same ID. It serves version 1 and counts orders from zero.
func (replica *Replica) RestartInPlace(startedAt int64) *Replica {
	next := replica.Restart(replica.ID)
	next.StartedAt, next.version = startedAt, 1
	return next
}

// Drain changes the replica's registered state to draining.
func (replica *Replica) Drain() {
	replica.mu.Lock()
	replica.draining = true
	replica.mu.Unlock()
	replica.OnChange()
}

// SetFaults replaces the injected faults.
func (replica *Replica) SetFaults(faults ReplicaFaults) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	replica.faults = faults
}

// RunCount returns how often this replica has started to execute a request.
func (replica *Replica) RunCount(id string) int {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.runCounts[id]
}

// Version returns the version of the weights.
func (replica *Replica) Version() int64 {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.version
}

// OrderHolders returns the holder and the fence of each accepted order, as "holder fence".
func (replica *Replica) OrderHolders() []string {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return append([]string(nil), replica.holders...)
}

// RegistryEntry returns the JSON document with which the replica registers itself.
func (replica *Replica) RegistryEntry(address string) []byte {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	state := "ready"
	if replica.draining {
		state = "draining"
	}
	entry := map[string]any{
		"service": replica.Service, "address": address, "zone": replica.Zone, "slots": replica.Slots, "state": state, "version": "v1",
		"seq-no": 17, "cold-left-ms": 0,
	}
	if replica.StartedAt > 0 {
		entry["born"] = replica.StartedAt
	}
	if replica.Model != "" {
		entry["models"] = []map[string]any{{"name": replica.Model, "version": replica.version, "adapters": []string{}}}
	}
	encoded, _ := json.Marshal(entry)
	return encoded
}

// EventCount returns the number of events in the stream of an item.
func EventCount(id string) int64 { return int64(len(id))%4 + 3 }

// EventData returns the data of an event of an item.
func EventData(id string, event int64) string { return fmt.Sprintf("%s/%d", id, event) }

// ServeHTTP serves orders, reports and the requests of callers. It rejects a call that expects another instance.
func (replica *Replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != replica.ID {
		writer.Header().Set("Instance-Id", replica.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/thistlewalk/order":
		replica.order(writer, request)
	case "/thistlewalk/report":
		replica.report(writer)
	default:
		replica.run(writer, request)
	}
}

// crashes reports whether a request crashes the replica.
func (replica *Replica) crashes(body string) bool {
	if replica.CrashBody == "" || !strings.Contains(body, replica.CrashBody) {
		return false
	}
	return replica.CrashLimit == nil || replica.CrashLimit.Add(-1) >= 0
}

func (replica *Replica) run(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	body, err := io.ReadAll(request.Body)
	if err != nil || id == "" {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	caller := Caller{Tenant: request.Header.Get("Tenant"), Authorization: request.Header.Get("Authorization")}
	replica.mu.Lock()
	faults, loading := replica.faults, replica.loading
	refuse := faults.RejectRequests || (loading && replica.Model != "")
	if refuse {
		replica.refused++
	} else {
		replica.runCounts[id]++
		replica.requests[id] = request.Method + " " + request.RequestURI + " " + string(body)
		replica.callers[id] = caller
	}
	replica.mu.Unlock()
	if refuse {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !replica.acquireSlot(request) {
		return
	}
	defer replica.releaseSlot()
	after, _ := strconv.ParseInt(request.Header.Get("Last-Event-Id"), 10, 64)
	execution := replica.Log.recordStart(id, replica.ID, caller, after)
	defer replica.Log.recordEnd(execution)
	if replica.crashes(string(body)) {
		time.Sleep(replica.CrashDelay)
		replica.OnCrash(id)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(replica.workTime(request))
	if faults.CloseSilently {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Request-Id", id)
	if faults.WrongRequestID {
		writer.Header().Set("Request-Id", "another")
	}
	writer.Header().Set("Server-Stamp", "stamp."+replica.ID+"."+id)
	if replica.Model == "" {
		_, _ = io.WriteString(writer, "answer to "+id)
		return
	}
	replica.stream(writer, request, execution, id, faults)
}

// acquireSlot waits for a free slot if the replica queues requests. It returns false if the caller leaves before.
func (replica *Replica) acquireSlot(request *http.Request) bool {
	if !replica.queues() {
		return true
	}
	select {
	case replica.busySlots <- struct{}{}:
		return true
	case <-request.Context().Done():
		return false
	}
}

func (replica *Replica) releaseSlot() {
	if replica.queues() {
		<-replica.busySlots
	}
}

func (replica *Replica) queues() bool { return replica.Queues && replica.Model != "" }

// SetSlots sets the number of slots and makes requests wait for one. It must be called before the replica gets requests.
func (replica *Replica) SetSlots(slots int) {
	replica.Slots, replica.Queues, replica.busySlots = slots, true, make(chan struct{}, slots)
}

// workTime returns the duration in the request's work-ms parameter, or WorkTime if there is none.
func (replica *Replica) workTime(request *http.Request) time.Duration {
	if milliseconds, err := strconv.Atoi(request.URL.Query().Get("work-ms")); err == nil {
		return time.Duration(milliseconds) * time.Millisecond
	}
	return replica.WorkTime
}

// Received returns the method, target and body of a request that this replica has executed.
func (replica *Replica) Received(id string) string {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.requests[id]
}

// Caller identifies the caller of a request by the headers that the replica received.
type Caller struct{ Tenant, Authorization string }

// CallerOf returns the caller of a request that this replica has executed.
func (replica *Replica) CallerOf(id string) Caller {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.callers[id]
}

// stream writes the events of an item that follow the request's Last-Event-Id.
func (replica *Replica) stream(writer http.ResponseWriter, request *http.Request, execution *Execution, id string, faults ReplicaFaults) {
	after, _ := strconv.ParseInt(request.Header.Get("Last-Event-Id"), 10, 64)
	version := replica.Version()
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	flusher, _ := writer.(http.Flusher)
	for event := after + 1; event <= EventCount(id); event++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(replica.EventTime):
		}
		if faults.BreakAfterEvent > 0 && event > faults.BreakAfterEvent {
			_, _ = fmt.Fprintf(writer, "id: %d\nda", event)
			panic(http.ErrAbortHandler)
		}
		if now := replica.Version(); now != version {
			version = now
			_, _ = fmt.Fprintf(writer, "weight-versions: %d\n", version)
		}
		replica.Log.recordEvent(execution, event, version)
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, EventData(id, event))
		flusher.Flush()
	}
}

// order serves version changes. It responds with 409 while another version is loading and if expected-rev differs from the
// number of accepted orders.
func (replica *Replica) order(writer http.ResponseWriter, request *http.Request) {
	order := struct {
		Op       string `json:"op"`
		Model    string `json:"model"`
		Version  int64  `json:"version"`
		Strategy string `json:"strategy"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fence"`
		Expected *int64 `json:"expected-rev"`
	}{}
	if json.NewDecoder(request.Body).Decode(&order) != nil || order.Op != "version" || order.Holder == "" || order.Fence == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	replica.mu.Lock()
	defer replica.mu.Unlock()
	switch {
	case replica.version == order.Version:
		writer.WriteHeader(http.StatusOK)
	case replica.loading || (order.Expected != nil && *order.Expected != replica.orderCount):
		writer.WriteHeader(http.StatusConflict)
	default:
		replica.orderCount++
		replica.loading = true
		replica.holders = append(replica.holders, fmt.Sprint(order.Holder, " ", order.Fence))
		replica.Log.recordOrder(ReceivedOrder{Replica: replica.ID, Holder: order.Holder, Fence: order.Fence})
		time.AfterFunc(replica.LoadTime, func() { replica.finishLoad(order.Version) })
		writer.WriteHeader(http.StatusAccepted)
	}
}

func (replica *Replica) finishLoad(version int64) {
	replica.mu.Lock()
	replica.version, replica.loading = version, false
	replica.mu.Unlock()
	replica.OnChange()
}

func (replica *Replica) report(writer http.ResponseWriter) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	_ = json.NewEncoder(writer).Encode(map[string]any{ // fails if the caller has disconnected
		"born": replica.StartedAt, "stage": "both", "busy": replica.loading, "seq-no": replica.orderCount, "num-waiting": 0, "num-running": 0,
		"models": []map[string]any{{"name": replica.Model, "version": replica.version, "adapters": []string{}}},
	})
}
