package soak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/soak"
	"github.com/thistlewalk/thistlewalk/internal/lab/production"
)

// fixedSeeds are the plans that every run of the tests carries out. Seeds that failed once stand here with their cause.
var fixedSeeds = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{seed: 7, length: 14 * time.Second, cause: "none: a plan with kills, a freeze, a cut and an outage of the store"},
	{seed: 1796211571, length: time.Minute, cause: "the soak itself: it asked for the newest configuration 0.4 s after a silent store came back"},
	{seed: 1796233452, length: time.Minute, cause: "the soak itself: it blamed a front for items that a link had held up for 4.6 s, and brought to the replica 3.25 s after the end of their job"},
}

// The real programs keep their promises under the faults of fixed plans.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "rollout")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "github.com/thistlewalk/thistlewalk/cmd/thistlewalk-rollout").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	for _, fixed := range fixedSeeds {
		plan := soak.Draw(fixed.seed, fixed.length)
		report, err := soak.Run(t.Context(), soak.Options{Binary: binary, Folder: t.TempDir(), Plan: plan})
		must.NoError(t, err)
		t.Log(report)
		must.SliceEmpty(t, report.Violations, must.Sprint(report, "\n", plan))
		must.Positive(t, report.Served)
		must.Positive(t, report.Items)
	}
}

// overlappingSeeds are plans whose faults overlap. Seeds that failed once stand here with their cause.
var overlappingSeeds = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{seed: 1796245766, length: 20 * time.Second, cause: "none"},
	{seed: 1796254798, length: 40 * time.Second, cause: "a planned stop cut a call, since the removal of the node's record from a silent store took the time that was left for it"},
	{seed: 1796254897, length: 40 * time.Second, cause: "a SIGHUP ended a process that had just begun and did not listen for it yet"},
}

// The same with series of signals, requests that end replicas and callers that keep their connections, which overlap the other faults.
func TestSoakOverlapping(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "rollout")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "github.com/thistlewalk/thistlewalk/cmd/thistlewalk-rollout").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	for _, fixed := range overlappingSeeds {
		plan := soak.DrawOverlapping(fixed.seed, fixed.length)
		report, err := soak.Run(t.Context(), soak.Options{Binary: binary, Folder: t.TempDir(), Plan: plan})
		must.NoError(t, err)
		t.Log(report)
		must.SliceEmpty(t, report.Violations, must.Sprint(report, "\n", plan))
		must.Positive(t, report.KeptCalls)
		must.GreaterEq(t, 3, report.EndedReplicas, must.Sprint("requests end replicas"))
	}
}

// mixedSeeds are plans in which machines start again on another build. Seeds that failed once stand here with their cause.
var mixedSeeds = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{seed: 1796270200, length: 30 * time.Second, cause: "updates were packed for nodes of the build in production, which passed over them: three fronts lacked a configuration"},
}

// The program that runs in production and that of the sources as they stand keep the promises side by side, whichever machine runs which.
func TestSoakMixed(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "rollout")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "github.com/thistlewalk/thistlewalk/cmd/thistlewalk-rollout").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	inProduction, err := production.Build(t.Context(), filepath.Join("..", "..", "..", ".."), t.TempDir())
	must.NoError(t, err)
	for _, fixed := range mixedSeeds {
		plan := soak.DrawMixed(fixed.seed, fixed.length)
		report, err := soak.Run(t.Context(), soak.Options{Binary: binary, Production: inProduction, Folder: t.TempDir(), Plan: plan})
		must.NoError(t, err)
		t.Log(report)
		must.SliceEmpty(t, report.Violations, must.Sprint(report, "\n", plan))
		must.Positive(t, report.Served)
		must.Positive(t, report.Items)
	}
}

// The courses of upgrades are all drawn, and each begins with a machine in production.
func TestDrawMixed(t *testing.T) {
	lengths := make(map[int]bool)
	for seed := range uint64(40) {
		plan := soak.DrawMixed(seed, time.Minute)
		must.Eq(t, plan.String(), soak.DrawMixed(seed, time.Minute).String())
		must.SliceContains(t, plan.Builds, soak.BuildProduction)
		upgrades := 0
		for _, event := range plan.Events {
			if event.Kind == soak.KindUpgrade {
				upgrades++
			}
		}
		lengths[upgrades] = true
	}
	for _, upgrades := range []int{4, 8, 12} { // halted; forth, or half of it and back; one machine to and fro, then all
		must.True(t, lengths[upgrades], must.Sprint(upgrades, " of ", lengths))
	}
}

// While nothing fails, each window's report is what the replicas ran in it.
func TestUsageIsExact(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "rollout")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "github.com/thistlewalk/thistlewalk/cmd/thistlewalk-rollout").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	report, err := soak.Run(t.Context(), soak.Options{Binary: binary, Folder: t.TempDir(), Plan: soak.Plan{Seed: 1, Length: 14 * time.Second}})
	must.NoError(t, err)
	must.SliceEmpty(t, report.Violations, must.Sprint(report))
	must.GreaterEq(t, 3, report.ExactWindows, must.Sprint(report))
	must.Eq(t, report.ComparedWindows, report.ExactWindows, must.Sprint(report))
}

// The same seed draws the same plan, in order and within its length.
func TestDraw(t *testing.T) {
	plan := soak.Draw(5, time.Minute)
	must.Eq(t, plan.String(), soak.Draw(5, time.Minute).String())
	must.NotEq(t, plan.String(), soak.Draw(6, time.Minute).String())
	before := time.Duration(0)
	for _, event := range plan.Events {
		must.GreaterEq(t, before, event.At)
		must.LessEq(t, plan.Length, event.At+event.For)
		before = event.At
	}
}
