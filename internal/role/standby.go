package role

import (
	"context"
	"time"
)

const (
	// standbyAfter is the time without a publisher after which fronts stand for election as orderer. It exceeds the
	// duration of an election among the dedicated candidates.
	standbyAfter = 7 * time.Second
	// standbyStoreStable is how long the metadata store must have been answering before a front stands for election.
	standbyStoreStable = 4 * time.Second
	standbyPeriod      = time.Second
	// standbyKey is the key by which the fronts of a zone are ranked to choose the one that stands for election.
	standbyKey = "orderer"
)

// standBy lets this front stand for election as orderer, in addition to its own work, once all dedicated candidates are
// gone: their machines may have been removed for good. Only one front of each zone does so. It returns when the front
// ends.
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
		front.Logger.Warn("standing for orderer", "silent_ms", front.subscriber.PublisherSilence(time.Now()).Milliseconds(), "error", err)
		if err != nil {
			continue
		}
		<-ctx.Done()
		orderer.Stop()
		return
	}
}

func (front *Front) shouldStandBy(now time.Time) bool {
	return front.subscriber.PublisherSilence(now) > standbyAfter && front.health.GoodFor(standbyStoreStable) && front.Registry.Preferred(standbyKey) == front.Node
}
