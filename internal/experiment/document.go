// Package experiment defines the operators' configuration: policies with their weight versions, and experiments with shares
// and staleness bounds. Applying a command to a document returns a new document or an error with a result code. The package
// does no I/O; package configuration stores and distributes documents.
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
	MaximumPolicies          = 256
	MaximumExperiments       = 256
	MaximumNameLength        = 64
	retainedCommands         = 256
	shareTotal               = 100
	maximumVersion           = 1 << 53
	retainedPublications     = 64
	MaximumStalenessVersions = 1 << 20
)

// PolicyState is the state of a policy in its life cycle.
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
	// Published is the newest version that a trainer has published. Staleness is measured against it.
	Published uint64 `json:"published" cbor:"4,keyasint"`
	// Automatic is true if the policy is swapped to the published version once enough replicas have staged it.
	Automatic bool `json:"automatic" cbor:"5,keyasint"`
	// Publications are the newest publications in order of version. They give the age of a version.
	Publications []Publication `json:"publications" cbor:"7,keyasint"`
	// Modified is the revision of the last command that changed this policy. Publications do not count.
	Modified uint64 `json:"modified" cbor:"8,keyasint"`
}

// Publication records when a version was published.
type Publication struct {
	Version     uint64 `json:"version" cbor:"1,keyasint"`
	Millisecond int64  `json:"millisecond" cbor:"2,keyasint"` // Unix time
}

// Newest returns the greatest version of the policy in the document.
func (policy Policy) Newest() uint64 { return max(policy.Target, policy.Published) }

// Arm is one policy of an experiment, with its share and versions.
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

// Bound is the greatest staleness of a delivered sample. Versions applies only if HasVersions is true; zero versions then
// allow only the newest weights. An Age of zero sets no bound.
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

// AppliedCommand records that a command took effect. A sender that got no answer can look it up, and a repeated command is
// not applied again.
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
	// Drained lists the identifiers of drained replicas, sorted. They get no new work.
	Drained []string `json:"drained" cbor:"5,keyasint"`
}

// IsDrained reports whether the replica is drained.
func (document Document) IsDrained(replicaID string) bool {
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

// Applied returns the revision at which the command took effect, if the document still records it.
func (document Document) Applied(commandID string) (uint64, bool) {
	for _, applied := range document.Commands {
		if applied.ID == commandID {
			return applied.Revision, true
		}
	}
	return 0, false
}

// AssignPolicy picks the arm of a rollout by a hash of its key. The same key gets the same arm while the experiment and the
// states of its policies do not change. Keys are distributed over the arms with an active policy in proportion to their
// shares. If no policy is active, the error is NotRunPaused.
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
