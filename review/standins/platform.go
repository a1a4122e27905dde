package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// storeAnswerTime is how long the platform's store takes for an answer, as in the sheet of the deployment.
const storeAnswerTime = 4 * time.Millisecond

// maxStorePage is the greatest number of items on a page of a listing.
const maxStorePage = 500

// commit is a transaction that the store has acknowledged.
type commit struct {
	Put []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	} `json:"put"`
	Remove []string `json:"remove"`
}

// hasPut reports whether the transaction wrote a key for which match returns true.
func (done commit) hasPut(match func(key string) bool) bool {
	for _, written := range done.Put {
		if match(written.Key) {
			return true
		}
	}
	return false
}

// platformStore is the platform's store: the project's stand-in with the answer time and the page size of the users' pages.
type platformStore struct {
	items   *memstore.Store
	handler *site.StoreServer
	address string
	server  *http.Server

	mu sync.Mutex
	// onCommit is called after a transaction is applied and before it is answered; nil for none. It must not block.
	onCommit func(commit)
}

func newPlatformStore() (*platformStore, error) {
	items := memstore.New()
	store := &platformStore{items: items, handler: &site.StoreServer{Store: items}}
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store.address = listener.Addr().String()
	store.server = &http.Server{Handler: store}
	go func() { _ = store.server.Serve(listener) }()
	return store, nil
}

// write writes a key as the operator or a replica does.
func (store *platformStore) write(key string, value any) {
	content, _ := json.Marshal(value) // plain values cannot fail
	_, _ = store.items.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: key, Value: content}}})
}

// setOnCommit replaces the function that is called after each transaction.
func (store *platformStore) setOnCommit(call func(commit)) {
	store.mu.Lock()
	defer store.mu.Unlock()
	store.onCommit = call
}

// keysUnder returns the keys with a prefix. The script uses it to find out which node to disturb.
func (store *platformStore) keysUnder(prefix string) []string {
	listing, err := store.items.List(context.Background(), prefix)
	if err != nil {
		return nil
	}
	var keys []string
	for _, item := range listing.Items {
		keys = append(keys, item.Key)
	}
	return keys
}

// statusRecorder remembers the status of an answer.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

func (recorder *statusRecorder) WriteHeader(status int) {
	recorder.status = status
	recorder.ResponseWriter.WriteHeader(status)
}

// ServeHTTP implements http.Handler.
func (store *platformStore) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch {
	case strings.HasSuffix(request.URL.Path, "/kv-range"):
		time.Sleep(storeAnswerTime)
		store.list(writer, request)
	case strings.HasSuffix(request.URL.Path, "/kv-txn"):
		time.Sleep(storeAnswerTime)
		store.commit(writer, request)
	case strings.HasSuffix(request.URL.Path, "/kv-watch"):
		store.handler.ServeHTTP(writer, request)
	default:
		time.Sleep(storeAnswerTime)
		store.handler.ServeHTTP(writer, request)
	}
}

func (store *platformStore) commit(writer http.ResponseWriter, request *http.Request) {
	content, err := io.ReadAll(request.Body)
	if err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	request.Body = io.NopCloser(bytes.NewReader(content))
	buffered := &bytes.Buffer{}
	recorder := &statusRecorder{ResponseWriter: bufferedWriter{writer, buffered}, status: http.StatusOK}
	store.handler.ServeHTTP(recorder, request)
	done := commit{}
	store.mu.Lock()
	call := store.onCommit
	store.mu.Unlock()
	if call != nil && recorder.status == http.StatusOK && json.Unmarshal(content, &done) == nil {
		call(done)
	}
	_, _ = writer.Write(buffered.Bytes()) // the caller may have left
}

// bufferedWriter holds the body of an answer back.
type bufferedWriter struct {
	http.ResponseWriter
	body *bytes.Buffer
}

func (writer bufferedWriter) Write(content []byte) (int, error) { return writer.body.Write(content) }

type storeItem struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Rev   int64  `json:"rev"`
}

func (store *platformStore) list(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	listing, err := store.items.List(request.Context(), query.Get("path-prefix"))
	if err != nil {
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	page := struct {
		Items []storeItem `json:"items"`
		More  bool        `json:"more"`
		At    int64       `json:"at"`
	}{Items: []storeItem{}, At: int64(listing.Revision)}
	after := query.Get("after-rev") // here the last key of the page before
	for _, item := range listing.Items {
		if item.Key <= after {
			continue
		}
		if page.More = len(page.Items) == maxStorePage; page.More {
			break
		}
		page.Items = append(page.Items, storeItem{item.Key, item.Value, int64(item.Revision)})
	}
	writeJSON(writer, page)
}

func writeJSON(writer http.ResponseWriter, body any) {
	content, _ := json.Marshal(body) // plain values cannot fail
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = writer.Write(content) // the caller may have left
}
