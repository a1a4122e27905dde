package batch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batch"
)

func job(wanted int32, groups ...string) *batchv1.Job {
	created := &batchv1.Job{Id: "job", WantedGroups: wanted}
	for index, group := range groups {
		created.Items = append(created.Items, &batchv1.Item{Id: fmt.Sprint("item-", index), Path: "/p", Group: group})
	}
	return created
}

func TestProgress(t *testing.T) {
	progress := batch.NewProgress(job(1, "a", "a", "b", "b"))
	must.True(t, progress.Finish("item-0"))
	must.False(t, progress.Finish("item-0"))
	must.False(t, progress.Finish("unknown"))
	must.True(t, progress.Finish("item-2"))
	must.False(t, progress.WantedComplete())
	must.True(t, progress.Finish("item-1"))
	must.True(t, progress.WantedComplete())
	must.False(t, progress.Done())
	must.True(t, progress.Finish("item-3"))
	must.True(t, progress.Done())
}

func TestFlushDelay(t *testing.T) {
	policy := batch.FlushPolicy{MinInterval: 250 * time.Millisecond, MaxWait: 800 * time.Millisecond, FinalMinInterval: 60 * time.Millisecond}
	now := time.Unix(100, 0)
	progress := batch.NewProgress(job(1, "a", "a", "b"))
	must.Eq(t, 800*time.Millisecond, policy.Delay(progress, now, now, time.Time{}))
	must.Eq(t, 0, policy.Delay(progress, now.Add(time.Second), now, time.Time{}))
	progress.Finish("item-2")
	must.Eq(t, 0, policy.Delay(progress, now, now, time.Time{}))
	must.Eq(t, 50*time.Millisecond, policy.Delay(progress, now, now, now.Add(-10*time.Millisecond)))
	must.Eq(t, 0, policy.Delay(progress, now, now, now.Add(-100*time.Millisecond)))
	progress = batch.NewProgress(job(1, "a", "b"))
	must.Eq(t, 800*time.Millisecond, policy.Delay(progress, now, now, now.Add(-100*time.Millisecond)))
	must.Eq(t, 150*time.Millisecond, policy.Delay(progress, now, now.Add(-time.Second), now.Add(-100*time.Millisecond)))
}

// A required group must complete before the wanted groups count as complete, even if enough other groups are complete.
func TestBroughtBackGroupsAreRequired(t *testing.T) {
	progress := batch.NewProgress(job(1, "a", "a", "b"))
	progress.RequireGroup("item-0")
	progress.RequireGroup("unknown")
	must.True(t, progress.Finish("item-2"))
	must.False(t, progress.WantedComplete())
	must.True(t, progress.Finish("item-0"))
	must.False(t, progress.WantedComplete())
	must.True(t, progress.Finish("item-1"))
	must.True(t, progress.WantedComplete())
	progress.RequireGroup("item-0")
	must.True(t, progress.WantedComplete(), must.Sprint("the group is complete already"))
}

func TestValidate(t *testing.T) {
	must.NoError(t, batch.Validate(job(1, "a")))
	cases := map[string]func(*batchv1.Job){
		"no items":            func(job *batchv1.Job) { job.Items = nil },
		"no identifier":       func(job *batchv1.Job) { job.Id = "" },
		"identifier too long": func(job *batchv1.Job) { job.Id = strings.Repeat("x", 300) },
		"slash":               func(job *batchv1.Job) { job.Id = "a/b" },
		"item twice":          func(job *batchv1.Job) { job.Items = append(job.Items, job.Items[0]) },
		"item unnamed":        func(job *batchv1.Job) { job.Items[0].Id = "" },
		"item without path":   func(job *batchv1.Job) { job.Items[0].Path = "relative" },
		"scorer unnamed":      func(job *batchv1.Job) { job.Items[0].Scorer = &batchv1.Scorer{Path: "/"} },
	}
	for name, corrupt := range cases {
		t.Run(name, func(t *testing.T) {
			corrupted := job(1, "a")
			corrupt(corrupted)
			must.True(t, errors.Is(batch.Validate(corrupted), batch.ErrInvalid))
		})
	}
}
