package batchrun

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

const (
	backupInterval = 250 * time.Millisecond
	backupLimit    = 400 * time.Millisecond
	// stuckAfter is how much longer than usual results may wait to be listed before they are backed up: answers to writes may
	// be lost while the store answers probes.
	stuckAfter = 300 * time.Millisecond
	// backupCopies is how many nodes keep the texts that can't be listed, partialCopies how many those that are not whole.
	backupCopies  = 2
	partialCopies = 1
	// partialLeast is how many events a text has when it is first backed up; then each time it has grown by partialGrowth.
	partialLeast  = 16
	partialGrowth = 1.6
	// savedStep is by how many events a text grows before it is saved in the log again, saveInterval the least time between two such
	// writes of a job when it lists no results meanwhile.
	savedStep    = 8
	saveInterval = time.Second
	// saveGather is how long a text that has grown waits for others to be saved with it.
	saveGather = 200 * time.Millisecond
	// unfinishedBytes bounds the texts that are saved of one job.
	unfinishedBytes = 700 << 10
)

// backUp has other nodes keep what would be lost with this process while the log can't take it: the texts of long items while they
// grow, and finished texts.
func (runner *Runner) backUp(owned *job) {
	ticker := time.NewTicker(backupInterval)
	defer ticker.Stop()
	sent := make(map[string]bool)
	for {
		select {
		case <-owned.ctx.Done():
			return
		case <-ticker.C:
		}
		if runner.Log.Health.Good() && !owned.isStuck(runner.Flush.Longest+stuckAfter) {
			continue
		}
		if partials := owned.takeGrowing(); len(partials) > 0 {
			runner.sendKept(owned, partials, partialCopies)
		}
		if partials := owned.unsent(sent); len(partials) > 0 {
			runner.sendKept(owned, partials, backupCopies)
		}
	}
}

// offerGrowing has the text of a running item saved if it has grown enough since it last was, and backed up if the log can't take it.
// It is called by the item's run.
func (running *task) offerGrowing() {
	if running.lastEvent < max(partialLeast, running.nextSave) {
		return
	}
	running.nextSave = running.lastEvent + savedStep
	partial := &batchv1.Partial{
		ItemId: running.item.GetId(), Text: bytes.Clone(running.text), LastEvent: running.lastEvent, Versions: slices.Clone(running.versions),
	}
	owned := running.job
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if running.lastEvent >= running.nextBackup {
		running.nextBackup = int64(partialGrowth * float64(running.lastEvent))
		owned.growing[partial.GetItemId()] = partial
	}
	owned.unfinished[partial.GetItemId()] = partial
	if owned.unlogged.IsZero() {
		owned.unlogged = time.Now()
		owned.wakeFlush()
	}
}

// unfinishedTexts returns the texts that are to be written, with a page of results or without, so that they outlive all processes:
// those of the longest items, as many as fit, if any has grown since they last were.
func (owned *job) unfinishedTexts(results []*batchv1.Result) []*batchv1.Partial {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if owned.unlogged.IsZero() {
		return nil
	}
	owned.unlogged = time.Time{}
	for _, result := range results {
		delete(owned.unfinished, result.GetItemId())
	}
	list := slices.Collect(maps.Values(owned.unfinished))
	slices.SortFunc(list, func(a, b *batchv1.Partial) int { return cmp.Compare(b.GetLastEvent(), a.GetLastEvent()) })
	size := 0
	for index, partial := range list {
		if size += len(partial.GetText()) + resultOverhead; size > unfinishedBytes {
			return list[:index]
		}
	}
	return list
}

// growingTexts returns the texts of running items as they were last saved.
func (owned *job) growingTexts() []*batchv1.Partial {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	var list []*batchv1.Partial
	for id, partial := range owned.unfinished {
		if !owned.progress.Finished(id) {
			list = append(list, partial)
		}
	}
	return list
}

// takeGrowing returns the texts that have grown since the last call, but for those of items that are finished.
func (owned *job) takeGrowing() []*batchv1.Partial {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	var list []*batchv1.Partial
	for id, partial := range owned.growing {
		if !owned.progress.Finished(id) {
			list = append(list, partial)
		}
	}
	clear(owned.growing)
	return list
}

// isStuck reports whether a result has waited for so long.
func (owned *job) isStuck(limit time.Duration) bool {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	return len(owned.pending) > 0 && time.Since(owned.since) > limit
}

// unsent returns the pending texts that are not marked as sent, and marks them.
func (owned *job) unsent(sent map[string]bool) []*batchv1.Partial {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	var list []*batchv1.Partial
	for _, result := range owned.pending {
		if result.GetTerminated() || sent[result.GetItemId()] {
			continue
		}
		sent[result.GetItemId()] = true
		list = append(list, wholePartial(result))
	}
	return list
}

// unlisted returns the pending texts.
func (owned *job) unlisted() []*batchv1.Partial { return owned.unsent(make(map[string]bool)) }

func wholePartial(result *batchv1.Result) *batchv1.Partial {
	return &batchv1.Partial{
		ItemId: result.GetItemId(), Text: result.GetText(), LastEvent: wholeText, Versions: result.GetVersions(), Whole: true,
	}
}

// wholeText stands for the last event of a text that is whole, which nobody goes on with.
const wholeText = 1

func (runner *Runner) sendKept(owned *job, partials []*batchv1.Partial, wanted int) {
	copies := 0
	for _, name := range runner.Peers.Nearest() {
		client := runner.Peers.Client(name)
		if client == nil || copies == wanted {
			continue
		}
		ctx, cancel := context.WithTimeout(owned.ctx, backupLimit)
		_, err := client.Keep(ctx, &batchv1.KeepRequest{JobId: owned.id(), Tenant: owned.definition.GetTenant(), Partials: partials})
		cancel()
		runner.Logger.Info("texts backed up", "job", owned.id(), "to", name, "count", len(partials), "error", err)
		if err == nil {
			copies++
		}
	}
}

// fetchKept asks the nodes that may keep texts of a job.
func (runner *Runner) fetchKept(ctx context.Context, id string) []*batchv1.Partial {
	ctx, cancel := context.WithTimeout(ctx, backupLimit)
	defer cancel()
	list := runner.kept.forJob(id)
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, name := range runner.Peers.Nearest() {
		client := runner.Peers.Client(name)
		if client == nil {
			continue
		}
		calls.Go(func() {
			response, err := client.Kept(ctx, &batchv1.KeptRequest{JobId: id})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			list = append(list, response.GetPartials()...)
		})
	}
	calls.Wait()
	return list
}
