package batchrun_test

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// logLines collects the log output of the nodes.
type logLines struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (lines *logLines) Write(line []byte) (int, error) {
	lines.mu.Lock()
	defer lines.mu.Unlock()
	return lines.text.Write(line)
}

// lineOf returns the last log line with a message, or an empty string.
func (world *world) lineOf(message string) string {
	world.lines.mu.Lock()
	defer world.lines.mu.Unlock()
	found := ""
	for line := range strings.Lines(world.lines.text.String()) {
		if strings.Contains(line, message) {
			found = line
		}
	}
	return found
}

// numberIn returns the number that a log line has for a key.
func numberIn(t *testing.T, line, key string) int {
	t.Helper()
	_, rest, found := strings.Cut(line, " "+key+"=")
	if !found {
		t.Fatalf("no %s in %q", key, line)
	}
	number, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatalf("%s of %q: %v", key, line, err)
	}
	return number
}

// nodeStore is the metadata store as seen by one node.
type nodeStore struct {
	metadata.Store
	world *world
	node  string
}

func (store nodeStore) check() error {
	store.world.mu.Lock()
	defer store.world.mu.Unlock()
	if store.world.refused[store.node] {
		return metadata.ErrUnavailable
	}
	return nil
}

// Get implements metadata.Store.
func (store nodeStore) Get(ctx context.Context, key string) (metadata.Item, bool, error) {
	if err := store.check(); err != nil {
		return metadata.Item{}, false, err
	}
	return store.Store.Get(ctx, key)
}

// List implements metadata.Store.
func (store nodeStore) List(ctx context.Context, prefix string) (metadata.Listing, error) {
	if err := store.check(); err != nil {
		return metadata.Listing{}, err
	}
	return store.Store.List(ctx, prefix)
}

// ListStale implements metadata.Store.
func (store nodeStore) ListStale(ctx context.Context, prefix string) (metadata.Listing, error) {
	if err := store.check(); err != nil {
		return metadata.Listing{}, err
	}
	return store.Store.ListStale(ctx, prefix)
}

// Commit implements metadata.Store.
func (store nodeStore) Commit(ctx context.Context, txn metadata.Txn) (metadata.Revision, error) {
	if err := store.check(); err != nil {
		return 0, err
	}
	return store.Store.Commit(ctx, txn)
}

// Probe implements metadata.Store.
func (store nodeStore) Probe(ctx context.Context) error {
	if err := store.check(); err != nil {
		return err
	}
	return store.Store.Probe(ctx)
}

func (world *world) isRefused(name string) bool {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.refused[name]
}

// refuse sets whether the store rejects the calls of a node.
func (world *world) refuse(name string, refused bool) {
	world.mu.Lock()
	defer world.mu.Unlock()
	world.refused[name] = refused
}
