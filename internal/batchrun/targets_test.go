package batchrun_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// withSecondTarget gives the route of the items a second service, and the second service the given replicas.
func (world *world) withSecondTarget(replicas ...catalog.Replica) {
	configuration := *world.catalog.Configuration()
	configuration.Version++
	configuration.Routes = append([]catalog.Route(nil), configuration.Routes...)
	configuration.Routes[0].Targets = []catalog.RouteTarget{{Service: "engine", Weight: 1}, {Service: "second", Weight: 3}}
	configuration.Index()
	world.catalog.SetConfiguration(&configuration)
	list := replicas
	for registered := range world.catalog.Replicas().All().Each() {
		list = append(list, *registered)
	}
	world.catalog.SetReplicas(list, 2)
}

// Guards against items that wait for replicas of the service that they were given, while another target of their route has room.
func TestItemsOfAServiceWithoutReplicasGoToAnotherTarget(t *testing.T) {
	inWorld(t, 71, func(t *testing.T, world *world) {
		world.withSecondTarget()
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 20, 1), jobRoute))
		checkResults(t, await(t, world.node("a"), "job", 20, 5*time.Second), 1)
	})
}

// Guards against items that leave a service whose replicas are only full.
func TestItemsStayWithAServiceThatHasReplicas(t *testing.T) {
	inWorld(t, 72, func(t *testing.T, world *world) {
		world.withSecondTarget(catalog.Replica{ID: "x1", Service: "second", Slots: 1, Models: []catalog.ModelVersion{{Model: "m", Version: 1}}})
		world.engines.mu.Lock()
		world.engines.versions["x1"] = 1
		world.engines.mu.Unlock()
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 40, 1), jobRoute))
		checkResults(t, await(t, world.node("a"), "job", 40, 20*time.Second), 1)
		must.Between(t, 20, world.engines.startedAt("x1"), 39)
	})
}

// Guards against texts that wait at a scoring service without replicas, while another target of their route has room.
func TestScoresOfAServiceWithoutReplicasGoToAnotherTarget(t *testing.T) {
	inScoringWorld(t, 4, 50*time.Millisecond, func(t *testing.T, world *world, scorers *scorers) {
		configuration := *world.catalog.Configuration()
		configuration.Version++
		configuration.Routes = append([]catalog.Route(nil), configuration.Routes...)
		configuration.Routes[1].Targets = []catalog.RouteTarget{{Service: "scorer", Weight: 1}, {Service: "scorer2", Weight: 3}}
		configuration.Index()
		world.catalog.SetConfiguration(&configuration)
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 20, 1), jobRoute))
		checkResults(t, await(t, world.node("a"), "job", 20, 5*time.Second), 1)
	})
}
