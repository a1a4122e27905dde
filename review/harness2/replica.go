package main

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

// work is what a request asks of a replica, as its body says.
type work struct {
	// Events is the number of events of a stream; zero for a plain answer.
	Events int `json:"events"`
	// StepMS is the time of one event, or of the plain answer, in milliseconds.
	StepMS int `json:"step_ms"`
}

// run is one request that a replica began to work on.
type run struct {
	id, replica string
	after       int // Last-Event-Id
	began       time.Time
	ended       time.Time // zero while it runs
	whole       bool
}

// runs holds all runs of all replicas.
type runs struct {
	mu   sync.Mutex
	list []*run
	// pieces are the data of the events of each stream; without them an event says its number.
	pieces []string
}

func (runs *runs) setPieces(pieces []string) {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	runs.pieces = pieces
}

// dataOf returns the data of an event.
func (runs *runs) dataOf(id string, event int) string {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	if len(runs.pieces) > 0 {
		return runs.pieces[event-1]
	}
	return fmt.Sprintf("%s/%d", id, event)
}

func (runs *runs) begin(id, replica string, after int) *run {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	began := &run{id: id, replica: replica, after: after, began: time.Now()}
	runs.list = append(runs.list, began)
	return began
}

func (runs *runs) end(ended *run, whole bool) {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	ended.ended, ended.whole = time.Now(), whole
}

// of returns copies of the runs of a request.
func (runs *runs) of(id string) []run {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	var list []run
	for _, one := range runs.list {
		if one.id == id {
			list = append(list, *one)
		}
	}
	return list
}

// replica is a model engine if it has a model, and an application otherwise.
type replica struct {
	id, service, zone, model, address string
	slots                             int
	runs                              *runs
	record                            *record
	places                            chan struct{}
	queue                             chan struct{}
}

// queueLength is how many requests beyond its slots a replica queues.
const queueLength = 24

func newReplica(id, service, zone, model, address string, slots int, runs *runs, record *record) *replica {
	return &replica{
		id: id, service: service, zone: zone, model: model, address: address, slots: slots, runs: runs, record: record,
		places: make(chan struct{}, slots), queue: make(chan struct{}, slots+queueLength),
	}
}

// entry is what the replica writes of itself into the store.
func (replica *replica) entry() map[string]any {
	entry := map[string]any{
		"service": replica.service, "address": replica.address, "zone": replica.zone, "version": "v1", "slots": replica.slots, "state": "ready",
		"cold-left-ms": 0, "seq-no": 1,
	}
	if replica.model != "" {
		entry["stage"] = "both"
		entry["models"] = replica.models()
	}
	return entry
}

func (replica *replica) models() []map[string]any {
	return []map[string]any{{"name": replica.model, "version": 1, "adapters": []string{}}}
}

// ServeHTTP implements http.Handler.
func (replica *replica) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != replica.id {
		writer.Header().Set("Instance-Id", replica.id)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/health":
		writer.Header().Set("Instance-Id", replica.id)
	case "/thistlewalk/report":
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(map[string]any{
			"stage": "both", "models": replica.models(), "busy": false, "seq-no": 0, "num-waiting": 0, "num-running": len(replica.places),
		})
	default:
		replica.serve(writer, request)
	}
}

func (replica *replica) serve(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Request-Id")
	content, err := io.ReadAll(request.Body)
	asked := work{}
	if err != nil || id == "" || json.Unmarshal(content, &asked) != nil {
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	select {
	case replica.queue <- struct{}{}:
		defer func() { <-replica.queue }()
	default:
		writer.Header().Set("Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case replica.places <- struct{}{}:
		defer func() { <-replica.places }()
	case <-request.Context().Done():
		return
	}
	after, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	current := replica.runs.begin(id, replica.id, after)
	replica.record.note("%s: begins %s after event %d", replica.id, id, after)
	whole := replica.work(writer, request, id, asked, after)
	replica.runs.end(current, whole)
	if whole {
		replica.record.note("%s: has finished %s", replica.id, id)
	} else {
		replica.record.note("%s: drops %s, whose connection is closed", replica.id, id)
	}
}

// work writes the answer and reports whether it was written to its end.
func (replica *replica) work(writer http.ResponseWriter, request *http.Request, id string, asked work, after int) (whole bool) {
	step := time.Duration(asked.StepMS) * time.Millisecond
	pause := func() bool {
		select {
		case <-time.After(step):
			return true
		case <-request.Context().Done():
			return false
		}
	}
	header := writer.Header()
	header.Set("Request-Id", id)
	header.Set("Server-Stamp", fmt.Sprintf("stamp.%s.%s", replica.id, id))
	if asked.Events == 0 {
		if !pause() {
			return false
		}
		_, err := fmt.Fprintf(writer, "answer to %s", id)
		return err == nil
	}
	header.Set("Content-Type", "text/event-stream")
	header.Set("Weight-Versions", "1")
	for event := after + 1; event <= asked.Events; event++ {
		if !pause() {
			return false
		}
		written := &strings.Builder{}
		fmt.Fprintf(written, "id: %d\n", event)
		writeData(written, replica.runs.dataOf(id, event))
		if _, err := fmt.Fprintf(writer, "%s\n", written); err != nil {
			return false
		}
		writer.(http.Flusher).Flush()
	}
	return true
}
