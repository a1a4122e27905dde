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
	backupTimeout  = 400 * time.Millisecond
	// appendStallMargin is added to the longest usual wait before pending results count as stalled: the answers to appends can
	// be lost while the store still answers probes.
	appendStallMargin = 300 * time.Millisecond
	// backupCopies is the number of nodes that keep a complete text, partialCopies the number that keep an incomplete one.
	backupCopies  = 2
	partialCopies = 1
	// minBackupEvents is the number of events at which a text is first backed up. It is backed up again each time it has grown
	// by the factor backupGrowth.
	minBackupEvents = 16
	backupGrowth    = 1.6
	// saveStep is the number of events by which a text grows before it is saved in the log again. saveInterval is the minimum
	// time between two such writes of a job that appends no results in between.
	saveStep     = 8
	saveInterval = time.Second
	// saveBatchDelay is how long a grown text waits for others to be saved in the same write.
	saveBatchDelay = 200 * time.Millisecond
	// maxUnfinishedBytes bounds the unfinished texts saved per job.
	maxUnfinishedBytes = 700 << 10
)

// backUp sends texts to other nodes while the log cannot take them, so that they survive this process: the growing texts of
// running items and the complete texts of pending results.
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
		if runner.Log.Health.Good() && !owned.appendStalled(runner.Flush.MaxWait+appendStallMargin) {
			continue
		}
		if partials := owned.takeGrown(); len(partials) > 0 {
			runner.sendBackup(owned, partials, partialCopies)
		}
		if partials := owned.takeUnsent(sent); len(partials) > 0 {
			runner.sendBackup(owned, partials, backupCopies)
		}
	}
}

// queueSave queues the text of a running item to be saved in the log, and for backup, once it has grown enough. Only the
// goroutine that runs the item calls it.
func (running *task) queueSave() {
	if running.lastEvent < max(minBackupEvents, running.nextSave) {
		return
	}
	running.nextSave = running.lastEvent + saveStep
	partial := &batchv1.Partial{
		ItemId: running.item.GetId(), Text: bytes.Clone(running.text), LastEvent: running.lastEvent, Versions: slices.Clone(running.versions),
	}
	owned := running.job
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if running.lastEvent >= running.nextBackup {
		running.nextBackup = int64(backupGrowth * float64(running.lastEvent))
		owned.grown[partial.GetItemId()] = partial
	}
	owned.unfinished[partial.GetItemId()] = partial
	if owned.unsavedSince.IsZero() {
		owned.unsavedSince = time.Now()
		owned.wakeFlush()
	}
}

// queueSaveComplete queues the text of a complete item that waits for its score, so that another owner of the job only scores it. A text
// shorter than minBackupEvents is generated again as soon as it is read.
func (running *task) queueSaveComplete() {
	if running.lastEvent < minBackupEvents {
		return
	}
	partial := &batchv1.Partial{ItemId: running.item.GetId(), Text: running.text, LastEvent: running.lastEvent, Versions: running.versions, Whole: true}
	owned := running.job
	owned.mu.Lock()
	defer owned.mu.Unlock()
	owned.grown[partial.GetItemId()] = partial
	owned.unfinished[partial.GetItemId()] = partial
	if owned.unsavedSince.IsZero() {
		owned.unsavedSince = time.Now()
		owned.wakeFlush()
	}
}

// takeUnsaved returns the unfinished texts to save in the log along with the given results, longest first, up to
// maxUnfinishedBytes. It returns nil if no text has grown since the last call.
func (owned *job) takeUnsaved(results []*batchv1.Result) []*batchv1.Partial {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	if owned.unsavedSince.IsZero() {
		return nil
	}
	owned.unsavedSince = time.Time{}
	for _, result := range results {
		delete(owned.unfinished, result.GetItemId())
	}
	list := slices.Collect(maps.Values(owned.unfinished))
	slices.SortFunc(list, func(a, b *batchv1.Partial) int { return cmp.Compare(b.GetLastEvent(), a.GetLastEvent()) })
	size := 0
	for index, partial := range list {
		if size += len(partial.GetText()) + resultOverhead; size > maxUnfinishedBytes {
			return list[:index]
		}
	}
	return list
}

// runningTexts returns the texts of unfinished items as they were last queued to be saved.
func (owned *job) runningTexts() []*batchv1.Partial {
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

// takeGrown returns the texts of unfinished items that have grown since the last call.
func (owned *job) takeGrown() []*batchv1.Partial {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	var list []*batchv1.Partial
	for id, partial := range owned.grown {
		if !owned.progress.Finished(id) {
			list = append(list, partial)
		}
	}
	clear(owned.grown)
	return list
}

// appendStalled reports whether the oldest pending result has waited longer than the limit.
func (owned *job) appendStalled(limit time.Duration) bool {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	return len(owned.pending) > 0 && time.Since(owned.pendingSince) > limit
}

// takeUnsent returns the pending texts that are not marked as sent, and marks them.
func (owned *job) takeUnsent(sent map[string]bool) []*batchv1.Partial {
	owned.mu.Lock()
	defer owned.mu.Unlock()
	var list []*batchv1.Partial
	for _, result := range owned.pending {
		if result.GetTerminated() || sent[result.GetItemId()] {
			continue
		}
		sent[result.GetItemId()] = true
		list = append(list, completePartial(result))
	}
	return list
}

func (owned *job) pendingTexts() []*batchv1.Partial { return owned.takeUnsent(make(map[string]bool)) }

func completePartial(result *batchv1.Result) *batchv1.Partial {
	return &batchv1.Partial{
		ItemId: result.GetItemId(), Text: result.GetText(), LastEvent: completeTextEvent, Versions: result.GetVersions(), Whole: true,
	}
}

// completeTextEvent is the last event given for a complete text. Any positive value does, because no replica resumes a complete
// text.
const completeTextEvent = 1

// sendBackup sends texts to the nearest nodes until the wanted number of them has stored the texts.
func (runner *Runner) sendBackup(owned *job, partials []*batchv1.Partial, wanted int) {
	stored := 0
	for _, name := range runner.Peers.Nearest() {
		client := runner.Peers.Client(name)
		if client == nil || stored == wanted {
			continue
		}
		ctx, cancel := context.WithTimeout(owned.ctx, backupTimeout)
		_, err := client.Keep(ctx, &batchv1.KeepRequest{JobId: owned.id(), Tenant: owned.definition.GetTenant(), Partials: partials})
		cancel()
		runner.Logger.Info("texts backed up", "job", owned.id(), "to", name, "count", len(partials), "error", err)
		if err == nil {
			stored++
		}
	}
}

// fetchBackups returns the texts of a job that this node and the nearest nodes keep.
func (runner *Runner) fetchBackups(ctx context.Context, id string) []*batchv1.Partial {
	ctx, cancel := context.WithTimeout(ctx, backupTimeout)
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
