package site

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Replica is one replica of a service, with an engine if it has a model.
type Replica struct {
	ID string
	// Born is when the process started, in Unix milliseconds; zero for one that does not say so.
	Born    int64
	Service string
	Zone    string
	Slots   int
	// Model is empty for an application.
	Model string
	// EventTime is the time between two events of a stream, LoadTime that of a change of version, WorkTime what a request
	// takes before its answer begins.
	EventTime, LoadTime, WorkTime time.Duration

	mu      sync.Mutex
	version int64
	orders  int64
	loading bool
	faults  ReplicaFaults
	ran     map[string]int
	bodies  map[string]string
	callers map[string]Caller
	refused int
	holders []string
	// OnChange is called after the replica's registered state changed.
	OnChange func()
	// EndsUnder is what the body of a request contains under which the replica ends, EndTime after it began to run it; empty for none.
	EndsUnder string
	EndTime   time.Duration
	// OnEnd is called when the replica ends so; it has to break all of its connections off.
	OnEnd func(request string)
	// Log takes what the replica does; nil for none.
	Log      *Executions
	draining bool
}

// ReplicaFaults are the faults in force. The zero value is none.
type ReplicaFaults struct {
	// CutAfter breaks a stream off inside the event after so many; zero never.
	CutAfter int64
	// OtherAnswer has answers carry another request's identifier.
	OtherAnswer bool
	// CloseSilently closes connections without an answer after the request has run.
	CloseSilently bool
	// Full has requests refused.
	Full bool
}

// NewReplica returns a replica at version 1.
func NewReplica(id, service, model string) *Replica {
	return &Replica{
		ID: id, Service: service, Model: model, Slots: 8, EventTime: 5 * time.Millisecond, LoadTime: 50 * time.Millisecond,
		version: 1, ran: make(map[string]int), bodies: make(map[string]string), callers: make(map[string]Caller), OnChange: func() {}, OnEnd: func(string) {},
	}
}

// Restart returns a new incarnation of the replica, with the version that it had.
func (replica *Replica) Restart(id string) *Replica {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	next := NewReplica(id, replica.Service, replica.Model)
	next.Zone, next.Slots = replica.Zone, replica.Slots
	next.EventTime, next.LoadTime, next.WorkTime = replica.EventTime, replica.LoadTime, replica.WorkTime
	next.version, next.Log = replica.version, replica.Log
	next.EndsUnder, next.EndTime = replica.EndsUnder, replica.EndTime
	return next
}

// StartAgain returns a new life of the replica under the identifier that it has: it holds and knows nothing of the one before, and its orders are
// counted anew.
func (replica *Replica) StartAgain(born int64) *Replica {
	next := replica.Restart(replica.ID)
	next.Born, next.version = born, 1
	return next
}

// Drain has the replica say that it is leaving.
func (replica *Replica) Drain() {
	replica.mu.Lock()
	replica.draining = true
	replica.mu.Unlock()
	replica.OnChange()
}

// SetFaults replaces the faults.
func (replica *Replica) SetFaults(faults ReplicaFaults) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	replica.faults = faults
}

// Ran returns how often a request ran here.
func (replica *Replica) Ran(id string) int {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.ran[id]
}

// Version returns the version of the weights.
func (replica *Replica) Version() int64 {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.version
}

// Holders returns the holder of each order that was taken, with its fence.
func (replica *Replica) Holders() []string {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return append([]string(nil), replica.holders...)
}

// Entry returns what the replica registers of itself.
func (replica *Replica) Entry(address string) []byte {
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
	if replica.Born > 0 {
		entry["born"] = replica.Born
	}
	if replica.Model != "" {
		entry["models"] = []map[string]any{{"name": replica.Model, "version": replica.version, "adapters": []string{}}}
	}
	encoded, _ := json.Marshal(entry)
	return encoded
}

// EventsOf returns how many events the stream of an item has, and EventData what one carries.
func EventsOf(id string) int64 { return int64(len(id))%4 + 3 }

// EventData returns the data of an event of an item.
func EventData(id string, event int64) string { return fmt.Sprintf("%s/%d", id, event) }

// ServeHTTP implements http.Handler.
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
	refuse := faults.Full || (loading && replica.Model != "")
	if refuse {
		replica.refused++
	} else {
		replica.ran[id]++
		replica.bodies[id] = request.Method + " " + request.RequestURI + " " + string(body)
		replica.callers[id] = caller
	}
	replica.mu.Unlock()
	if refuse {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	after, _ := strconv.ParseInt(request.Header.Get("Last-Event-Id"), 10, 64)
	execution := replica.Log.begin(id, replica.ID, caller, after)
	if replica.EndsUnder != "" && strings.Contains(string(body), replica.EndsUnder) {
		time.Sleep(replica.EndTime)
		replica.OnEnd(id)
		panic(http.ErrAbortHandler)
	}
	time.Sleep(replica.workTime(request))
	if faults.CloseSilently {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Request-Id", id)
	if faults.OtherAnswer {
		writer.Header().Set("Request-Id", "another")
	}
	writer.Header().Set("Server-Stamp", "stamp."+replica.ID+"."+id)
	if replica.Model == "" {
		_, _ = io.WriteString(writer, "answer to "+id)
		return
	}
	replica.stream(writer, request, execution, id, faults)
}

// workTime is what a request takes: as long as its query asks for, or the replica's usual time.
func (replica *Replica) workTime(request *http.Request) time.Duration {
	if asked, err := strconv.Atoi(request.URL.Query().Get("work-ms")); err == nil {
		return time.Duration(asked) * time.Millisecond
	}
	return replica.WorkTime
}

// Received returns method, target and body of a request that ran here.
func (replica *Replica) Received(id string) string {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.bodies[id]
}

// Caller is what a replica was told of who makes a request.
type Caller struct{ Tenant, Authorization string }

// CallerOf returns what this replica was told of the caller of a request that ran here.
func (replica *Replica) CallerOf(id string) Caller {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	return replica.callers[id]
}

// stream writes the events of an item from where the caller asks.
func (replica *Replica) stream(writer http.ResponseWriter, request *http.Request, execution *Execution, id string, faults ReplicaFaults) {
	after, _ := strconv.ParseInt(request.Header.Get("Last-Event-Id"), 10, 64)
	version := replica.Version()
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	flusher, _ := writer.(http.Flusher)
	for event := after + 1; event <= EventsOf(id); event++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(replica.EventTime):
		}
		if faults.CutAfter > 0 && event > faults.CutAfter {
			_, _ = fmt.Fprintf(writer, "id: %d\nda", event)
			panic(http.ErrAbortHandler)
		}
		if now := replica.Version(); now != version {
			version = now
			_, _ = fmt.Fprintf(writer, "weight-versions: %d\n", version)
		}
		replica.Log.made(execution, event, version)
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, EventData(id, event))
		flusher.Flush()
	}
}

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
	case replica.loading || (order.Expected != nil && *order.Expected != replica.orders):
		writer.WriteHeader(http.StatusConflict)
	default:
		replica.orders++
		replica.loading = true
		replica.holders = append(replica.holders, fmt.Sprint(order.Holder, " ", order.Fence))
		replica.Log.ordered(OrderTaken{Replica: replica.ID, Holder: order.Holder, Fence: order.Fence})
		time.AfterFunc(replica.LoadTime, func() { replica.loaded(order.Version) })
		writer.WriteHeader(http.StatusAccepted)
	}
}

func (replica *Replica) loaded(version int64) {
	replica.mu.Lock()
	replica.version, replica.loading = version, false
	replica.mu.Unlock()
	replica.OnChange()
}

func (replica *Replica) report(writer http.ResponseWriter) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	_ = json.NewEncoder(writer).Encode(map[string]any{ // the caller may have left
		"born": replica.Born, "stage": "both", "busy": replica.loading, "seq-no": replica.orders, "num-waiting": 0, "num-running": 0,
		"models": []map[string]any{{"name": replica.Model, "version": replica.version, "adapters": []string{}}},
	})
}
