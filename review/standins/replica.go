package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is how often a replica writes its entry.
const heartbeatInterval = 1200 * time.Millisecond

// replica is a stand-in for a model replica (model set) or a replica of an application.
type replica struct {
	id, service, zone, model string
	slots                    int
	// eventTime is the time between two events of a stream, workTime the time of an application's answer.
	eventTime, workTime time.Duration
	// eventsOf returns the number of events of an item.
	eventsOf func(id string) int64
	store    *platformStore
	records  *record
	address  string
	server   *http.Server
	// registered is the address under which the replica registers; empty for its own.
	registered string
	// onStart is called once the replica listens and before it registers; nil for none.
	onStart func() error

	mu      sync.Mutex
	running int
	beats   int64
	runs    map[string][]time.Time // when a run of a request began
	busy    map[string]int         // runs in progress, by request
	ended   map[string]time.Time   // when a run of a request last ended
	// finished holds the requests that ran to their end.
	finished map[string]bool
	// version is that of the weights, orderCount the number of orders taken, loading true while an order is carried out.
	version, orderCount int64
	loading             bool
	orders              []receivedOrder
}

// receivedOrder is an order that arrived, whether or not it was taken.
type receivedOrder struct {
	holder string
	fence  int64
	at     time.Time
}

// loadTime is how long a change of the version takes.
const loadTime = 900 * time.Millisecond

func (member *replica) start() error {
	member.runs, member.busy = make(map[string][]time.Time), make(map[string]int)
	member.ended, member.finished, member.version = make(map[string]time.Time), make(map[string]bool), 1
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	member.address = listener.Addr().String()
	member.server = &http.Server{Handler: member}
	go func() { _ = member.server.Serve(listener) }()
	if member.onStart != nil {
		if err := member.onStart(); err != nil {
			return err
		}
	}
	go func() {
		for {
			member.beat()
			time.Sleep(heartbeatInterval)
		}
	}()
	return nil
}

// beat writes the replica's entry.
func (member *replica) beat() {
	member.mu.Lock()
	member.beats++
	address := member.address
	if member.registered != "" {
		address = member.registered
	}
	entry := map[string]any{
		"service": member.service, "address": address, "zone": member.zone, "version": "v1", "slots": member.slots,
		"state": "ready", "cold-left-ms": 0, "seq-no": member.beats,
	}
	if member.model != "" {
		entry["stage"], entry["models"] = "both", member.models()
	}
	member.mu.Unlock()
	member.store.write("servers/"+member.id, entry)
}

// ServeHTTP implements http.Handler.
func (member *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != member.id {
		writer.Header().Set("Instance-Id", member.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/thistlewalk/report":
		member.report(writer)
	case "/thistlewalk/order":
		member.order(writer, request)
	case "/health":
		writer.Header().Set("Instance-Id", member.id)
	default:
		member.run(writer, request)
	}
}

// models must be called with mu held.
func (member *replica) models() []map[string]any {
	return []map[string]any{{"name": member.model, "version": member.version, "adapters": []string{}}}
}

func (member *replica) report(writer http.ResponseWriter) {
	member.mu.Lock()
	content := map[string]any{
		"stage": "both", "busy": member.loading, "seq-no": member.orderCount, "num-waiting": 0, "num-running": member.running, "kv-used": 0,
		"kv-total": 103490, "handles": 0, "models": member.models(),
	}
	member.mu.Unlock()
	writeJSON(writer, content)
}

// order takes an order for a version of the weights.
func (member *replica) order(writer http.ResponseWriter, request *http.Request) {
	order := struct {
		Op       string `json:"op"`
		Version  int64  `json:"version"`
		Holder   string `json:"holder"`
		Fence    int64  `json:"fence"`
		Expected *int64 `json:"expected-rev"`
	}{}
	if json.NewDecoder(request.Body).Decode(&order) != nil || order.Op != "version" || order.Holder == "" || order.Fence == 0 {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	member.mu.Lock()
	member.orders = append(member.orders, receivedOrder{order.Holder, order.Fence, time.Now()})
	status := http.StatusAccepted
	switch {
	case member.version == order.Version:
		status = http.StatusOK
	case member.loading || (order.Expected != nil && *order.Expected != member.orderCount):
		status = http.StatusConflict
	default:
		member.orderCount++
		member.loading = true
		time.AfterFunc(loadTime, func() { member.load(order.Version) })
	}
	member.mu.Unlock()
	member.records.note("replica %s gets an order of %s with fence %d for version %d: %d", member.id, order.Holder, order.Fence, order.Version, status)
	writer.WriteHeader(status)
}

// load completes an order.
func (member *replica) load(version int64) {
	member.mu.Lock()
	member.version, member.loading = version, false
	member.mu.Unlock()
	member.beat()
}

func (member *replica) currentVersion() int64 {
	member.mu.Lock()
	defer member.mu.Unlock()
	return member.version
}

func (member *replica) received() []receivedOrder {
	member.mu.Lock()
	defer member.mu.Unlock()
	return append([]receivedOrder(nil), member.orders...)
}

// begin takes a slot; it returns false if none is free.
func (member *replica) begin(id string) bool {
	member.mu.Lock()
	defer member.mu.Unlock()
	if member.running >= member.slots {
		return false
	}
	member.running++
	member.busy[id]++
	member.runs[id] = append(member.runs[id], time.Now())
	return true
}

func (member *replica) end(id string) {
	member.mu.Lock()
	defer member.mu.Unlock()
	member.running--
	member.busy[id]--
	member.ended[id] = time.Now()
}

func (member *replica) finish(id string) {
	member.mu.Lock()
	defer member.mu.Unlock()
	member.finished[id] = true
}

func (member *replica) run(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	_, err := io.ReadAll(request.Body)
	if err != nil || id == "" {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if !member.begin(id) {
		writer.Header().Set("Not-Executed", "1")
		writer.Header().Set("Request-Id", id)
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer member.end(id)
	member.records.note("replica %s runs %s after event %q", member.id, id, request.Header.Get("Last-Event-Id"))
	writer.Header().Set("Request-Id", id)
	writer.Header().Set("Server-Stamp", stampOf(member.id, id))
	if member.model == "" {
		time.Sleep(member.workTime)
		_, _ = io.WriteString(writer, answerOf(id))
		return
	}
	member.stream(writer, request, id)
}

func stampOf(replica, id string) string { return "stamp." + replica + "." + id }

func answerOf(id string) string { return "answer to " + id }

// stream sends the events of an item that follow Last-Event-Id.
func (member *replica) stream(writer http.ResponseWriter, request *http.Request, id string) {
	after, _ := strconv.ParseInt(request.Header.Get("Last-Event-Id"), 10, 64)
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Weight-Versions", strconv.FormatInt(member.currentVersion(), 10))
	flusher, _ := writer.(http.Flusher)
	for event := after + 1; event <= member.eventsOf(id); event++ {
		select {
		case <-request.Context().Done():
			return
		case <-time.After(member.eventTime):
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s\n\n", event, eventData(id, event)) // a disconnect ends the context
		flusher.Flush()
	}
	member.finish(id)
}

func eventData(id string, event int64) string { return fmt.Sprintf("%s/%d", id, event) }

// state returns whether a request has run here at all, whether it runs now, when a run of it last ended, and whether it ran to its end.
func (member *replica) state(id string) (begun, running bool, ended time.Time, finished bool) {
	member.mu.Lock()
	defer member.mu.Unlock()
	return len(member.runs[id]) > 0, member.busy[id] > 0, member.ended[id], member.finished[id]
}

// taken returns how many runs are in progress.
func (member *replica) taken() int {
	member.mu.Lock()
	defer member.mu.Unlock()
	return member.running
}
