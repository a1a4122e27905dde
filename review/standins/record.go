package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the record of a run: what was sent, answered and run, with the time since its start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, started: time.Now()}, nil
}

func (records *record) note(format string, arguments ...any) {
	records.mu.Lock()
	defer records.mu.Unlock()
	_, _ = fmt.Fprintf(records.file, "%8.3f s  %s\n", time.Since(records.started).Seconds(), fmt.Sprintf(format, arguments...))
}
