package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// lostAnswer describes one write whose answer is lost.
type lostAnswer struct {
	// matches selects the write by its body.
	matches func(txn) bool
	// late is how long after its arrival the write is done; zero for at once.
	late time.Duration
	// taken is closed when the write has arrived.
	taken chan struct{}
}

// txn is the part of a write that the cases look at.
type txn struct {
	Put []struct {
		Key string `json:"key"`
	} `json:"put"`
	Remove []string `json:"remove"`
}

func (written txn) touches(part string) bool {
	for _, put := range written.Put {
		if strings.Contains(put.Key, part) {
			return true
		}
	}
	for _, key := range written.Remove {
		if strings.Contains(key, part) {
			return true
		}
	}
	return false
}

// platformStore is the platform's store. It serves the project's stand-in of the store and loses chosen answers.
type platformStore struct {
	memory *memstore.Store
	server *site.StoreServer
	record *record

	mu     sync.Mutex
	lost   *lostAnswer
	writes int
}

func newPlatformStore(record *record) *platformStore {
	memory := memstore.New()
	return &platformStore{memory: memory, server: &site.StoreServer{Store: memory}, record: record}
}

// loseNext loses the answer of the next write that matches.
func (store *platformStore) loseNext(lost *lostAnswer) {
	store.mu.Lock()
	defer store.mu.Unlock()
	lost.taken = make(chan struct{})
	store.lost = lost
}

// writeCount returns the number of writes so far.
func (store *platformStore) writeCount() int {
	store.mu.Lock()
	defer store.mu.Unlock()
	return store.writes
}

// put writes a key as the operator or a replica does.
func (store *platformStore) put(key string, value any) {
	content, _ := json.Marshal(value) // plain values
	_, _ = store.memory.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: key, Value: content}}})
}

// ServeHTTP serves the calls of the product's processes.
func (store *platformStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if !strings.HasSuffix(request.URL.Path, "/kv-txn") {
		store.server.ServeHTTP(writer, request)
		return
	}
	content, err := io.ReadAll(request.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	written := txn{}
	_ = json.Unmarshal(content, &written)
	keys := append([]string(nil), written.Remove...)
	for index := range keys {
		keys[index] = "-" + keys[index]
	}
	for _, put := range written.Put {
		keys = append(keys, "+"+put.Key)
	}
	store.mu.Lock()
	store.writes++
	lost := store.lost
	if lost != nil && lost.matches(written) {
		store.lost = nil
	} else {
		lost = nil
	}
	store.mu.Unlock()
	if lost == nil {
		status := store.apply(writer, request, content)
		store.record.note("store: write from %s %v: %d", request.RemoteAddr, keys, status)
		return
	}
	store.record.note("store: write from %s %v: its answer is lost, it is done %v later", request.RemoteAddr, keys, lost.late)
	close(lost.taken)
	done := func() {
		recorder := httptest.NewRecorder()
		store.server.ServeHTTP(recorder, newTxnRequest(content))
		store.record.note("store: the write with the lost answer is done: %d", recorder.Code)
	}
	if lost.late > 0 {
		time.AfterFunc(lost.late, done)
	} else {
		done()
	}
	<-request.Context().Done() // this connection says nothing further
	panic(http.ErrAbortHandler)
}

func newTxnRequest(content []byte) *http.Request {
	return httptest.NewRequest(http.MethodPost, "/thistlewalk/kv-txn", bytes.NewReader(content))
}

// apply passes a write on and returns the status of the answer.
func (store *platformStore) apply(writer http.ResponseWriter, request *http.Request, content []byte) int {
	forwarded := newTxnRequest(content).WithContext(request.Context())
	recorder := httptest.NewRecorder()
	store.server.ServeHTTP(recorder, forwarded)
	for name, values := range recorder.Header() {
		writer.Header()[name] = values
	}
	writer.WriteHeader(recorder.Code)
	_, _ = writer.Write(recorder.Body.Bytes())
	return recorder.Code
}
