// Package batch holds the rules of batch jobs: what a valid job is, which groups are whole, when results are worth making
// durable. It is pure: no I/O, no goroutine, no clock of its own.
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
	maximumItems = 20000
	maximumName  = 200
)

// Validate reports why a job can't be taken. The error is marked with ErrInvalid.
func Validate(job *batchv1.Job) error {
	if len(job.GetItems()) == 0 || len(job.GetItems()) > maximumItems {
		return invalid("a job has 1 to %d items, not %d", maximumItems, len(job.GetItems()))
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
			return invalid("item %q stands twice", item.GetId())
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
	if name == "" || len(name) > maximumName {
		return false
	}
	for _, char := range []byte(name) {
		if char <= ' ' || char == '/' || char > '~' {
			return false
		}
	}
	return true
}

// Progress counts which items of a job are done and which groups are whole. The caller serializes its calls.
type Progress struct {
	groupOf   map[string]string
	remaining map[string]int // unfinished items by group
	finished  map[string]bool
	// required are the groups that are not whole yet and that the trainer waits for, whatever else is whole.
	required map[string]bool
	whole    int
	wanted   int
}

// NewProgress returns the progress of a job of which nothing is done. Items without a group are groups of their own.
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

// Finish counts an item, and reports whether it was not counted before.
func (progress *Progress) Finish(itemID string) bool {
	group, known := progress.groupOf[itemID]
	if !known || progress.finished[itemID] {
		return false
	}
	progress.finished[itemID] = true
	progress.remaining[group]--
	if progress.remaining[group] == 0 {
		progress.whole++
		delete(progress.required, group)
	}
	return true
}

// Require notes that the trainer waits for the group of an item, whatever else is whole: it brought the group back.
func (progress *Progress) Require(itemID string) {
	group, known := progress.groupOf[itemID]
	if known && progress.remaining[group] > 0 {
		progress.required[group] = true
	}
}

// Finished reports whether an item is counted.
func (progress *Progress) Finished(itemID string) bool { return progress.finished[itemID] }

// Enough reports whether as many groups are whole as the trainer waits for, those that it brought back among them.
func (progress *Progress) Enough() bool {
	return progress.whole >= progress.wanted && len(progress.required) == 0
}

// Done reports whether every item is counted.
func (progress *Progress) Done() bool { return len(progress.finished) == len(progress.groupOf) }

// FlushPolicy says when results are made durable. A write costs a call, a late listing costs the trainer time.
type FlushPolicy struct {
	// Spacing is the least time between two writes; Longest is how long a finished result may wait.
	Spacing time.Duration
	Longest time.Duration
	// FinalSpacing is the least time between two writes once the trainer's groups are whole: the next may be all that it waits for.
	FinalSpacing time.Duration
}

// Delay returns how long the pending results wait from now: none once the trainer's groups are whole, at most Longest after
// the oldest was finished, and never less than the spacing after the last write.
func (policy FlushPolicy) Delay(progress *Progress, now, oldestPending, lastWrite time.Time) time.Duration {
	due, spacing := oldestPending.Add(policy.Longest), policy.Spacing
	if progress.Enough() || progress.Done() {
		due, spacing = now, policy.FinalSpacing
	}
	if earliest := lastWrite.Add(spacing); due.Before(earliest) {
		due = earliest
	}
	return max(0, due.Sub(now))
}

// ExpectedOutput returns the tokens that a job is likely to make: the callers' estimates, or the most that items may make.
func ExpectedOutput(job *batchv1.Job) int64 {
	total := int64(0)
	for _, item := range job.GetItems() {
		total += ExpectedTokens(item)
	}
	return total
}

// ExpectedTokens returns the tokens that an item is likely to make.
func ExpectedTokens(item *batchv1.Item) int64 {
	if hint := item.GetLengthHint(); hint > 0 {
		return hint
	}
	return item.GetOutputTokens()
}
