package batchrun_test

import (
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batch"
	"github.com/thistlewalk/thistlewalk/internal/batchrun"
)

func definitionOf(tenant, id string, items int) *batchv1.Job {
	definition := newDefinition(id, items, 1)
	definition.Tenant = tenant
	return definition
}

// withTenants enables tenants in the configuration.
func (world *world) withTenants() {
	configuration := *world.catalog.Configuration()
	configuration.Version++
	configuration.Multitenant = true
	configuration.Index()
	world.catalog.SetConfiguration(&configuration)
}

// Guards against access by another tenant, or by a caller without one, to a job by any name: at its owner, from copies, through
// other nodes, or from the log after its end. The calls must not reveal that the job exists.
func TestJobsOfTenants(t *testing.T) {
	inWorld(t, 31, func(t *testing.T, world *world) {
		world.withTenants()
		must.NoError(t, world.node("a").Submit(t.Context(), definitionOf("harbour", "job", 6), jobRoute))
		time.Sleep(4 * time.Second)
		item := newDefinition("job", 6, 1).GetItems()[0].GetId()
		askAll := func(when string) {
			for _, name := range []string{"a", "b", "c"} {
				page, err := world.node(name).Read(t.Context(), "harbour", "job", 0, 0)
				must.NoError(t, err, must.Sprint(when, name))
				must.Eq(t, 6, len(page.Results), must.Sprint(when, name))
				for _, other := range []string{"airport", noTenant} {
					for _, named := range []string{"job", batch.ScopedID("harbour", "job")} {
						_, err = world.node(name).Read(t.Context(), other, named, 0, 0)
						must.True(t, errors.Is(err, batchrun.ErrNotFound), must.Sprint(when, name, other, named, err))
						_, err = world.node(name).Body(t.Context(), other, named, item)
						must.True(t, errors.Is(err, batchrun.ErrNotFound), must.Sprint(when, name, other, named, err))
						err = world.node(name).End(t.Context(), other, named)
						must.True(t, errors.Is(err, batchrun.ErrNotFound), must.Sprint(when, name, other, named, err))
					}
				}
			}
		}
		askAll("open")
		must.NoError(t, world.node("b").End(t.Context(), "harbour", "job"))
		askAll("ended")
	})
}

// Guards against mixing the results of two tenants that use the same identifiers for jobs and items.
func TestTenantsWithTheSameIdentifiers(t *testing.T) {
	inWorld(t, 32, func(t *testing.T, world *world) {
		world.withTenants()
		must.NoError(t, world.node("a").Submit(t.Context(), definitionOf("harbour", "job", 4), jobRoute))
		must.NoError(t, world.node("a").Submit(t.Context(), definitionOf("airport", "job", 8), jobRoute))
		time.Sleep(4 * time.Second)
		for tenant, total := range map[string]int{"harbour": 4, "airport": 8} {
			page, err := world.node("c").Read(t.Context(), tenant, "job", 0, 0)
			must.NoError(t, err)
			must.Eq(t, total, page.Total, must.Sprint(tenant))
			must.Eq(t, total, len(page.Results), must.Sprint(tenant))
		}
	})
}

// Guards against losing or mixing jobs that two tenants submit concurrently under one identifier, at one node and at several.
func TestTenantsWithTheSameIdentifierAtOnce(t *testing.T) {
	inWorld(t, 34, func(t *testing.T, world *world) {
		world.withTenants()
		var submissions sync.WaitGroup
		for _, name := range []string{"a", "a", "b", "c"} {
			for tenant, items := range map[string]int{"harbour": 4, "airport": 8} {
				submissions.Go(func() {
					must.NoError(t, world.node(name).Submit(t.Context(), definitionOf(tenant, "job", items), jobRoute))
				})
			}
		}
		submissions.Wait()
		time.Sleep(4 * time.Second)
		for _, name := range []string{"a", "b", "c"} {
			for tenant, total := range map[string]int{"harbour": 4, "airport": 8} {
				page, err := world.node(name).Read(t.Context(), tenant, "job", 0, 0)
				must.NoError(t, err)
				must.Eq(t, total, len(page.Results), must.Sprint(name, tenant))
			}
		}
	})
}

// Guards against losing access to jobs that were accepted before the deployment had tenants. Any tenant may use them.
func TestJobsFromBeforeTenants(t *testing.T) {
	inWorld(t, 33, func(t *testing.T, world *world) {
		world.withTenants()
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 4, 1), jobRoute))
		time.Sleep(3 * time.Second)
		page, err := world.node("b").Read(t.Context(), "harbour", "job", 0, 0)
		must.NoError(t, err)
		must.Eq(t, 4, len(page.Results))
		must.NoError(t, world.node("c").End(t.Context(), "airport", "job"))
	})
}
