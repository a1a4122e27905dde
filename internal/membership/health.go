package membership

import (
	"sync"
	"time"
)

// maxHealthScore bounds the factor by which timeouts and probe intervals grow.
const maxHealthScore = 8

// health is the local health score of this node: zero while its probes succeed, higher after each failed probe and each
// suspicion of itself that it refutes. A node with a high score probes less often, waits longer for answers and gives
// suspects more time to refute, so that an overloaded node does not declare healthy members dead.
// Source: Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection", DSN
// 2018.
type health struct {
	mu        sync.Mutex
	score     int
	skipTicks int // ticks to skip before the next probe
}

// record lowers the score after a success and raises it after a failure.
func (health *health) record(success bool) {
	health.mu.Lock()
	defer health.mu.Unlock()
	if success {
		health.score = max(0, health.score-1)
		return
	}
	health.score = min(maxHealthScore, health.score+1)
}

// shouldProbe reports whether to probe in this tick. With score n, it returns true in one of n+1 ticks.
func (health *health) shouldProbe() bool {
	health.mu.Lock()
	defer health.mu.Unlock()
	if health.skipTicks > 0 {
		health.skipTicks--
		return false
	}
	health.skipTicks = health.score
	return true
}

// scale multiplies a duration by one plus the score.
func (health *health) scale(base time.Duration) time.Duration {
	health.mu.Lock()
	defer health.mu.Unlock()
	return base * time.Duration(1+health.score)
}
