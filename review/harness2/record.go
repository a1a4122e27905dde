package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that lists what was sent, answered and run, with the time since the start of the case.
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

// since returns the time since the start of the case.
func (record *record) since(moment time.Time) time.Duration { return moment.Sub(record.started) }

// note writes one line.
func (record *record) note(format string, arguments ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f s  %s\n", record.since(time.Now()).Seconds(), fmt.Sprintf(format, arguments...))
}

func (record *record) close() { _ = record.file.Close() }
