package command

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

func TestStatements(t *testing.T) {
	age := 10 * time.Minute
	cases := []struct {
		text string
		want experiment.Command
	}{
		{"add policy a version 1", experiment.AddPolicy{Name: "a", Version: 1}},
		{"add policy a version 1 automatic", experiment.AddPolicy{Name: "a", Version: 1, Automatic: true}},
		{"swap policy a to 7", experiment.SwapPolicy{Name: "a", Version: 7}},
		{"publish policy a version 8", experiment.PublishVersion{Name: "a", Version: 8}},
		{"pause policy a", experiment.SetPolicyState{Name: "a", State: experiment.PolicyPaused}},
		{"resume policy a", experiment.SetPolicyState{Name: "a", State: experiment.PolicyActive}},
		{"retire policy a", experiment.SetPolicyState{Name: "a", State: experiment.PolicyRetired}},
		{"create experiment e with a share 70 versions 1..9, b share 30 versions 2.. staleness 2 versions age 10m",
			experiment.PutExperiment{Experiment: experiment.Experiment{Name: "e", Arms: []experiment.Arm{
				{Policy: "a", Share: 70, FirstVersion: 1, LastVersion: 9}, {Policy: "b", Share: 30, FirstVersion: 2}},
				Bound: experiment.Bound{HasVersions: true, Versions: 2, Age: age}}}},
		{"alter experiment e staleness none age 10m", experiment.AlterExperiment{Name: "e", Versions: &experiment.VersionsBound{}, Age: &age}},
		{"alter experiment e with a share 100", experiment.AlterExperiment{Name: "e", Arms: []experiment.Arm{{Policy: "a", Share: 100}}}},
		{"remove experiment e", experiment.RemoveExperiment{Name: "e"}},
		{"drain replica engine-1", experiment.DrainReplica{ReplicaID: "engine-1", Drained: true}},
		{`undrain replica "10.0.0.1:80"`, experiment.DrainReplica{ReplicaID: "10.0.0.1:80"}},
	}
	for _, test := range cases {
		statements, err := Parse(test.text)
		must.NoError(t, err, must.Sprint(test.text))
		must.Len(t, 1, statements)
		must.Eq(t, test.want, statements[0].Change, must.Sprint(test.text))
	}
}

func TestScriptsCommentsAndQueries(t *testing.T) {
	statements, err := Parse("-- first\npause policy a;;\nshow steps where state = open and filled >= 3 order by created descending limit 5; end step \"s 1\"")
	must.NoError(t, err)
	must.Len(t, 3, statements)
	must.Eq(t, "steps", statements[1].Show.Subject)
	must.Len(t, 2, statements[1].Show.Where)
	must.True(t, statements[1].Show.Descending)
	must.Eq(t, "s 1", statements[2].EndStep)
}

func TestSyntaxErrorsNameTheColumnAndWhatWasExpected(t *testing.T) {
	for text, want := range map[string]string{
		"add polcy a":            `line 1, column 5: unexpected token "polcy" (expected "policy"`,
		"show\nnothing":          "line 2, column 1",
		"swap policy a to b":     "line 1, column 18",
		"add policy a version -": "line 1, column 22",
	} {
		_, err := Parse(text)
		must.Eq(t, result.InvalidSyntax, result.CodeOf(err), must.Sprint(text))
		must.StrContains(t, err.Error(), want)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("create experiment e with a share 70 versions 1..9 staleness 2; show steps where a != 3")
	f.Fuzz(func(t *testing.T, text string) { _, _ = Parse(text) })
}
