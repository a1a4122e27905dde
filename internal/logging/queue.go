package logging

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Queue is a writer that never blocks. It buffers lines in a bounded queue. While the queue is full, it drops and counts lines.
type Queue struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closed  chan struct{}
}

// queueLines is the capacity of the queue, in lines.
const queueLines = 2048

// NewQueue returns a queue that writes to output, which may stall.
func NewQueue(output io.Writer) *Queue {
	queue := &Queue{lines: make(chan []byte, queueLines), done: make(chan struct{}), closed: make(chan struct{})}
	go queue.drain(output)
	return queue
}

// Write implements io.Writer. It never returns an error.
func (queue *Queue) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case queue.lines <- copied:
	default:
		queue.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (queue *Queue) Dropped() int64 { return queue.dropped.Load() }

// Close waits until the queued lines are written, for at most the given time.
func (queue *Queue) Close(limit time.Duration) {
	close(queue.done)
	select {
	case <-queue.closed:
	case <-time.After(limit):
	}
}

func (queue *Queue) drain(output io.Writer) {
	defer close(queue.closed)
	reported := int64(0)
	for {
		select {
		case line := <-queue.lines:
			_, _ = output.Write(line) // a failure to log can't be logged
		case <-queue.done:
			if len(queue.lines) == 0 {
				return
			}
			continue
		}
		if dropped := queue.dropped.Load(); dropped > reported && len(queue.lines) == 0 {
			reported = dropped
			_, _ = fmt.Fprintf(output, "level=warn msg=\"log lines dropped\" total=%d\n", dropped)
		}
	}
}
