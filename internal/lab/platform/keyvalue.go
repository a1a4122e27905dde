package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/thistlewalk/thistlewalk/internal/keyvalue"
)

// KeyValueFaults are the faults injected into the key-value service. The zero value injects none.
type KeyValueFaults struct {
	// Down rejects every call.
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// LoseResponses is the number of writes that take effect although their response is dropped.
	LoseResponses int
}

// KeyValue is an in-memory key-value service with leases and watches. It is safe for concurrent use.
type KeyValue struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]keyvalue.Item
	leases    map[keyvalue.LeaseID]*lease
	attached  map[string]keyvalue.LeaseID // by key
	lastLease uint64                      // number of the last lease granted
	changed   chan struct{}               // closed and replaced at each change
	faults    KeyValueFaults
	limiter   *rate.Limiter
	calls     uint64
	refused   uint64
	history   []keyvalue.Item // every write
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// NewKeyValue returns an empty service that accepts perSecond calls per second, with bursts of the same size.
func NewKeyValue(perSecond float64) *KeyValue {
	return &KeyValue{items: make(map[string]keyvalue.Item), leases: make(map[keyvalue.LeaseID]*lease), attached: make(map[string]keyvalue.LeaseID),
		changed: make(chan struct{}), limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

// SetFaults replaces the injected faults.
func (service *KeyValue) SetFaults(faults KeyValueFaults) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.faults = faults
}

// Calls returns the number of calls received and the number of those that the rate limit rejected.
func (service *KeyValue) Calls() (received, refused uint64) {
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.calls, service.refused
}

// Item returns the stored value of a key.
func (service *KeyValue) Item(key string) (keyvalue.Item, bool) {
	service.mu.Lock()
	defer service.mu.Unlock()
	item, ok := service.items[key]
	return item, ok
}

// History returns every value ever written, in order.
func (service *KeyValue) History() []keyvalue.Item {
	service.mu.Lock()
	defer service.mu.Unlock()
	return slices.Clone(service.history)
}

// Restore writes an old value under a new revision and leaves it out of the history, like a restored backup.
func (service *KeyValue) Restore(item keyvalue.Item) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.revision++
	item.Revision = service.revision
	service.items[item.Key] = item
	service.wakeWatches()
}

// Handler serves the protocol of the key-value service.
func (service *KeyValue) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv", service.guard(service.list))
	mux.HandleFunc("GET /v1/watch", service.guard(service.watch))
	mux.HandleFunc("PUT /v1/kv", service.guard(service.swap))
	mux.HandleFunc("POST /v1/leases", service.guard(service.grant))
	mux.HandleFunc("POST /v1/leases/{lease}/renew", service.guard(service.renew))
	mux.HandleFunc("DELETE /v1/leases/{lease}", service.guard(service.revoke))
	return mux
}

// guard applies the rate limit and the injected faults to a call.
func (service *KeyValue) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		service.mu.Lock()
		faults := service.faults
		service.calls++
		service.mu.Unlock()
		if faults.Down {
			http.Error(writer, "down", http.StatusServiceUnavailable)
			return
		}
		if !service.limiter.Allow() {
			service.mu.Lock()
			service.refused++
			service.mu.Unlock()
			http.Error(writer, "rate limit", http.StatusTooManyRequests)
			return
		}
		time.Sleep(faults.Delay)
		next(writer, request)
		if request.Method != http.MethodGet && service.dropResponse() {
			panic(http.ErrAbortHandler)
		}
	}
}

func (service *KeyValue) dropResponse() bool {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.faults.LoseResponses == 0 {
		return false
	}
	service.faults.LoseResponses--
	return true
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}

func (service *KeyValue) list(writer http.ResponseWriter, request *http.Request) {
	service.mu.Lock()
	listing := service.listing(request.URL.Query().Get("prefix"))
	service.mu.Unlock()
	writeJSON(writer, http.StatusOK, listing)
}

// listing returns the items under a prefix, sorted by key. The caller must hold mu.
func (service *KeyValue) listing(prefix string) keyvalue.Listing {
	service.expire()
	listing := keyvalue.Listing{Revision: service.revision}
	for key, item := range service.items {
		if strings.HasPrefix(key, prefix) {
			listing.Items = append(listing.Items, item)
		}
	}
	slices.SortFunc(listing.Items, func(a, b keyvalue.Item) int { return strings.Compare(a.Key, b.Key) })
	return listing
}

// expire ends the leases whose TTL has passed. The caller must hold mu.
func (service *KeyValue) expire() {
	now := time.Now()
	for id, lease := range service.leases {
		if now.After(lease.expires) {
			service.endLease(id)
		}
	}
}

// endLease removes a lease and deletes the keys attached to it. The caller must hold mu.
func (service *KeyValue) endLease(id keyvalue.LeaseID) {
	delete(service.leases, id)
	for key, attached := range service.attached {
		if attached == id {
			delete(service.attached, key)
			delete(service.items, key)
			service.revision++
			service.wakeWatches()
		}
	}
}

// wakeWatches wakes all watches. The caller must hold mu.
func (service *KeyValue) wakeWatches() {
	close(service.changed)
	service.changed = make(chan struct{})
}

// expiryCheckInterval is the interval at which a waiting watch checks for expired leases.
const expiryCheckInterval = 250 * time.Millisecond

func (service *KeyValue) watch(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		service.mu.Lock()
		listing := service.listing(query.Get("prefix"))
		changed := service.changed
		down := service.faults.Down
		service.mu.Unlock()
		if down {
			http.Error(writer, "down", http.StatusServiceUnavailable)
			return
		}
		if listing.Revision > after || !time.Now().Before(deadline) {
			writeJSON(writer, http.StatusOK, listing)
			return
		}
		select {
		case <-changed:
		case <-time.After(min(expiryCheckInterval, time.Until(deadline))):
		case <-request.Context().Done():
			return
		}
	}
}

func (service *KeyValue) swap(writer http.ResponseWriter, request *http.Request) {
	var swap keyvalue.Swap
	if err := json.NewDecoder(request.Body).Decode(&swap); err != nil || swap.Key == "" {
		http.Error(writer, "bad body", http.StatusBadRequest)
		return
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	service.expire()
	current := service.items[swap.Key]
	if current.Revision != swap.Expected {
		writeJSON(writer, http.StatusConflict, current)
		return
	}
	if swap.Lease != "" {
		if _, alive := service.leases[swap.Lease]; !alive {
			http.Error(writer, "no such lease", http.StatusNotFound)
			return
		}
		service.attached[swap.Key] = swap.Lease
	}
	service.revision++
	item := keyvalue.Item{Key: swap.Key, Value: swap.Value, Revision: service.revision}
	service.items[swap.Key] = item
	service.history = append(service.history, item)
	service.wakeWatches()
	writeJSON(writer, http.StatusOK, keyvalue.Item{Key: swap.Key, Revision: item.Revision})
}

type leaseMessage struct {
	ID           keyvalue.LeaseID `json:"id"`
	Milliseconds int64            `json:"life_ms"`
}

func (service *KeyValue) grant(writer http.ResponseWriter, request *http.Request) {
	var message leaseMessage
	if err := json.NewDecoder(request.Body).Decode(&message); err != nil || message.Milliseconds <= 0 {
		http.Error(writer, "bad body", http.StatusBadRequest)
		return
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	service.lastLease++
	message.ID = keyvalue.LeaseID(fmt.Sprintf("lease-%d", service.lastLease))
	ttl := time.Duration(message.Milliseconds) * time.Millisecond
	service.leases[message.ID] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(writer, http.StatusOK, message)
}

func (service *KeyValue) renew(writer http.ResponseWriter, request *http.Request) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.expire()
	found, alive := service.leases[keyvalue.LeaseID(request.PathValue("lease"))]
	if !alive {
		http.Error(writer, "no such lease", http.StatusNotFound)
		return
	}
	found.expires = time.Now().Add(found.ttl)
	writeJSON(writer, http.StatusOK, struct{}{})
}

func (service *KeyValue) revoke(writer http.ResponseWriter, request *http.Request) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.endLease(keyvalue.LeaseID(request.PathValue("lease")))
	writeJSON(writer, http.StatusOK, struct{}{})
}
