// Package site simulates the users' platform for tests and the lab: its metadata store, its replicas with and without
// engines, and its endpoint for usage reports. All are HTTP handlers. They implement the published protocol without code of
// the adapter, so that an error in the adapter is not repeated here.
package site

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// StoreServer serves an in-memory store through the protocol of the platform's metadata store.
type StoreServer struct{ Store *memstore.Store }

type wireItem struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Rev   int64  `json:"rev"`
	Gone  bool   `json:"gone,omitempty"`
	At    int64  `json:"at,omitempty"`
}

func toWire(item metadata.Item) wireItem {
	return wireItem{Key: item.Key, Value: item.Value, Rev: int64(item.Revision)}
}

// ServeHTTP serves the calls of the metadata store protocol.
func (server *StoreServer) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	switch call := strings.TrimPrefix(request.URL.Path, "/thistlewalk/"); {
	case call == "kv-key":
		item, found, err := server.Store.Get(request.Context(), query.Get("key"))
		if err == nil && !found {
			writer.WriteHeader(http.StatusNotFound)
			return
		}
		reply(writer, toWire(item), err)
	case call == "kv-range":
		server.list(writer, request)
	case call == "kv-watch":
		server.watch(writer, request)
	case call == "kv-txn":
		server.commit(writer, request)
	case call == "kv-lease":
		body := struct {
			TTL int64 `json:"ttl_ms"`
		}{}
		if !decodeBody(request, &body) {
			writer.WriteHeader(http.StatusBadRequest)
			return
		}
		lease, err := server.Store.GrantLease(request.Context(), time.Duration(body.TTL)*time.Millisecond)
		reply(writer, map[string]int64{"lease": int64(lease), "ttl_ms": body.TTL}, err)
	case strings.HasPrefix(call, "kv-keep/"):
		reply(writer, struct{}{}, server.Store.RenewLease(request.Context(), leaseID(call)))
	case strings.HasPrefix(call, "kv-lease-end/"):
		reply(writer, struct{}{}, server.Store.RevokeLease(request.Context(), leaseID(call)))
	default:
		writer.WriteHeader(http.StatusBadRequest)
	}
}

// decodeBody decodes a request body and reports whether it succeeded. It reads the body to its end because net/http detects
// a disconnected client only after that.
func decodeBody(request *http.Request, body any) bool {
	content, err := io.ReadAll(request.Body)
	return err == nil && json.Unmarshal(content, body) == nil
}

func leaseID(call string) metadata.LeaseID {
	_, id, _ := strings.Cut(call, "/")
	number, _ := strconv.ParseInt(id, 10, 64)
	return metadata.LeaseID(number)
}

// pageSize is small enough that lists in tests span several pages.
const pageSize = 3

func (server *StoreServer) list(writer http.ResponseWriter, request *http.Request) {
	listing, err := server.Store.List(request.Context(), request.URL.Query().Get("path-prefix"))
	page := struct {
		Items []wireItem `json:"items"`
		More  bool       `json:"more"`
		At    int64      `json:"at"`
	}{Items: []wireItem{}, At: int64(listing.Revision)}
	// In kv-range, after-rev is the last key of the previous page, not a revision.
	after := request.URL.Query().Get("after-rev")
	for _, item := range listing.Items {
		if item.Key <= after {
			continue
		}
		if page.More = len(page.Items) == pageSize; page.More {
			break
		}
		page.Items = append(page.Items, toWire(item))
	}
	reply(writer, page, err)
}

func (server *StoreServer) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after-rev"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait-ms"), 10, 64)
	changes, err := server.Store.Watch(request.Context(), query.Get("path-prefix"), metadata.Revision(after), time.Duration(wait)*time.Millisecond)
	response := struct {
		Events []wireItem `json:"events"`
		At     int64      `json:"at"`
	}{Events: []wireItem{}, At: int64(changes.Revision)}
	for _, event := range changes.Events {
		item := toWire(event.Item)
		item.Gone = event.Deleted
		response.Events = append(response.Events, item)
	}
	reply(writer, response, err)
}

func (server *StoreServer) commit(writer http.ResponseWriter, request *http.Request) {
	body := struct {
		Expected []wireItem `json:"expected-rev"`
		Put      []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"put"`
		Remove []string `json:"remove"`
	}{}
	if !decodeBody(request, &body) {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	txn := metadata.Txn{Deletes: body.Remove}
	for _, condition := range body.Expected {
		txn.Conditions = append(txn.Conditions, metadata.Condition{Key: condition.Key, Revision: metadata.Revision(condition.Rev)})
	}
	for _, put := range body.Put {
		if strings.HasPrefix(put.Key, "op/") || strings.HasPrefix(put.Key, "servers/") {
			writer.WriteHeader(http.StatusForbidden)
			return
		}
		txn.Puts = append(txn.Puts, metadata.Put{Key: put.Key, Value: put.Value, Lease: metadata.LeaseID(put.Lease)})
	}
	revision, err := server.Store.Commit(request.Context(), txn)
	var conflict *metadata.ConflictError
	if errors.As(err, &conflict) {
		items := []wireItem{}
		for _, item := range conflict.Items {
			items = append(items, toWire(item))
		}
		writer.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(writer).Encode(map[string][]wireItem{"items": items})
		return
	}
	reply(writer, map[string]int64{"rev": int64(revision)}, err)
}

// reply sends a body with status 200, or the status of an error. For any other error, such as metadata.ErrUncertain, it
// breaks the connection.
func reply(writer http.ResponseWriter, body any, err error) {
	switch {
	case err == nil:
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(body) // fails if the caller has disconnected
	case errors.Is(err, metadata.ErrCompacted):
		writer.WriteHeader(http.StatusGone)
	case errors.Is(err, metadata.ErrLimited):
		writer.WriteHeader(http.StatusTooManyRequests)
	case errors.Is(err, metadata.ErrLeaseExpired):
		writer.WriteHeader(http.StatusNotFound)
	case errors.Is(err, metadata.ErrUnavailable):
		writer.WriteHeader(http.StatusServiceUnavailable)
	default:
		panic(http.ErrAbortHandler)
	}
}
