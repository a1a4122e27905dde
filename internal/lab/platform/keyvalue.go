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

// KeyValueFaults are the faults of the key-value service. The zero value is none.
type KeyValueFaults struct {
	// Down refuses every call.
	Down bool
	// Delay slows every call.
	Delay time.Duration
	// LoseAnswers drops the answers of the next so many writes after they took effect.
	LoseAnswers int
}

// KeyValue is the key-value service. It is safe for concurrent use.
type KeyValue struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]keyvalue.Item
	leases   map[keyvalue.LeaseID]*lease
	attached map[string]keyvalue.LeaseID // by key
	granted  uint64
	changed  chan struct{}
	faults   KeyValueFaults
	limiter  *rate.Limiter
	calls    uint64
	refused  uint64
	history  []keyvalue.Item
}

type lease struct {
	life    time.Duration
	expires time.Time
}

// NewKeyValue returns an empty service that takes perSecond calls with bursts of as many.
func NewKeyValue(perSecond float64) *KeyValue {
	return &KeyValue{items: make(map[string]keyvalue.Item), leases: make(map[keyvalue.LeaseID]*lease), attached: make(map[string]keyvalue.LeaseID),
		changed: make(chan struct{}), limiter: rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))}
}

// SetFaults replaces the faults.
func (service *KeyValue) SetFaults(faults KeyValueFaults) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.faults = faults
}

// Calls returns how many calls were taken and how many the rate limit refused.
func (service *KeyValue) Calls() (taken, refused uint64) {
	service.mu.Lock()
	defer service.mu.Unlock()
	return service.calls, service.refused
}

// Item returns a stored key.
func (service *KeyValue) Item(key string) (keyvalue.Item, bool) {
	service.mu.Lock()
	defer service.mu.Unlock()
	item, ok := service.items[key]
	return item, ok
}

// History returns every value that was ever stored, in order.
func (service *KeyValue) History() []keyvalue.Item {
	service.mu.Lock()
	defer service.mu.Unlock()
	return slices.Clone(service.history)
}

// Restore replaces a key's value by an older one without a trace, as a restored backup would.
func (service *KeyValue) Restore(item keyvalue.Item) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.revision++
	item.Revision = service.revision
	service.items[item.Key] = item
	service.announce()
}

// Handler serves the protocol.
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

// guard applies the faults and the rate limit.
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
		if request.Method != http.MethodGet && service.loseAnswer() {
			panic(http.ErrAbortHandler)
		}
	}
}

func (service *KeyValue) loseAnswer() bool {
	service.mu.Lock()
	defer service.mu.Unlock()
	if service.faults.LoseAnswers == 0 {
		return false
	}
	service.faults.LoseAnswers--
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

// listing returns the keys under a prefix; must hold mu.
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

// expire ends leases and deletes their keys; must hold mu.
func (service *KeyValue) expire() {
	now := time.Now()
	for id, lease := range service.leases {
		if now.After(lease.expires) {
			service.endLease(id)
		}
	}
}

// endLease must hold mu.
func (service *KeyValue) endLease(id keyvalue.LeaseID) {
	delete(service.leases, id)
	for key, attached := range service.attached {
		if attached == id {
			delete(service.attached, key)
			delete(service.items, key)
			service.revision++
			service.announce()
		}
	}
}

// announce wakes watches; must hold mu.
func (service *KeyValue) announce() {
	close(service.changed)
	service.changed = make(chan struct{})
}

// watchStep bounds how long a watch does not look for expired leases.
const watchStep = 250 * time.Millisecond

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
		case <-time.After(min(watchStep, time.Until(deadline))):
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
	present := service.items[swap.Key]
	if present.Revision != swap.Expected {
		writeJSON(writer, http.StatusConflict, present)
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
	service.announce()
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
	service.granted++
	message.ID = keyvalue.LeaseID(fmt.Sprintf("lease-%d", service.granted))
	life := time.Duration(message.Milliseconds) * time.Millisecond
	service.leases[message.ID] = &lease{life: life, expires: time.Now().Add(life)}
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
	found.expires = time.Now().Add(found.life)
	writeJSON(writer, http.StatusOK, struct{}{})
}

func (service *KeyValue) revoke(writer http.ResponseWriter, request *http.Request) {
	service.mu.Lock()
	defer service.mu.Unlock()
	service.endLease(keyvalue.LeaseID(request.PathValue("lease")))
	writeJSON(writer, http.StatusOK, struct{}{})
}
