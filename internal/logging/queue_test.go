package logging_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/logging"
)

// stalledWriter is a writer whose Write blocks until release is closed.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	content bytes.Buffer
}

func (writer *stalledWriter) Write(line []byte) (int, error) {
	<-writer.release
	writer.mu.Lock()
	defer writer.mu.Unlock()
	return writer.content.Write(line)
}

func (writer *stalledWriter) text() string {
	writer.mu.Lock()
	defer writer.mu.Unlock()
	return writer.content.String()
}

// A stalled log output must not block callers. Lines beyond the queue's capacity must be dropped, counted and reported.
func TestStalledReaderBlocksNobody(t *testing.T) {
	writer := &stalledWriter{release: make(chan struct{})}
	queue := logging.NewQueue(writer)
	logger, err := logging.New(queue, "info")
	must.NoError(t, err)
	started := time.Now()
	const lines = 6000
	for index := range lines {
		logger.Info("line", "number", index)
	}
	must.Less(t, 3*time.Second, time.Since(started))
	must.Between(t, 3000, queue.Dropped(), lines)
	close(writer.release)
	queue.Close(3 * time.Second)
	must.StrContains(t, writer.text(), "number=0")
	must.StrContains(t, writer.text(), fmt.Sprintf("total=%d", queue.Dropped()))
}
