package role

import (
	"maps"
	"sync"
	"time"
)

// ownerTTL is how long a node counts as running jobs after its last announcement. It exceeds the usual interval between
// two steps of a trainer.
const ownerTTL = 10 * time.Second

// owners tracks the nodes that recently announced jobs, because nodes that run jobs need to know each other's requests
// in flight. It is safe for concurrent use.
type owners struct {
	mu        sync.Mutex
	announced map[string]time.Time // by node
}

func newOwners() *owners { return &owners{announced: make(map[string]time.Time)} }

// record records that a node announced a job.
func (owners *owners) record(node string, now time.Time) {
	owners.mu.Lock()
	defer owners.mu.Unlock()
	owners.announced[node] = now
}

// recent returns the names of the nodes that announced a job within ownerTTL.
func (owners *owners) recent(now time.Time) map[string]bool {
	owners.mu.Lock()
	defer owners.mu.Unlock()
	maps.DeleteFunc(owners.announced, func(_ string, at time.Time) bool { return now.Sub(at) > ownerTTL })
	names := make(map[string]bool, len(owners.announced))
	for name := range owners.announced {
		names[name] = true
	}
	return names
}
