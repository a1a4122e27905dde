package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// prefixCache is an LRU cache of prompt prefixes. It records its insertions and evictions as events.
type prefixCache struct {
	size   int
	keys   []uint64 // least recently used first
	events []cacheEvent
	number uint64
}

type cacheEvent struct {
	Number uint64 `json:"number"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
	at     time.Time
}

// The event feed is incomplete on purpose: only the newest events are kept, and one in dropInterval is dropped.
const (
	maxCacheEvents = 256
	dropInterval   = 8
)

func newPrefixCache(size int) *prefixCache { return &prefixCache{size: size} }

// insertPrompt makes a prompt the most recently used entry and reports whether it was missing from the cache.
func (cache *prefixCache) insertPrompt(prompt string) bool {
	return cache.insert(xxhash.Sum64String(prompt))
}

func (cache *prefixCache) insert(key uint64) bool {
	index := slices.Index(cache.keys, key)
	if index >= 0 {
		cache.keys = append(slices.Delete(cache.keys, index, index+1), key)
		return false
	}
	cache.keys = append(cache.keys, key)
	cache.recordEvent(key, true)
	if len(cache.keys) > cache.size {
		cache.recordEvent(cache.keys[0], false)
		cache.keys = cache.keys[1:]
	}
	return true
}

func (cache *prefixCache) recordEvent(key uint64, stored bool) {
	cache.number++
	if cache.number%dropInterval == 0 {
		return
	}
	cache.events = append(cache.events, cacheEvent{Number: cache.number, Prefix: key, Stored: stored, at: time.Now()})
	if len(cache.events) > maxCacheEvents {
		cache.events = cache.events[1:]
	}
}

// cacheEvents serves the cache events that are older than ReportLag.
func (model *Engine) cacheEvents(writer http.ResponseWriter, _ *http.Request) {
	model.mu.Lock()
	cutoff := time.Now().Add(-model.settings.ReportLag)
	events := []cacheEvent{}
	for _, event := range model.cache.events {
		if event.at.Before(cutoff) {
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
		model.cache.insert(key)
	}
	writeJSON(writer, http.StatusOK, struct{}{})
}
