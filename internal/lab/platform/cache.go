package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixCache remembers the prompts read last, the least recently used first.
type prefixCache struct {
	size   int
	keys   []uint64
	events []cacheEvent
	number uint64
}

type cacheEvent struct {
	Number uint64 `json:"number"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
	at     time.Time
}

// Events are published late and with gaps: only the newest ones are kept, and every eighth is lost.
const (
	keptEvents = 256
	lostEvent  = 8
)

func newPrefixCache(size int) *prefixCache { return &prefixCache{size: size} }

// read notes that a prompt is read and returns whether it was not cached.
func (cache *prefixCache) read(prompt string) bool {
	return cache.store(xxhash.Sum64String(prompt))
}

func (cache *prefixCache) store(key uint64) bool {
	index := slices.Index(cache.keys, key)
	if index >= 0 {
		cache.keys = append(slices.Delete(cache.keys, index, index+1), key)
		return false
	}
	cache.keys = append(cache.keys, key)
	cache.note(key, true)
	if len(cache.keys) > cache.size {
		cache.note(cache.keys[0], false)
		cache.keys = cache.keys[1:]
	}
	return true
}

func (cache *prefixCache) note(key uint64, stored bool) {
	cache.number++
	if cache.number%lostEvent == 0 {
		return
	}
	cache.events = append(cache.events, cacheEvent{Number: cache.number, Prefix: key, Stored: stored, at: time.Now()})
	if len(cache.events) > keptEvents {
		cache.events = cache.events[1:]
	}
}

func (model *Engine) cacheEvents(writer http.ResponseWriter, _ *http.Request) {
	model.mu.Lock()
	late := time.Now().Add(-model.settings.ReportLag)
	events := []cacheEvent{}
	for _, event := range model.cache.events {
		if event.at.Before(late) {
			events = append(events, event)
		}
	}
	model.mu.Unlock()
	writeJSON(writer, http.StatusOK, events)
}

func (model *Engine) cacheExport(writer http.ResponseWriter, _ *http.Request) {
	model.mu.Lock()
	keys := slices.Clone(model.cache.keys)
	model.mu.Unlock()
	writeJSON(writer, http.StatusOK, keys)
}

func (model *Engine) cacheImport(writer http.ResponseWriter, request *http.Request) {
	var keys []uint64
	if err := json.NewDecoder(request.Body).Decode(&keys); err != nil {
		http.Error(writer, "bad body", http.StatusBadRequest)
		return
	}
	model.mu.Lock()
	defer model.mu.Unlock()
	for _, key := range keys {
		model.cache.store(key)
	}
	writeJSON(writer, http.StatusOK, struct{}{})
}
