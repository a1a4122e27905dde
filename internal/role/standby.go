package role

import (
	"context"
	"time"
)

const (
	// standbyAfter is how long nobody may have published before fronts stand for the election of the orderer: longer than an
	// election takes among the nodes that do so always.
	standbyAfter = 7 * time.Second
	// standbyCalm is how long the metadata store must have answered then.
	standbyCalm   = 4 * time.Second
	standbyPeriod = time.Second
	// standbyKey ranks the fronts of a zone for standing by.
	standbyKey = "orderer"
)

// standBy has this front stand for the election of the orderer, besides its own work, once the nodes that always do are all gone:
// machines may be taken away for good. It does so until the front ends. One front of each zone is enough.
func (front *Front) standBy(ctx context.Context) {
	ticker := time.NewTicker(standbyPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if !front.shouldStandBy(now) {
				continue
			}
		}
		orderer, err := front.StartOrderer()
		front.Logger.Warn("standing for orderer", "silent_ms", front.subscriber.Silent(time.Now()).Milliseconds(), "error", err)
		if err != nil {
			continue
		}
		<-ctx.Done()
		orderer.Stop()
		return
	}
}

func (front *Front) shouldStandBy(now time.Time) bool {
	return front.subscriber.Silent(now) > standbyAfter && front.health.GoodFor(standbyCalm) && front.Registry.Preferred(standbyKey) == front.Node
}
