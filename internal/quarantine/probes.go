package quarantine

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

const (
	// probeLimit bounds the question whether anybody listens at a replica's address still: an answer takes one way there and back.
	probeLimit = 50 * time.Millisecond
	// probeAfter is how long a request that broke off for the first time may be answered by another replica before the first is probed. Most are:
	// probing at each break would make connections for nothing where replicas break answers off without ending.
	probeAfter = 200 * time.Millisecond
	// probeLife is how long an answer holds: a replica that ends breaks off some 16 requests at one time, and where it did not end, each
	// question would cost it a connection.
	probeLife = 100 * time.Millisecond
	// probesMost bounds the answers that are remembered.
	probesMost = 256
)

// probes are the newest answers to whether replicas refuse connections. The zero value has none; it is safe for concurrent use.
type probes struct {
	flight singleflight.Group

	mu      sync.Mutex
	answers map[string]probeAnswer // by replica
}

type probeAnswer struct {
	refused bool
	at      time.Time
}

// refuses reports whether a replica refuses connections, as it did just now or does when asked. One question is asked at a time, whose
// answer does not depend on the request that asks first.
func (probes *probes) refuses(ctx context.Context, prober Prober, replica *catalog.Replica) bool {
	if known, ok := probes.recent(replica.ID, time.Now()); ok {
		return known
	}
	answer, _, _ := probes.flight.Do(replica.ID, func() (any, error) {
		probeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeLimit)
		defer cancel()
		refused := prober.Refuses(probeCtx, replica)
		probes.remember(replica.ID, refused, time.Now())
		return refused, nil
	})
	return answer.(bool)
}

func (probes *probes) recent(replica string, now time.Time) (refused, known bool) {
	probes.mu.Lock()
	defer probes.mu.Unlock()
	answer, known := probes.answers[replica]
	return answer.refused, known && now.Sub(answer.at) <= probeLife
}

func (probes *probes) remember(replica string, refused bool, now time.Time) {
	probes.mu.Lock()
	defer probes.mu.Unlock()
	if probes.answers == nil || len(probes.answers) >= probesMost {
		probes.answers = make(map[string]probeAnswer)
	}
	probes.answers[replica] = probeAnswer{refused, now}
}
