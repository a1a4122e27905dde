package experiment

import (
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

var namePattern = regexp.MustCompile(`^[a-z][a-z0-9_-]*$`)

// Command is one change of the configuration.
type Command interface {
	// apply changes the document in place. The caller passes a copy that already has the new revision.
	apply(document *Document, now time.Time) error
	// lastModified returns the revision that last changed the policy or experiment of the command, or zero if the command
	// cannot conflict with others.
	lastModified(document Document) uint64
}

// Envelope is a command with its identifier and the revision that it is based on.
type Envelope struct {
	CommandID string
	Command   Command
	// BaseRevision is the revision that the command is based on; zero accepts any. If the policy or experiment was changed
	// after BaseRevision, the command fails with ConflictRevision.
	BaseRevision uint64
}

// AddPolicy creates a policy whose replicas run Version.
type AddPolicy struct {
	Name      string
	Version   uint64
	Automatic bool
}

// SwapPolicy orders every replica to run Version.
type SwapPolicy struct {
	Name    string
	Version uint64
}

// PublishVersion records a version that a trainer has put into the weight store. Each published version must be greater than
// the one before.
type PublishVersion struct {
	Name    string
	Version uint64
}

// SetPolicyState pauses, resumes or retires a policy.
type SetPolicyState struct {
	Name  string
	State PolicyState
}

// PutExperiment creates an experiment, or replaces one when Replace is set.
type PutExperiment struct {
	Experiment Experiment
	Replace    bool
}

// AlterExperiment changes the given parts of an experiment; nil parts stay.
type AlterExperiment struct {
	Name     string
	Arms     []Arm
	Versions *VersionsBound
	Age      *time.Duration
}

// VersionsBound is the part of a staleness bound that counts versions. There is no such bound if Set is false.
type VersionsBound struct {
	Set      bool
	Versions uint64
}

// RemoveExperiment deletes an experiment.
type RemoveExperiment struct{ Name string }

// DrainReplica stops new work on a replica, or allows it again.
type DrainReplica struct {
	ReplicaID string
	Drained   bool
}

// Apply returns a new document with the command applied and recorded, and the revision increased by one. The receiver is not
// changed. If the command was applied before, Apply returns the receiver and no error.
func (document Document) Apply(envelope Envelope, now time.Time) (Document, error) {
	commandID, command := envelope.CommandID, envelope.Command
	if _, done := document.Applied(commandID); done {
		return document, nil
	}
	if latest := command.lastModified(document); envelope.BaseRevision != 0 && latest > envelope.BaseRevision {
		return document, result.New(result.ConflictRevision, "revision %d changed the same object after revision %d", latest, envelope.BaseRevision)
	}
	next := document.clone()
	next.Revision++
	if err := command.apply(&next, now); err != nil {
		return document, err
	}
	next.Commands = append(next.Commands, AppliedCommand{ID: commandID, Revision: next.Revision})
	if excess := len(next.Commands) - retainedCommands; excess > 0 {
		next.Commands = slices.Delete(next.Commands, 0, excess)
	}
	return next, nil
}

func (document Document) policyModified(name string) uint64 {
	policy, _ := document.Policy(name)
	return policy.Modified
}

func (document Document) experimentModified(name string) uint64 {
	experiment, _ := document.Experiment(name)
	return experiment.Modified
}

func (command AddPolicy) lastModified(document Document) uint64 {
	return document.policyModified(command.Name)
}
func (command SwapPolicy) lastModified(document Document) uint64 {
	return document.policyModified(command.Name)
}
func (command PublishVersion) lastModified(Document) uint64 { return 0 }
func (command SetPolicyState) lastModified(document Document) uint64 {
	return document.policyModified(command.Name)
}
func (command PutExperiment) lastModified(document Document) uint64 {
	return document.experimentModified(command.Experiment.Name)
}
func (command AlterExperiment) lastModified(document Document) uint64 {
	return document.experimentModified(command.Name)
}
func (command RemoveExperiment) lastModified(document Document) uint64 {
	return document.experimentModified(command.Name)
}

func (DrainReplica) lastModified(Document) uint64 { return 0 }

func (document Document) clone() Document {
	copied := document
	copied.Policies = slices.Clone(document.Policies)
	for index := range copied.Policies {
		copied.Policies[index].Publications = slices.Clone(copied.Policies[index].Publications)
	}
	copied.Experiments = slices.Clone(document.Experiments)
	for index := range copied.Experiments {
		copied.Experiments[index].Arms = slices.Clone(copied.Experiments[index].Arms)
	}
	copied.Commands = slices.Clone(document.Commands)
	copied.Drained = slices.Clone(document.Drained)
	return copied
}

// mutablePolicy returns a pointer to the named policy in the document, or an error if it is retired or does not exist. The
// pointer is valid until Policies is resized or sorted.
func (document *Document) mutablePolicy(name string) (*Policy, error) {
	for index := range document.Policies {
		policy := &document.Policies[index]
		if policy.Name != name {
			continue
		}
		if policy.State == PolicyRetired {
			return nil, result.New(result.InvalidState, "policy %q is retired", name)
		}
		return policy, nil
	}
	return nil, result.New(result.InvalidNotFound, "policy %q does not exist", name)
}

func checkName(kind, name string) error {
	if len(name) > MaximumNameLength || !namePattern.MatchString(name) {
		return result.New(result.InvalidField, "%s name %q: want a lower-case letter, then letters, digits, '-' or '_', at most %d", kind, name, MaximumNameLength)
	}
	return nil
}

func checkVersion(version uint64) error {
	if version == 0 || version > maximumVersion {
		return result.New(result.InvalidVersion, "version %d: want 1 to %d", version, uint64(maximumVersion))
	}
	return nil
}

func (command AddPolicy) apply(document *Document, now time.Time) error {
	if err := checkName("policy", command.Name); err != nil {
		return err
	}
	if err := checkVersion(command.Version); err != nil {
		return err
	}
	if _, exists := document.Policy(command.Name); exists {
		return result.New(result.ConflictExists, "policy %q exists", command.Name)
	}
	if len(document.Policies) >= MaximumPolicies {
		return result.New(result.InvalidState, "at most %d policies", MaximumPolicies)
	}
	policy := Policy{Name: command.Name, State: PolicyActive, Target: command.Version, Published: command.Version,
		Automatic: command.Automatic, Modified: document.Revision}
	policy.recordPublication(command.Version, now)
	document.Policies = append(document.Policies, policy)
	slices.SortFunc(document.Policies, func(a, b Policy) int { return strings.Compare(a.Name, b.Name) })
	return nil
}

func (policy *Policy) recordPublication(version uint64, now time.Time) {
	policy.Publications = append(policy.Publications, Publication{Version: version, Millisecond: now.UnixMilli()})
	if excess := len(policy.Publications) - retainedPublications; excess > 0 {
		policy.Publications = slices.Delete(policy.Publications, 0, excess)
	}
}

func (command SwapPolicy) apply(document *Document, _ time.Time) error {
	if err := checkVersion(command.Version); err != nil {
		return err
	}
	policy, err := document.mutablePolicy(command.Name)
	if err != nil {
		return err
	}
	for _, experiment := range document.Experiments {
		if arm, used := experiment.Arm(command.Name); used && !arm.Allows(command.Version) {
			return result.New(result.InvalidVersion, "experiment %q does not allow policy %q version %d", experiment.Name, command.Name, command.Version)
		}
	}
	policy.Target = command.Version
	policy.Modified = document.Revision
	return nil
}

func (command PublishVersion) apply(document *Document, now time.Time) error {
	if err := checkVersion(command.Version); err != nil {
		return err
	}
	policy, err := document.mutablePolicy(command.Name)
	if err != nil {
		return err
	}
	if command.Version <= policy.Published {
		return result.New(result.ConflictRevision, "policy %q: version %d is not newer than published version %d", command.Name, command.Version, policy.Published)
	}
	policy.Published = command.Version
	policy.recordPublication(command.Version, now)
	return nil
}

func (command SetPolicyState) apply(document *Document, _ time.Time) error {
	policy, err := document.mutablePolicy(command.Name)
	if err != nil {
		return err
	}
	policy.State = command.State
	policy.Modified = document.Revision
	return nil
}

func (command PutExperiment) apply(document *Document, _ time.Time) error {
	if err := document.checkExperiment(command.Experiment); err != nil {
		return err
	}
	command.Experiment.Modified = document.Revision
	index := slices.IndexFunc(document.Experiments, func(e Experiment) bool { return e.Name == command.Experiment.Name })
	if index >= 0 && !command.Replace {
		return result.New(result.ConflictExists, "experiment %q exists", command.Experiment.Name)
	}
	if index >= 0 {
		document.Experiments[index] = command.Experiment
		return nil
	}
	if len(document.Experiments) >= MaximumExperiments {
		return result.New(result.InvalidState, "at most %d experiments", MaximumExperiments)
	}
	document.Experiments = append(document.Experiments, command.Experiment)
	slices.SortFunc(document.Experiments, func(a, b Experiment) int { return strings.Compare(a.Name, b.Name) })
	return nil
}

func (command AlterExperiment) apply(document *Document, now time.Time) error {
	experiment, ok := document.Experiment(command.Name)
	if !ok {
		return result.New(result.InvalidNotFound, "experiment %q does not exist", command.Name)
	}
	if command.Arms != nil {
		experiment.Arms = command.Arms
	}
	if command.Versions != nil {
		experiment.Bound.HasVersions = command.Versions.Set
		experiment.Bound.Versions = command.Versions.Versions
	}
	if command.Age != nil {
		experiment.Bound.Age = *command.Age
	}
	return PutExperiment{Experiment: experiment, Replace: true}.apply(document, now)
}

func (command RemoveExperiment) apply(document *Document, _ time.Time) error {
	index := slices.IndexFunc(document.Experiments, func(e Experiment) bool { return e.Name == command.Name })
	if index < 0 {
		return result.New(result.InvalidNotFound, "experiment %q does not exist", command.Name)
	}
	document.Experiments = slices.Delete(document.Experiments, index, index+1)
	return nil
}

// maximumDrained bounds the number of drained replicas.
const maximumDrained = 1024

func (command DrainReplica) apply(document *Document, _ time.Time) error {
	if command.ReplicaID == "" || len(command.ReplicaID) > MaximumNameLength {
		return result.New(result.InvalidField, "replica %q: want 1 to %d bytes", command.ReplicaID, MaximumNameLength)
	}
	index, found := slices.BinarySearch(document.Drained, command.ReplicaID)
	switch {
	case found == command.Drained:
		return result.New(result.InvalidState, "replica %q is in that state", command.ReplicaID)
	case found:
		document.Drained = slices.Delete(document.Drained, index, index+1)
	case len(document.Drained) >= maximumDrained:
		return result.New(result.InvalidState, "at most %d drained replicas", maximumDrained)
	default:
		document.Drained = slices.Insert(document.Drained, index, command.ReplicaID)
	}
	return nil
}

func (document *Document) checkExperiment(experiment Experiment) error {
	if err := checkName("experiment", experiment.Name); err != nil {
		return err
	}
	if len(experiment.Arms) == 0 {
		return result.New(result.InvalidShares, "experiment %q has no policy", experiment.Name)
	}
	total := 0
	for index, arm := range experiment.Arms {
		if err := document.checkArm(experiment, index, arm); err != nil {
			return err
		}
		total += arm.Share
	}
	if total != shareTotal {
		return result.New(result.InvalidShares, "shares of experiment %q add up to %d, want %d", experiment.Name, total, shareTotal)
	}
	if experiment.Bound.Age < 0 || experiment.Bound.Versions > MaximumStalenessVersions {
		return result.New(result.InvalidField, "staleness bound of experiment %q is out of range", experiment.Name)
	}
	return nil
}

func (document *Document) checkArm(experiment Experiment, index int, arm Arm) error {
	if arm.Share <= 0 || arm.Share > shareTotal {
		return result.New(result.InvalidShares, "share %d of policy %q: want 1 to %d", arm.Share, arm.Policy, shareTotal)
	}
	policy, ok := document.Policy(arm.Policy)
	if !ok {
		return result.New(result.InvalidNotFound, "policy %q does not exist", arm.Policy)
	}
	if policy.State == PolicyRetired {
		return result.New(result.InvalidState, "policy %q is retired", arm.Policy)
	}
	if arm.LastVersion != 0 && arm.LastVersion < arm.FirstVersion {
		return result.New(result.InvalidVersion, "policy %q: versions %d to %d are empty", arm.Policy, arm.FirstVersion, arm.LastVersion)
	}
	for _, earlier := range experiment.Arms[:index] {
		if earlier.Policy == arm.Policy {
			return result.New(result.InvalidField, "policy %q stands twice in experiment %q", arm.Policy, experiment.Name)
		}
	}
	return nil
}
