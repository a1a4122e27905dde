package batchrun_test

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

// endAt ends a job at a node.
func (world *world) endAt(t *testing.T, name, id string) {
	t.Helper()
	must.NoError(t, world.node(name).End(t.Context(), noTenant, id))
}

// resumedAfter returns the event after which the last run of an item resumed.
func (engines *engines) resumedAfter(item string) int64 {
	engines.mu.Lock()
	defer engines.mu.Unlock()
	return engines.resumed[item]
}

// Guards against an owner that makes kept texts anew, and does not know that the trainer waits for their groups, since another node ran the earlier job.
func TestGroupsBroughtBackAreKnownAtAnotherNode(t *testing.T) {
	inWorld(t, 81, func(t *testing.T, world *world) {
		former := newDefinition(longJob, 4, 1)
		must.NoError(t, submitAtNode(t.Context(), world.node("a"), former))
		time.Sleep(time.Second)
		world.endAt(t, "a", longJob)
		next := newDefinition("next", 8, 1)
		copy(next.Items, former.Items)
		must.NoError(t, submitAtNode(t.Context(), world.node("b"), next))
		time.Sleep(200 * time.Millisecond)
		for _, item := range former.GetItems() {
			must.Greater(t, 10, world.engines.resumedAfter(item.GetId()))
		}
		world.endAt(t, "b", "next")
		must.StrContains(t, world.lineOf("item unfinished"), "required=true")
	})
}

// Guards against scores of a group that the trainer waits for lying as spare behind those of other jobs, since another node ran the earlier job.
func TestScoresOfGroupsBroughtBackAreNotSpareAtAnotherNode(t *testing.T) {
	const scoreTime, otherItems = 100 * time.Millisecond, 60
	inScoringWorld(t, 1, scoreTime, func(t *testing.T, world *world, scorers *scorers) {
		former := newDefinition(longJob, 2, 1)
		must.NoError(t, submitAtNode(t.Context(), world.node("a"), former))
		time.Sleep(time.Second)
		world.endAt(t, "a", longJob)
		must.NoError(t, submitAtNode(t.Context(), world.node("b"), newDefinition("other", otherItems, 1)))
		next := newDefinition("next", 4, 1)
		copy(next.Items, former.Items)
		next.Items[0].Group, next.Items[1].Group, next.WantedGroups = "back", "back", 1
		must.NoError(t, submitAtNode(t.Context(), world.node("b"), next))
		began := time.Now()
		for !listsAll(t, world, "next", former.GetItems()) {
			must.Less(t, otherItems*scoreTime/2, time.Since(began), must.Sprint("the scores wait for those of the other job"))
			time.Sleep(scoreTime)
		}
	})
}

func listsAll(t *testing.T, world *world, id string, items []*batchv1.Item) bool {
	t.Helper()
	results, err := readAll(t.Context(), world.node("b"), id)
	must.NoError(t, err)
	return !slices.ContainsFunc(items, func(item *batchv1.Item) bool {
		return !slices.ContainsFunc(results, func(result *batchv1.Result) bool { return result.GetItemId() == item.GetId() })
	})
}

// Guards against texts and marks of a job that reach a job of another tenant.
func TestNothingIsAskedOfAnotherTenantsJob(t *testing.T) {
	inWorld(t, 82, func(t *testing.T, world *world) {
		former, next := newDefinition(longJob, 2, 1), newDefinition("next", 2, 1)
		former.Tenant, next.Tenant = "harbour", "airport"
		must.NoError(t, submitAtNode(t.Context(), world.node("a"), former))
		time.Sleep(time.Second)
		world.endAt(t, "a", longJob)
		copy(next.Items, former.Items)
		must.NoError(t, submitAtNode(t.Context(), world.node("b"), next))
		time.Sleep(200 * time.Millisecond)
		for _, item := range former.GetItems() {
			must.Eq(t, 0, world.engines.resumedAfter(item.GetId()))
		}
		world.endAt(t, "b", "next")
		must.StrContains(t, world.lineOf("item unfinished"), "required=false")
	})
}
