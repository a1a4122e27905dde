package batchrun_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// setTargets replaces the targets of a route, given by its position, and adds replicas.
func (world *world) setTargets(route int, targets []catalog.RouteTarget, added ...catalog.Replica) {
	configuration := *world.catalog.Configuration()
	configuration.Version++
	configuration.Routes = append([]catalog.Route(nil), configuration.Routes...)
	configuration.Routes[route].Targets = targets
	configuration.Index()
	world.catalog.SetConfiguration(&configuration)
	for registered := range world.catalog.Replicas().All().Each() {
		added = append(added, *registered)
	}
	world.catalog.SetReplicas(added, world.catalog.Replicas().Revision+1)
}

// Positions of the routes of a world.
const (
	routeOfItems  = 0
	routeOfScores = 1
)

var itemTargets = []catalog.RouteTarget{{Service: "engine", Weight: 1}, {Service: "second", Weight: 3}}

// Guards against items that wait for replicas of the service that they were given, while another target of their route has room.
func TestItemsOfAServiceWithoutReplicasGoToAnotherTarget(t *testing.T) {
	inWorld(t, 71, func(t *testing.T, world *world) {
		world.setTargets(routeOfItems, itemTargets)
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 20, 1), jobRoute))
		checkResults(t, await(t, world.node("a"), "job", 20, 5*time.Second), 1)
	})
}

// Guards against items that leave a service whose replicas are only full.
func TestItemsStayWithAServiceThatHasReplicas(t *testing.T) {
	inWorld(t, 72, func(t *testing.T, world *world) {
		world.setTargets(routeOfItems, itemTargets, catalog.Replica{ID: "x1", Service: "second", Slots: 1, Models: []catalog.ModelVersion{{Model: "m", Version: 1}}})
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
		world.setTargets(routeOfScores, []catalog.RouteTarget{{Service: "scorer", Weight: 1}, {Service: "scorer2", Weight: 3}})
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 20, 1), jobRoute))
		checkResults(t, await(t, world.node("a"), "job", 20, 5*time.Second), 1)
	})
}

// removeService removes the replicas of a service.
func (world *world) removeService(service string) {
	var left []catalog.Replica
	for registered := range world.catalog.Replicas().All().Each() {
		if registered.Service != service {
			left = append(left, *registered)
		}
	}
	world.catalog.SetReplicas(left, world.catalog.Replicas().Revision+1)
}

// idleLimit is how long an item may be at no replica while another target of its route has room.
const idleLimit = 5 * time.Second

// leaveLimit is how long the items of a job take where replicas run nothing. It is shorter than items wait for a full service.
const leaveLimit = 3 * time.Second

// slowEvent is the time of an event at a slow replica, and slowItem that of the longest item of a job there.
const (
	slowEvent = 400 * time.Millisecond
	slowItem  = 7*slowEvent + 200*time.Millisecond
)

// Guards against items that wait at a service whose replicas are registered and run nothing, while another target of their route has room.
func TestItemsLeaveAServiceWhoseReplicasRunNothing(t *testing.T) {
	for name, check := range map[string]struct {
		prepare func(engines *engines)
		limit   time.Duration
	}{
		"send no event":     {func(engines *engines) { engines.gaps["x1"] = time.Hour }, leaveLimit},
		"break off":         {func(engines *engines) { engines.breaking = map[string]bool{"x1": true} }, leaveLimit},
		"refuse":            {func(engines *engines) { engines.refusing = map[string]bool{"x1": true} }, leaveLimit},
		"are slow and full": {func(engines *engines) { engines.gaps["x1"] = slowEvent }, idleLimit + slowItem},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, 73, func(t *testing.T, world *world) {
				world.setTargets(routeOfItems, itemTargets, catalog.Replica{ID: "x1", Service: "second", Slots: 1, Models: []catalog.ModelVersion{{Model: "m", Version: 1}}})
				world.engines.mu.Lock()
				world.engines.versions["x1"] = 1
				check.prepare(world.engines)
				world.engines.mu.Unlock()
				must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 20, 1), jobRoute))
				checkResults(t, await(t, world.node("a"), "job", 20, check.limit), 1)
			})
		})
	}
}

// Guards against a service that gets no items for good since all of its replicas refused work some time ago.
func TestItemsComeBackToAServiceThatRefusedWork(t *testing.T) {
	inWorld(t, 75, func(t *testing.T, world *world) {
		world.setTargets(routeOfItems, itemTargets, catalog.Replica{ID: "x1", Service: "second", Slots: 4, Models: []catalog.ModelVersion{{Model: "m", Version: 1}}})
		setRefusing := func(refusing bool) {
			world.engines.mu.Lock()
			defer world.engines.mu.Unlock()
			world.engines.versions["x1"], world.engines.refusing = 1, map[string]bool{"x1": refusing}
		}
		setRefusing(true)
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("first", 20, 1), jobRoute))
		await(t, world.node("a"), "first", 20, idleLimit)
		setRefusing(false)
		refused := world.engines.startedAt("x1")
		time.Sleep(refusalMemory)
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("second", 20, 1), jobRoute))
		await(t, world.node("a"), "second", 20, idleLimit)
		must.Greater(t, refused, world.engines.startedAt("x1"))
	})
}

// refusalMemory is longer than refusals of a replica that gets nothing to do are believed.
const refusalMemory = 5 * time.Second

// Guards against texts that wait at a scoring service whose replicas hang, while another target of their route has room.
func TestScoresLeaveAServiceWhoseReplicasHang(t *testing.T) {
	check := func(t *testing.T, world *world, scorers *scorers) {
		world.setTargets(routeOfScores, []catalog.RouteTarget{{Service: "scorer", Weight: 1}, {Service: "scorer2", Weight: 3}}, catalog.Replica{ID: "t1", Service: "scorer2", Slots: 6})
		scorers.hanging = "t1"
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 20, 1), jobRoute))
		checkResults(t, await(t, world.node("a"), "job", 20, idleLimit), 1)
	}
	t.Run("admitted", func(t *testing.T) { inScoringWorld(t, 4, 50*time.Millisecond, check) })
	t.Run("not admitted", func(t *testing.T) {
		inWorld(t, 74, func(t *testing.T, world *world) {
			world.engines.scorer = &scorers{took: 50 * time.Millisecond}
			check(t, world, world.engines.scorer)
		})
	})
}

// Guards against a replica whose entry is outdated counting as one that serves.
func TestOutdatedEntriesAreEjected(t *testing.T) {
	inWorld(t, 76, func(t *testing.T, world *world) {
		world.setTargets(routeOfItems, itemTargets, catalog.Replica{ID: "x1", Service: "second", Slots: 4, Models: []catalog.ModelVersion{{Model: "m", Version: 1}}})
		world.engines.mu.Lock()
		world.engines.outdated = map[string]bool{"x1": true}
		world.engines.mu.Unlock()
		must.NoError(t, world.node("a").Submit(t.Context(), newDefinition("job", 20, 1), jobRoute))
		checkResults(t, await(t, world.node("a"), "job", 20, refusedLimit), 1)
	})
}

// refusedLimit is shorter than a replica may refuse work before its service counts as one that runs nothing.
const refusedLimit = 1800 * time.Millisecond
