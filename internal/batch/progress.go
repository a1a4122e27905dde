// Package batch holds the rules of batch jobs: the validation of jobs, the completion of groups, and when results are made
// durable. It is pure: it does no I/O, starts no goroutines and reads no clock.
package batch

import (
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

// ErrInvalid marks the errors of Validate.
var ErrInvalid = errors.New("the batch job is not valid")

const (
	maxItems     = 20000
	maxNameBytes = 200
)

// Validate returns an error marked with ErrInvalid if a job cannot be accepted.
func Validate(job *batchv1.Job) error {
	if len(job.GetItems()) == 0 || len(job.GetItems()) > maxItems {
		return invalid("a job must have 1 to %d items, but has %d", maxItems, len(job.GetItems()))
	}
	if !validName(job.GetId()) || strings.Contains(job.GetId(), ScopeSeparator) {
		return invalid("the job's identifier is empty, too long or has a slash or %q", ScopeSeparator)
	}
	seen := make(map[string]bool, len(job.GetItems()))
	for _, item := range job.GetItems() {
		switch {
		case !validName(item.GetId()):
			return invalid("an item's identifier is empty, too long or has a slash")
		case seen[item.GetId()]:
			return invalid("item %q is listed twice", item.GetId())
		case len(item.GetPath()) == 0 || item.GetPath()[0] != '/':
			return invalid("item %q has no path", item.GetId())
		case item.GetScorer() != nil && (item.GetScorer().GetId() == "" || item.GetScorer().GetPath() == ""):
			return invalid("item %q has a scorer without identifier or path", item.GetId())
		}
		seen[item.GetId()] = true
	}
	return nil
}

func invalid(format string, arguments ...any) error {
	return errors.Mark(errors.Newf(format, arguments...), ErrInvalid)
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for _, char := range []byte(name) {
		if char <= ' ' || char == '/' || char > '~' {
			return false
		}
	}
	return true
}

// Progress tracks the finished items and the complete groups of a job. It is not safe for concurrent use.
type Progress struct {
	groupOf   map[string]string
	remaining map[string]int // unfinished items by group
	finished  map[string]bool
	// required holds the incomplete groups that the trainer waits for, however many other groups are complete.
	required map[string]bool
	complete int
	wanted   int
}

// NewProgress returns the progress of a job without finished items. Each item without a group is a group of its own.
func NewProgress(job *batchv1.Job) *Progress {
	progress := &Progress{groupOf: make(map[string]string), remaining: make(map[string]int), finished: make(map[string]bool), required: make(map[string]bool)}
	for _, item := range job.GetItems() {
		group := item.GetGroup()
		if group == "" {
			group = "item/" + item.GetId()
		}
		progress.groupOf[item.GetId()] = group
		progress.remaining[group]++
	}
	progress.wanted = int(job.GetWantedGroups())
	if progress.wanted <= 0 || progress.wanted > len(progress.remaining) {
		progress.wanted = len(progress.remaining)
	}
	return progress
}

// Finish marks an item as finished, and reports whether it is an item of the job that was not finished before.
func (progress *Progress) Finish(itemID string) bool {
	group, known := progress.groupOf[itemID]
	if !known || progress.finished[itemID] {
		return false
	}
	progress.finished[itemID] = true
	progress.remaining[group]--
	if progress.remaining[group] == 0 {
		progress.complete++
		delete(progress.required, group)
	}
	return true
}

// RequireGroup marks the group of an item as one that the trainer waits for, because it contains an item of an earlier job that
// the trainer submitted again.
func (progress *Progress) RequireGroup(itemID string) {
	group, known := progress.groupOf[itemID]
	if known && progress.remaining[group] > 0 {
		progress.required[group] = true
	}
}

// GroupOf returns whether the trainer waits for the group of an item however many others are complete, and the number of unfinished items
// of the group.
func (progress *Progress) GroupOf(itemID string) (required bool, missing int) {
	group := progress.groupOf[itemID]
	return progress.required[group], progress.remaining[group]
}

// Finished reports whether an item is finished.
func (progress *Progress) Finished(itemID string) bool { return progress.finished[itemID] }

// WantedComplete reports whether all groups that the trainer waits for are complete: the wanted number of groups, and each
// required group.
func (progress *Progress) WantedComplete() bool {
	return progress.complete >= progress.wanted && len(progress.required) == 0
}

// Remaining returns the number of unfinished items.
func (progress *Progress) Remaining() int { return len(progress.groupOf) - len(progress.finished) }

// Done reports whether every item is finished.
func (progress *Progress) Done() bool { return len(progress.finished) == len(progress.groupOf) }

// FlushPolicy determines when results are made durable. Frequent writes cost calls to the metadata store; late writes delay the
// trainer.
type FlushPolicy struct {
	// MinInterval is the minimum time between two writes.
	MinInterval time.Duration
	// MaxWait is the maximum time that a finished result waits, unless MinInterval requires more.
	MaxWait time.Duration
	// FinalMinInterval is the minimum time between two writes once the groups that the trainer waits for are complete.
	FinalMinInterval time.Duration
}

// Delay returns how long the pending results wait from now on: until MaxWait after the oldest of them was finished, or not at
// all once the groups that the trainer waits for are complete; but always until the minimum interval after the last write has
// passed.
func (policy FlushPolicy) Delay(progress *Progress, now, oldestPending, lastWrite time.Time) time.Duration {
	due, interval := oldestPending.Add(policy.MaxWait), policy.MinInterval
	if progress.WantedComplete() || progress.Done() {
		due, interval = now, policy.FinalMinInterval
	}
	if earliest := lastWrite.Add(interval); due.Before(earliest) {
		due = earliest
	}
	return max(0, due.Sub(now))
}

// ExpectedOutput returns the expected number of output tokens of all items of a job.
func ExpectedOutput(job *batchv1.Job) int64 {
	total := int64(0)
	for _, item := range job.GetItems() {
		total += ExpectedTokens(item)
	}
	return total
}

// ExpectedTokens returns the expected number of output tokens of an item: the estimate of the caller, or else the limit of the
// item.
func ExpectedTokens(item *batchv1.Item) int64 {
	if hint := item.GetLengthHint(); hint > 0 {
		return hint
	}
	return item.GetOutputTokens()
}
