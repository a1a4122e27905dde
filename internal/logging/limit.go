package logging

import (
	"sync"
	"time"
)

const (
	// LinesPerWindow bounds the lines of a LineLimit within linesWindow: what turns a zone slow changes the state of all of
	// its replicas at once.
	LinesPerWindow = 10
	linesWindow    = time.Second
)

// LineLimit bounds log lines that many objects may cause at once. The zero value is ready for use; it is safe for concurrent
// use.
type LineLimit struct {
	mu         sync.Mutex
	began      time.Time
	written    int
	suppressed int
}

// Allow reports whether a line may be written, and how many were not since the last one.
func (limit *LineLimit) Allow(now time.Time) (suppressed int, ok bool) {
	limit.mu.Lock()
	defer limit.mu.Unlock()
	if now.Sub(limit.began) >= linesWindow {
		limit.began, limit.written = now, 0
	}
	if limit.written >= LinesPerWindow {
		limit.suppressed++
		return 0, false
	}
	limit.written++
	suppressed, limit.suppressed = limit.suppressed, 0
	return suppressed, true
}
