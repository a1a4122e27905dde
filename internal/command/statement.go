package command

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
)

// Statement is one parsed statement. Exactly one of Change, EndStep and Show is set.
type Statement struct {
	// Text is the statement as written.
	Text    string
	Change  experiment.Command
	EndStep string
	Show    *Show
}

// Parse parses a script. Semicolons separate statements; comments extend from "--" to the end of the line.
func Parse(text string) ([]Statement, error) {
	parsed, err := parse(text)
	if err != nil {
		return nil, err
	}
	statements := make([]Statement, 0, len(parsed.Statements))
	for _, node := range parsed.Statements {
		statement := node.toStatement()
		statement.Text = text[node.Pos.Offset:min(node.EndPos.Offset, len(text))]
		statements = append(statements, statement)
	}
	return statements, nil
}

func (node *statement) toStatement() Statement {
	switch {
	case node.Show != nil:
		return Statement{Show: node.Show}
	case node.End != nil:
		return Statement{EndStep: *node.End}
	default:
		return Statement{Change: node.toCommand()}
	}
}

func (node *statement) toCommand() experiment.Command {
	switch {
	case node.Add != nil:
		return experiment.AddPolicy{Name: node.Add.Name, Version: node.Add.Version, Automatic: node.Add.Automatic}
	case node.Swap != nil:
		return experiment.SwapPolicy{Name: node.Swap.Name, Version: node.Swap.Version}
	case node.Publish != nil:
		return experiment.PublishVersion{Name: node.Publish.Name, Version: node.Publish.Version}
	case node.Pause != nil:
		return experiment.SetPolicyState{Name: *node.Pause, State: experiment.PolicyPaused}
	case node.Resume != nil:
		return experiment.SetPolicyState{Name: *node.Resume, State: experiment.PolicyActive}
	case node.Retire != nil:
		return experiment.SetPolicyState{Name: *node.Retire, State: experiment.PolicyRetired}
	case node.Create != nil:
		created := experiment.Experiment{Name: node.Create.Name, Arms: toArms(node.Create.Arms)}
		node.Create.Bound.applyTo(&created.Bound)
		return experiment.PutExperiment{Experiment: created}
	case node.Alter != nil:
		return node.Alter.toCommand()
	case node.Remove != nil:
		return experiment.RemoveExperiment{Name: *node.Remove}
	case node.Drain != nil:
		return experiment.DrainReplica{ReplicaID: *node.Drain, Drained: true}
	default:
		return experiment.DrainReplica{ReplicaID: *node.Undrain}
	}
}

func toArms(clauses []*armClause) []experiment.Arm {
	if len(clauses) == 0 {
		return nil
	}
	list := make([]experiment.Arm, 0, len(clauses))
	for _, clause := range clauses {
		arm := experiment.Arm{Policy: clause.Policy, Share: clause.Share}
		if clause.Range != nil {
			arm.FirstVersion = clause.Range.First
		}
		if clause.Range != nil && clause.Range.Last != nil {
			arm.LastVersion = *clause.Range.Last
		}
		list = append(list, arm)
	}
	return list
}

func (node *alterStatement) toCommand() experiment.Command {
	alter := experiment.AlterExperiment{Name: node.Name, Arms: toArms(node.Arms)}
	if node.Bound.Versions != nil {
		alter.Versions = &experiment.VersionsBound{Set: !node.Bound.Versions.None, Versions: node.Bound.Versions.Versions}
	}
	if node.Bound.Age != nil {
		age := time.Duration(node.Bound.Age.Age)
		alter.Age = &age
	}
	return alter
}

// applyTo sets those parts of a bound that the clause contains.
func (clause boundClause) applyTo(bound *experiment.Bound) {
	if clause.Versions != nil {
		bound.HasVersions = !clause.Versions.None
		bound.Versions = clause.Versions.Versions
	}
	if clause.Age != nil {
		bound.Age = time.Duration(clause.Age.Age)
	}
}
