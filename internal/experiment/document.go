// Package experiment is the aggregate that holds the operators' configuration: policies, the weight versions each may
// use, experiments with shares and staleness bounds. It is pure: a command applied to a document gives a new document
// or a numbered error. Storage and distribution are in package configuration.
package experiment

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Limits of a document.
const (
	MaximumPolicies        = 256
	MaximumExperiments     = 256
	MaximumNameLength      = 64
	rememberedCommands     = 256
	shareTotal             = 100
	maximumVersion         = 1 << 53
	publishedRemembered    = 64
	MaximumStalenessBounds = 1 << 20
)

// PolicyState is the life cycle of a policy.
type PolicyState string

// The states of a policy. Retired is final.
const (
	PolicyActive  PolicyState = "active"
	PolicyPaused  PolicyState = "paused"
	PolicyRetired PolicyState = "retired"
)

// Policy is a named model whose weights change by version.
type Policy struct {
	Name  string      `json:"name" cbor:"1,keyasint"`
	State PolicyState `json:"state" cbor:"2,keyasint"`
	// Target is the version that every replica is ordered to run.
	Target uint64 `json:"target" cbor:"3,keyasint"`
	// Published is the newest version that a trainer has published; staleness counts from it.
	Published uint64 `json:"published" cbor:"4,keyasint"`
	// Automatic policies are swapped to the published version by the system once it is staged.
	Automatic bool `json:"automatic" cbor:"5,keyasint"`
	// Publications are the newest publications in order of version; they turn a version into an age.
	Publications []Publication `json:"publications" cbor:"7,keyasint"`
	// Modified is the revision of the last change of this policy by an operator.
	Modified uint64 `json:"modified" cbor:"8,keyasint"`
}

// Publication records when a version was published.
type Publication struct {
	Version     uint64 `json:"version" cbor:"1,keyasint"`
	Millisecond int64  `json:"millisecond" cbor:"2,keyasint"` // Unix time
}

// Newest returns the greatest version that the document knows of the policy.
func (policy Policy) Newest() uint64 { return max(policy.Target, policy.Published) }

// Arm is one policy's part in an experiment.
type Arm struct {
	Policy string `json:"policy" cbor:"1,keyasint"`
	Share  int    `json:"share" cbor:"2,keyasint"` // percent of rollouts
	// FirstVersion and LastVersion bound the versions that rollouts may use; LastVersion zero means no upper limit.
	FirstVersion uint64 `json:"first_version" cbor:"3,keyasint"`
	LastVersion  uint64 `json:"last_version" cbor:"4,keyasint"`
}

// Allows reports whether the arm's rollouts may use the version.
func (arm Arm) Allows(version uint64) bool {
	return version >= arm.FirstVersion && (arm.LastVersion == 0 || version <= arm.LastVersion)
}

// Bound is the staleness that a delivered sample may have at most. A zero field sets no bound of that kind, and
// HasVersions tells a bound of zero versions (only the newest weights) from none.
type Bound struct {
	HasVersions bool          `json:"has_versions" cbor:"1,keyasint"`
	Versions    uint64        `json:"versions" cbor:"2,keyasint"`
	Age         time.Duration `json:"age" cbor:"3,keyasint"`
}

// Experiment is a set of arms with shares, and the staleness bound of its samples.
type Experiment struct {
	Name  string `json:"name" cbor:"1,keyasint"`
	Arms  []Arm  `json:"arms" cbor:"2,keyasint"`
	Bound Bound  `json:"bound" cbor:"3,keyasint"`
	// Modified is the revision of the last change of this experiment.
	Modified uint64 `json:"modified" cbor:"4,keyasint"`
}

// Arm returns the experiment's arm for a policy.
func (experiment Experiment) Arm(policy string) (Arm, bool) {
	index := slices.IndexFunc(experiment.Arms, func(arm Arm) bool { return arm.Policy == policy })
	if index < 0 {
		return Arm{}, false
	}
	return experiment.Arms[index], true
}

// AppliedCommand remembers that a command took effect, so that a lost answer is settled by reading back.
type AppliedCommand struct {
	ID       string `json:"id" cbor:"1,keyasint"`
	Revision uint64 `json:"revision" cbor:"2,keyasint"`
}

// Document is the whole configuration. Policies and experiments are sorted by name.
// Invariant: Revision grows by one with each change.
type Document struct {
	Revision    uint64           `json:"revision" cbor:"1,keyasint"`
	Policies    []Policy         `json:"policies" cbor:"2,keyasint"`
	Experiments []Experiment     `json:"experiments" cbor:"3,keyasint"`
	Commands    []AppliedCommand `json:"commands" cbor:"4,keyasint"`
	// Drained are the replicas that operators want no new work on, sorted.
	Drained []string `json:"drained" cbor:"5,keyasint"`
}

// DrainedReplica reports whether operators want no new work on the replica.
func (document Document) DrainedReplica(replicaID string) bool {
	_, found := slices.BinarySearch(document.Drained, replicaID)
	return found
}

// Policy returns the named policy.
func (document Document) Policy(name string) (Policy, bool) {
	index, found := slices.BinarySearchFunc(document.Policies, name, func(policy Policy, name string) int {
		return strings.Compare(policy.Name, name)
	})
	if !found {
		return Policy{}, false
	}
	return document.Policies[index], true
}

// Experiment returns the named experiment.
func (document Document) Experiment(name string) (Experiment, bool) {
	index, found := slices.BinarySearchFunc(document.Experiments, name, func(experiment Experiment, name string) int {
		return strings.Compare(experiment.Name, name)
	})
	if !found {
		return Experiment{}, false
	}
	return document.Experiments[index], true
}

// Applied returns the revision at which the command took effect, if the document remembers it.
func (document Document) Applied(commandID string) (uint64, bool) {
	for _, applied := range document.Commands {
		if applied.ID == commandID {
			return applied.Revision, true
		}
	}
	return 0, false
}

// AssignPolicy picks the arm of a rollout by its key: the same key always gets the same arm of an unchanged experiment,
// and keys spread over the arms by share. Arms whose policy is not active give their share to the others; when none is
// active the error is NotRunPaused.
func (document Document) AssignPolicy(experimentName, key string) (Arm, error) {
	experiment, ok := document.Experiment(experimentName)
	if !ok {
		return Arm{}, result.New(result.InvalidNotFound, "experiment %q does not exist", experimentName)
	}
	active := make([]Arm, 0, len(experiment.Arms))
	total := 0
	for _, arm := range experiment.Arms {
		policy, ok := document.Policy(arm.Policy)
		if ok && policy.State == PolicyActive && arm.Share > 0 {
			active = append(active, arm)
			total += arm.Share
		}
	}
	if total == 0 {
		return Arm{}, result.New(result.NotRunPaused, "experiment %q has no active policy", experimentName)
	}
	point := int(xxhash.Sum64String(experimentName+"\x00"+key) % uint64(total))
	for _, arm := range active {
		if point < arm.Share {
			return arm, nil
		}
		point -= arm.Share
	}
	return active[len(active)-1], nil
}
