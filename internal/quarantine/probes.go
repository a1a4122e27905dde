package quarantine

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

const (
	// probeTimeout bounds one probe, which takes one network round trip.
	probeTimeout = 50 * time.Millisecond
	// probeDelay is how long another replica has to answer a request that was interrupted once before the first replica is
	// probed. Most interrupted requests are answered by then, so that replicas which interrupt answers without crashing
	// are not probed needlessly.
	probeDelay = 200 * time.Millisecond
	// probeCacheTTL is how long the result of a probe is reused. A crash interrupts many requests at once, and each probe
	// costs a live replica a connection.
	probeCacheTTL = 100 * time.Millisecond
	// maxProbeAnswers bounds the cached results.
	maxProbeAnswers = 256
)

// probeCache holds the most recent probe results. The zero value is empty; it is safe for concurrent use.
type probeCache struct {
	flight singleflight.Group

	mu      sync.Mutex
	answers map[string]probeAnswer // by replica
}

type probeAnswer struct {
	refused bool
	at      time.Time
}

// refuses reports whether a replica refuses connections, from the cache or by a probe. Concurrent calls for a replica
// share one probe, which does not end with the context of the call that started it.
func (probes *probeCache) refuses(ctx context.Context, prober Prober, replica *catalog.Replica) bool {
	if known, ok := probes.recent(replica.ID, time.Now()); ok {
		return known
	}
	answer, _, _ := probes.flight.Do(replica.ID, func() (any, error) {
		probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
		defer cancel()
		refused := prober.Refuses(probeCtx, replica)
		probes.remember(replica.ID, refused, time.Now())
		return refused, nil
	})
	return answer.(bool)
}

func (probes *probeCache) recent(replica string, now time.Time) (refused, known bool) {
	probes.mu.Lock()
	defer probes.mu.Unlock()
	answer, known := probes.answers[replica]
	return answer.refused, known && now.Sub(answer.at) <= probeCacheTTL
}

func (probes *probeCache) remember(replica string, refused bool, now time.Time) {
	probes.mu.Lock()
	defer probes.mu.Unlock()
	if probes.answers == nil || len(probes.answers) >= maxProbeAnswers {
		probes.answers = make(map[string]probeAnswer)
	}
	probes.answers[replica] = probeAnswer{refused, now}
}
