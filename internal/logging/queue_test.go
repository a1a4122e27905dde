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

// stalled is a reader of logs that takes nothing until it is let go.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	content bytes.Buffer
}

func (stalled *stalled) Write(line []byte) (int, error) {
	<-stalled.release
	stalled.mu.Lock()
	defer stalled.mu.Unlock()
	return stalled.content.Write(line)
}

func (stalled *stalled) text() string {
	stalled.mu.Lock()
	defer stalled.mu.Unlock()
	return stalled.content.String()
}

// A reader of logs that stalls stalls nobody who logs: lines beyond the queue are dropped, counted and told of.
func TestStalledReaderBlocksNobody(t *testing.T) {
	reader := &stalled{release: make(chan struct{})}
	queue := logging.NewQueue(reader)
	logger, err := logging.New(queue, "info")
	must.NoError(t, err)
	started := time.Now()
	const lines = 6000
	for index := range lines {
		logger.Info("line", "number", index)
	}
	must.Less(t, 3*time.Second, time.Since(started))
	must.Between(t, 3000, queue.Dropped(), lines)
	close(reader.release)
	queue.Close(3 * time.Second)
	must.StrContains(t, reader.text(), "number=0")
	must.StrContains(t, reader.text(), fmt.Sprintf("total=%d", queue.Dropped()))
}
