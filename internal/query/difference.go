package query

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
)

// Difference describes the changes between two documents in one line.
func Difference(before, after experiment.Document) string {
	var parts []string
	for _, policy := range after.Policies {
		old, existed := before.Policy(policy.Name)
		if !existed {
			parts = append(parts, fmt.Sprintf("policy %s added at version %d", policy.Name, policy.Target))
			continue
		}
		parts = append(parts, policyDifference(old, policy)...)
	}
	for _, current := range after.Experiments {
		old, existed := before.Experiment(current.Name)
		old.Modified = current.Modified
		if !existed {
			parts = append(parts, fmt.Sprintf("experiment %s created", current.Name))
		} else if !reflect.DeepEqual(old, current) {
			parts = append(parts, fmt.Sprintf("experiment %s from %s to %s", current.Name, describe(old), describe(current)))
		}
	}
	for _, old := range before.Experiments {
		if _, kept := after.Experiment(old.Name); !kept {
			parts = append(parts, fmt.Sprintf("experiment %s removed", old.Name))
		}
	}
	if !reflect.DeepEqual(before.Drained, after.Drained) {
		parts = append(parts, fmt.Sprintf("drained replicas from %v to %v", before.Drained, after.Drained))
	}
	if len(parts) == 0 {
		return "nothing but the revision"
	}
	return strings.Join(parts, "; ")
}

func policyDifference(old, current experiment.Policy) []string {
	var parts []string
	if old.Target != current.Target {
		parts = append(parts, fmt.Sprintf("policy %s target %d to %d", current.Name, old.Target, current.Target))
	}
	if old.Published != current.Published {
		parts = append(parts, fmt.Sprintf("policy %s published %d to %d", current.Name, old.Published, current.Published))
	}
	if old.State != current.State {
		parts = append(parts, fmt.Sprintf("policy %s %s to %s", current.Name, old.State, current.State))
	}
	return parts
}

func describe(current experiment.Experiment) string {
	arms := make([]string, 0, len(current.Arms))
	for _, arm := range current.Arms {
		arms = append(arms, fmt.Sprintf("%s %d%%", arm.Policy, arm.Share))
	}
	return fmt.Sprintf("(%s; staleness %s)", strings.Join(arms, ", "), DescribeBound(current.Bound))
}

// DescribeBound returns a readable form of a staleness bound.
func DescribeBound(bound experiment.Bound) string {
	var parts []string
	if bound.HasVersions {
		parts = append(parts, fmt.Sprintf("%d versions", bound.Versions))
	}
	if bound.Age > 0 {
		parts = append(parts, bound.Age.String())
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, " and ")
}
