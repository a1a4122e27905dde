package batchrun

import (
	"slices"
	"time"

	"github.com/charmbracelet/log"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

// stage is where an unfinished item is at the owner of its job.
type stage int

const (
	stageNone    stage = iota // neither queued nor running
	stageWaiting              // in the scheduler's queue
	stageRunning              // in an attempt at a replica
	stageScoring              // its text is whole, and its score is awaited
)

var stageNames = [...]string{"none", "waiting", "running", "scoring"}

// String returns the name used in logs.
func (stage stage) String() string { return stageNames[stage] }

// stageEntry records since when an item has been in a stage, and what its attempts led to before. It is immutable.
type stageEntry struct {
	stage       stage
	since       time.Time
	attempts    int
	lastOutcome string
	events      int64
}

// enter records that the item is in a stage from now on, with its attempts and events at this moment. Only the owner of the task's fields calls it.
func (entering *task) enter(stage stage, now time.Time) {
	entering.current.Store(&stageEntry{
		stage: stage, since: now, attempts: entering.attempts, lastOutcome: entering.lastOutcomeName(), events: entering.lastEvent,
	})
}

// maxUnfinishedLines bounds the log lines on the unfinished items of one job.
const maxUnfinishedLines = 10

// unfinishedItem is an item without a result.
type unfinishedItem struct {
	item     *batchv1.Item
	entry    stageEntry
	required bool
}

// unfinishedItems returns the items without a result, those that have been in their stage for longest first. It must be called with mu held.
func (owned *job) unfinishedItems() []unfinishedItem {
	var list []unfinishedItem
	for _, item := range owned.definition.GetItems() {
		if owned.progress.Finished(item.GetId()) {
			continue
		}
		unfinished := unfinishedItem{item: item, entry: stageEntry{since: owned.createdAt}}
		if created := owned.tasks[item.GetId()]; created != nil {
			if entry := created.current.Load(); entry != nil {
				unfinished.entry = *entry
			}
		}
		unfinished.required, _ = owned.progress.GroupOf(item.GetId())
		list = append(list, unfinished)
	}
	slices.SortStableFunc(list, func(a, b unfinishedItem) int { return a.entry.since.Compare(b.entry.since) })
	return list
}

// logUnfinished logs where the items of an ending job are that have no result.
func logUnfinished(logger *log.Logger, job string, items []unfinishedItem, now time.Time) {
	for index, unfinished := range items {
		if index == maxUnfinishedLines {
			return
		}
		entry := unfinished.entry
		logger.Info("item unfinished", "request", unfinished.item.GetId(), "job", job, "stage", entry.stage, "stage_ms", now.Sub(entry.since).Milliseconds(),
			"attempts", entry.attempts, "last_outcome", entry.lastOutcome, "events", entry.events, "required", unfinished.required,
			"lines_left_out", max(0, len(items)-maxUnfinishedLines))
	}
}
