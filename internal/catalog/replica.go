package catalog

import (
	"slices"
	"strings"
)

// ModelVersion is a model with the version of its weights.
type ModelVersion struct {
	Model   string
	Version int64
}

// Replica is one life of one process of a service, as it registered itself.
type Replica struct {
	// ID is used by no other replica, ever.
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	Models   []ModelVersion
}

// Version returns the version of a model's weights, zero if the replica does not run it.
func (replica *Replica) Version(model string) int64 {
	for _, held := range replica.Models {
		if held.Model == model {
			return held.Version
		}
	}
	return 0
}

// ReplicaSet is a snapshot of the registered replicas.
type ReplicaSet struct {
	// Revision is that of the metadata store at which the replicas were registered so.
	Revision  int64
	All       []Replica
	byService map[string][]*Replica
	byID      map[string]*Replica
}

func newReplicaSet(list []Replica, revision int64) *ReplicaSet {
	slices.SortFunc(list, func(a, b Replica) int { return strings.Compare(a.ID, b.ID) })
	set := &ReplicaSet{Revision: revision, All: list, byService: make(map[string][]*Replica), byID: make(map[string]*Replica)}
	for index := range list {
		replica := &list[index]
		set.byService[replica.Service] = append(set.byService[replica.Service], replica)
		set.byID[replica.ID] = replica
	}
	return set
}

// Service returns the replicas of a service, ordered by identifier.
func (set *ReplicaSet) Service(name string) []*Replica { return set.byService[name] }

// Find returns a replica; nil if it is not registered.
func (set *ReplicaSet) Find(id string) *Replica { return set.byID[id] }

// Equal reports whether two entries of a replica say the same.
func (replica *Replica) Equal(other *Replica) bool {
	return replica.ID == other.ID && replica.Service == other.Service && replica.Address == other.Address && replica.Zone == other.Zone &&
		replica.Slots == other.Slots && replica.Draining == other.Draining && slices.Equal(replica.Models, other.Models)
}
