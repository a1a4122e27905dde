package membership

import (
	"sync"
	"time"
)

// maximumHealth bounds how much more patient a node becomes.
const maximumHealth = 8

// health is a node's doubt in itself: zero when its probes succeed, greater after each that fails and each suspicion of
// itself that it hears of. A node in doubt probes less often, waits longer for answers and gives suspects more time, so
// that an overloaded node does not declare healthy ones dead.
// Source: Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", DSN 2018.
type health struct {
	mu    sync.Mutex
	doubt int
	skip  int // ticks to pass before the next probe
}

// note counts a success or a failure.
func (health *health) note(success bool) {
	health.mu.Lock()
	defer health.mu.Unlock()
	if success {
		health.doubt = max(0, health.doubt-1)
		return
	}
	health.doubt = min(maximumHealth, health.doubt+1)
}

// due reports whether this tick probes.
func (health *health) due() bool {
	health.mu.Lock()
	defer health.mu.Unlock()
	if health.skip > 0 {
		health.skip--
		return false
	}
	health.skip = health.doubt
	return true
}

// stretch lengthens a time by the doubt.
func (health *health) stretch(base time.Duration) time.Duration {
	health.mu.Lock()
	defer health.mu.Unlock()
	return base * time.Duration(1+health.doubt)
}
