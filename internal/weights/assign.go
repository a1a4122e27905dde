package weights

import (
	"cmp"
	"slices"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// assign gives each model its share of the replicas. A model keeps the replicas assigned to it; further ones are those with the
// fewest models and the least lag.
func (planner *Planner) assign(models []string, fleet Fleet, targets Targets) {
	planner.prune(models, fleet)
	shares := planner.shares(models, fleet.Replicas.Working(), slotsOf(fleet.Replicas), targets)
	for _, model := range models {
		planner.trim(model, fleet, shares[model]+trimSlack)
	}
	for _, model := range models {
		planner.extend(model, fleet, shares[model], targets[model])
	}
	planner.rebalance(fleet)
}

// slotsOf returns the slots of one replica as a sample: the replicas of a service have nearly the same number of slots.
func slotsOf(replicas catalog.ReplicaList) int {
	if replicas.Len() == 0 {
		return 0
	}
	return replicas.At(replicas.Len() / 2).Slots
}

// prune drops replicas that are draining or no longer registered, and models that the service no longer lists.
func (planner *Planner) prune(models []string, fleet Fleet) {
	for id := range planner.assigned {
		if replica := fleet.Replicas.Find(id); replica == nil || replica.Draining {
			delete(planner.assigned, id)
			continue
		}
		planner.setModels(id, slices.DeleteFunc(planner.assigned[id], func(model string) bool { return !slices.Contains(models, model) }))
	}
}

// setModels sets the models that are assigned to a replica.
func (planner *Planner) setModels(id string, models []string) {
	if len(models) == 0 {
		delete(planner.assigned, id)
		return
	}
	planner.assigned[id] = models
}

// trimSlack is how many replicas above its share a model keeps. Shares follow the work of jobs, which varies; the
// slack keeps small variations from reassigning replicas.
const trimSlack = 1

// members returns the replicas that a model is assigned to, ordered by identifier.
func (planner *Planner) members(model string, fleet Fleet) []*catalog.Replica {
	var members []*catalog.Replica
	for id, models := range planner.assigned {
		if slices.Contains(models, model) {
			members = append(members, fleet.Replicas.Find(id))
		}
	}
	slices.SortFunc(members, byIdentifier)
	return members
}

// Counts returns the number of replicas assigned to each model.
func (planner *Planner) Counts() map[string]int {
	counts := make(map[string]int)
	for _, held := range planner.assigned {
		for _, model := range held {
			counts[model]++
		}
	}
	return counts
}

func byIdentifier(a, b *catalog.Replica) int { return cmp.Compare(a.ID, b.ID) }

// trim unassigns replicas above the limit from a model, those with the most models first.
func (planner *Planner) trim(model string, fleet Fleet, limit int) {
	members := planner.members(model, fleet)
	slices.SortStableFunc(members, func(a, b *catalog.Replica) int {
		return cmp.Compare(len(planner.assigned[b.ID]), len(planner.assigned[a.ID]))
	})
	for _, replica := range members[:max(0, len(members)-limit)] {
		planner.unassign(replica.ID, model)
	}
}

func (planner *Planner) unassign(id, model string) {
	planner.setModels(id, slices.DeleteFunc(planner.assigned[id], func(held string) bool { return held == model }))
}

// extend assigns replicas to a model until it has the wanted number.
func (planner *Planner) extend(model string, fleet Fleet, wanted int, target Target) {
	members := planner.members(model, fleet)
	lacking := wanted - len(members)
	if lacking <= 0 {
		return
	}
	for _, replica := range planner.candidates(model, members, fleet, target, lacking) {
		planner.assigned[replica.ID] = append(planner.assigned[replica.ID], model)
	}
}

// candidateClass groups the replicas that a model can be assigned to by how many models they have and by how many versions they
// lag.
type candidateClass struct {
	models int
	lag    int64
}

// candidates returns up to count replicas that a model can be assigned to, those with the fewest models and the least lag first.
// Within a class it prefers zones that have the fewest replicas of the model.
func (planner *Planner) candidates(model string, members []*catalog.Replica, fleet Fleet, target Target, count int) []*catalog.Replica {
	classes := make(map[candidateClass][]*catalog.Replica)
	for replica := range fleet.Replicas.Each() {
		held := planner.assigned[replica.ID]
		if replica.Draining || slices.Contains(held, model) {
			continue
		}
		class := candidateClass{len(held), max(0, target.Version-fleet.Version(replica, model))}
		classes[class] = append(classes[class], replica)
	}
	var ordered []candidateClass
	for class := range classes {
		ordered = append(ordered, class)
	}
	slices.SortFunc(ordered, func(a, b candidateClass) int {
		return cmp.Or(cmp.Compare(a.models, b.models), cmp.Compare(a.lag, b.lag))
	})
	zones := make(map[string]int)
	for _, member := range members {
		zones[member.Zone]++
	}
	var chosen []*catalog.Replica
	for _, class := range ordered {
		chosen = append(chosen, pickAcrossZones(classes[class], zones, count-len(chosen))...)
	}
	return chosen
}

// pickAcrossZones returns up to count replicas, each from the zone with the fewest so far, and adds them to the counts in zones.
func pickAcrossZones(replicas []*catalog.Replica, zones map[string]int, count int) []*catalog.Replica {
	byZone := make(map[string][]*catalog.Replica)
	for _, replica := range replicas {
		byZone[replica.Zone] = append(byZone[replica.Zone], replica)
	}
	var chosen []*catalog.Replica
	for len(chosen) < count && len(byZone) > 0 {
		next, found := "", false
		for zone := range byZone {
			if !found || cmp.Or(cmp.Compare(zones[zone], zones[next]), cmp.Compare(zone, next)) < 0 {
				next, found = zone, true
			}
		}
		chosen = append(chosen, byZone[next][0])
		zones[next]++
		if byZone[next] = byZone[next][1:]; len(byZone[next]) == 0 {
			delete(byZone, next)
		}
	}
	return chosen
}

// rebalance moves models from the replica with the most models to the one with the fewest until they differ by less than two.
func (planner *Planner) rebalance(fleet Fleet) {
	for range len(planner.assigned) {
		fullest, count := planner.mostModels()
		if count < 2 {
			return
		}
		emptiest := planner.fewestModels(fleet)
		if emptiest == "" || count-len(planner.assigned[emptiest]) < 2 {
			return
		}
		for _, model := range planner.assigned[fullest] {
			if !slices.Contains(planner.assigned[emptiest], model) {
				planner.unassign(fullest, model)
				planner.assigned[emptiest] = append(planner.assigned[emptiest], model)
				break
			}
		}
	}
}

// mostModels returns a replica with the most models, and their number.
func (planner *Planner) mostModels() (id string, count int) {
	for other, held := range planner.assigned {
		if id == "" || len(held) > count || (len(held) == count && other < id) {
			id, count = other, len(held)
		}
	}
	return id, count
}

// fewestModels returns a replica with the fewest models, or an empty string if all replicas are draining.
func (planner *Planner) fewestModels(fleet Fleet) string {
	id := ""
	for replica := range fleet.Replicas.Each() {
		if replica.Draining {
			continue
		}
		if id == "" || len(planner.assigned[replica.ID]) < len(planner.assigned[id]) {
			id = replica.ID
		}
		if len(planner.assigned[id]) == 0 {
			return id
		}
	}
	return id
}
