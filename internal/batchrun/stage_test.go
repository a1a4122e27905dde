package batchrun_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against an item that is unfinished at the end of its job without a line that says where it was.
func TestUnfinishedItemsAreLoggedAtTheEndOfTheirJob(t *testing.T) {
	for _, check := range []struct {
		stage   string
		minimum int64
		prepare func(world *world)
	}{
		{"waiting", 2, func(*world) {}},
		{"running", 1, func(world *world) {
			world.engines.gaps = map[string]time.Duration{"e1": 600 * time.Millisecond, "e2": 600 * time.Millisecond}
		}},
		{"scoring", 1, func(world *world) { world.removeService("scorer") }},
	} {
		inWorld(t, 1, func(t *testing.T, world *world) {
			check.prepare(world)
			must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("j", 1, check.minimum), jobRoute))
			time.Sleep(time.Second)
			must.NoError(t, world.node("a").End(t.Context(), noTenant, "j"))
			line := world.lineOf("item unfinished")
			must.StrContains(t, line, "request=j-")
			must.StrContains(t, line, "stage="+check.stage)
			must.StrContains(t, line, "required=false")
			must.Between(t, 200, numberIn(t, line, "stage_ms"), 1000)
		})
	}
}
