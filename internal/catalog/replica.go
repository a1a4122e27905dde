package catalog

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// ModelVersion is a model with the version of its weights.
type ModelVersion struct {
	Model   string
	Version int64
}

// Replica is the registration of one incarnation of a replica: one lifetime of a process of a service.
type Replica struct {
	// ID identifies an incarnation and is never reused; see ReplicaID.
	ID       string
	Service  string
	Address  string
	Zone     string
	Slots    int
	Draining bool
	// Spot replicas may be reclaimed at short notice.
	Spot bool
	// LeavesAfter is the time from the registration of the notice until a reclaimed replica ends; zero if no end is announced.
	LeavesAfter time.Duration
	Models      []ModelVersion
}

// incarnationSeparator separates the name of a replica from the start time of its incarnation. Names do not contain it.
const incarnationSeparator = "@"

// ReplicaID returns the identifier of an incarnation of a replica, formed from its registered name and its start time in Unix
// milliseconds, zero if unknown. A replica that restarts under its name has lost its state and starts counting anew. State that
// nodes keep by identifier (versions, orders, loads, speeds, suspicions) therefore ends with the incarnation.
func ReplicaID(name string, startMillis int64) string {
	if startMillis == 0 {
		return name
	}
	return name + incarnationSeparator + strconv.FormatInt(startMillis, 10)
}

// ReplicaName returns the registered name that an identifier belongs to. Replicas, and nodes of builds that do not distinguish
// incarnations, use the name alone.
func ReplicaName(id string) string {
	name, _, _ := strings.Cut(id, incarnationSeparator)
	return name
}

// Name returns the registered name of the replica.
func (replica *Replica) Name() string { return ReplicaName(replica.ID) }

// Version returns the version of a model's weights, or zero if the replica does not run the model.
func (replica *Replica) Version(model string) int64 {
	for _, held := range replica.Models {
		if held.Model == model {
			return held.Version
		}
	}
	return 0
}

// DiffersOnlyInVersions reports whether the replica differs from an earlier entry in nothing but the versions of its weights. It
// is false if either entry is nil.
func (replica *Replica) DiffersOnlyInVersions(earlier *Replica) bool {
	if replica == nil || earlier == nil || slices.Equal(replica.Models, earlier.Models) {
		return false
	}
	same := *earlier
	same.Models = replica.Models
	return replica.Equal(&same)
}

// Equal reports whether two entries of a replica are equal.
func (replica *Replica) Equal(other *Replica) bool {
	return replica.ID == other.ID && replica.Service == other.Service && replica.Address == other.Address && replica.Zone == other.Zone &&
		replica.Slots == other.Slots && replica.Draining == other.Draining && replica.Spot == other.Spot && replica.LeavesAfter == other.LeavesAfter &&
		slices.Equal(replica.Models, other.Models)
}
