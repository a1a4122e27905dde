package catalog

import (
	"maps"
	"slices"
	"strings"
)

// ReplicaSet is an immutable snapshot of the registered replicas. A set that results from changes shares all untouched parts with
// the former set.
type ReplicaSet struct {
	// Revision is the revision of the metadata store that the set corresponds to.
	Revision  int64
	all       ReplicaList
	byService map[string]ReplicaList
}

// ReplicaChange is a replica that has been registered, changed or removed. Replica is nil if it has been removed.
type ReplicaChange struct {
	ID      string
	Replica *Replica
}

func newReplicaSet(list []Replica, revision int64) *ReplicaSet {
	sorted := make([]*Replica, 0, len(list))
	for index := range list {
		sorted = append(sorted, &list[index])
	}
	slices.SortFunc(sorted, func(a, b *Replica) int { return strings.Compare(a.ID, b.ID) })
	services := make(map[string][]*Replica)
	for _, replica := range sorted {
		services[replica.Service] = append(services[replica.Service], replica)
	}
	set := &ReplicaSet{Revision: revision, all: newReplicaList(sorted), byService: make(map[string]ReplicaList, len(services))}
	for service, members := range services {
		set.byService[service] = newReplicaList(members)
	}
	return set
}

// All returns all replicas, ordered by identifier.
func (set *ReplicaSet) All() ReplicaList { return set.all }

// Service returns the replicas of a service, ordered by identifier.
func (set *ReplicaSet) Service(name string) ReplicaList { return set.byService[name] }

// Find returns the replica with an identifier, or nil if it is not registered.
func (set *ReplicaSet) Find(id string) *Replica { return set.all.Find(id) }

// FindByName returns the incarnation that is registered under a name, or nil.
func (set *ReplicaSet) FindByName(name string) *Replica {
	if replica := set.all.Find(name); replica != nil {
		return replica
	}
	if replica := set.all.firstFrom(name + incarnationSeparator); replica != nil && replica.Name() == name {
		return replica
	}
	return nil
}

// with returns the set after changes. If a replica occurs more than once, its last change counts.
func (set *ReplicaSet) with(changes []ReplicaChange, revision int64) *ReplicaSet {
	changes = set.effectiveChanges(changes)
	next := &ReplicaSet{Revision: revision, all: set.all, byService: set.byService}
	if len(changes) == 0 {
		return next
	}
	next.all = set.all.with(changes)
	next.byService = maps.Clone(set.byService)
	for service, changed := range set.changesByService(changes) {
		next.byService[service] = set.byService[service].with(changed)
	}
	return next
}

// effectiveChanges returns the last change of each replica, ordered by identifier, without those that change nothing.
func (set *ReplicaSet) effectiveChanges(changes []ReplicaChange) []ReplicaChange {
	last := make(map[string]*Replica, len(changes))
	for _, change := range changes {
		last[change.ID] = change.Replica
	}
	list := make([]ReplicaChange, 0, len(last))
	for id, replica := range last {
		before := set.Find(id)
		unchanged := before == replica || (before != nil && replica != nil && before.Equal(replica))
		if !unchanged {
			list = append(list, ReplicaChange{id, replica})
		}
	}
	slices.SortFunc(list, func(a, b ReplicaChange) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// changesByService returns the changes by the services whose lists they affect: the former and the new service of each replica.
func (set *ReplicaSet) changesByService(changes []ReplicaChange) map[string][]ReplicaChange {
	touched := make(map[string][]ReplicaChange)
	for _, change := range changes {
		before := set.Find(change.ID)
		if before != nil && (change.Replica == nil || change.Replica.Service != before.Service) {
			touched[before.Service] = append(touched[before.Service], ReplicaChange{ID: change.ID})
		}
		if change.Replica != nil {
			touched[change.Replica.Service] = append(touched[change.Replica.Service], change)
		}
	}
	return touched
}
