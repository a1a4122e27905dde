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

// fixedSeeds are the plans of TestSoak. A seed that failed is added with its cause.
var fixedSeeds = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{seed: 7, length: 14 * time.Second, cause: "none: a plan with kills, a freeze, a partition and an outage of the store"},
	{seed: 1796211571, length: time.Minute, cause: "a fault of the soak: it expected the newest configuration before the fronts could recover from a silent store"},
	{seed: 1796233452, length: time.Minute, cause: "a fault of the soak: it reported items of an ended job that a faulty link had delayed"},
}

// Guards against promises that the real programs break under the faults of a plan.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "rollout")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "github.com/thistlewalk/thistlewalk/cmd/thistlewalk-rollout").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	replicaOrders := 0
	for _, fixed := range fixedSeeds {
		plan := soak.Draw(fixed.seed, fixed.length)
		report, err := soak.Run(t.Context(), soak.Options{Binary: binary, Folder: t.TempDir(), Plan: plan})
		must.NoError(t, err)
		t.Log(report)
		must.SliceEmpty(t, report.Violations, must.Sprint(report, "\n", plan))
		must.Positive(t, report.Served)
		must.Positive(t, report.Items)
		replicaOrders += report.ReplicaOrders
	}
	must.Positive(t, replicaOrders, must.Sprint("no plan leaves a term in peace for long enough to order replicas"))
}

// overlappingSeeds are the plans of TestSoakOverlapping. A seed that failed is added with its cause.
var overlappingSeeds = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{seed: 1796245766, length: 20 * time.Second, cause: "none"},
	{seed: 1796254798, length: 40 * time.Second, cause: "a graceful shutdown cut off a call: removing the node's record from a silent store used up the grace period"},
	{seed: 1796700000, length: 20 * time.Second, cause: "an item was withheld for an hour since replicas had crashed while they ran it"},
	{seed: 1796254897, length: 40 * time.Second, cause: "a SIGHUP ended a process that had just started and did not handle the signal yet"},
}

// Guards against promises broken when signal series, silent connections and requests that crash replicas overlap other faults.
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
		must.Positive(t, report.PersistentCalls)
		must.GreaterEq(t, 3, report.CrashedReplicas, must.Sprint("requests crash replicas"))
	}
}

// Guards against jobs that stay incomplete for a long time after the last fault since many of their scoring requests are in quarantine, where
// they are tried one after the other.
func TestSoakManyScoresInQuarantine(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "rollout")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "github.com/thistlewalk/thistlewalk/cmd/thistlewalk-rollout").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	plan := soak.DrawOverlapping(1796310110, 30*time.Second)
	report, err := soak.Run(t.Context(), soak.Options{Binary: binary, Folder: t.TempDir(), Plan: plan})
	must.NoError(t, err)
	t.Log(report)
	must.SliceEmpty(t, report.Violations, must.Sprint(report, "\n", plan))
}

// mixedSeeds are the plans of TestSoakMixed. A seed that failed is added with its cause.
var mixedSeeds = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{seed: 1796270200, length: 30 * time.Second, cause: "updates were batched in a message that nodes of the production build ignored, so that fronts missed a configuration"},
}

// Guards against promises broken while the production build and the current build run in one deployment.
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

// Guards against upgrade courses that are never drawn, and against plans that start without a node on the production build.
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
	for _, upgrades := range []int{4, 8, 12} { // halted; complete or rolled back; alternate
		must.True(t, lengths[upgrades], must.Sprint(upgrades, " of ", lengths))
	}
}

// Guards against usage reports that differ from the runs at the replicas while no fault occurs.
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

// Guards against runs that are counted wrongly, or compared wrongly, where requests take long to reach the replicas.
func TestUsageIsExactOverSlowLinks(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "rollout")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "github.com/thistlewalk/thistlewalk/cmd/thistlewalk-rollout").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	plan := soak.Plan{Seed: 1, Length: 14 * time.Second}
	for target := range 8 {
		plan.Events = append(plan.Events, soak.Event{Kind: soak.KindReplicaLink, At: time.Second, For: 12 * time.Second, Target: target, Variant: 2})
	}
	report, err := soak.Run(t.Context(), soak.Options{Binary: binary, Folder: t.TempDir(), Plan: plan})
	must.NoError(t, err)
	must.SliceEmpty(t, report.Violations, must.Sprint(report))
	must.GreaterEq(t, 3, report.ExactWindows, must.Sprint(report))
	must.Eq(t, report.ComparedWindows, report.ExactWindows, must.Sprint(report))
}

// Guards against plans that a seed does not reproduce, and against events out of order or beyond the end of the plan.
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

// pulseSeeds are the plans of TestSoakPulses. A seed that failed is added with its cause.
var pulseSeeds = []struct {
	seed   uint64
	length time.Duration
	cause  string
}{
	{seed: 1797140000, length: time.Minute, cause: "an item under which replicas had crashed was withheld in each step that brought it back"},
}

// Guards against items and steps that stay behind after faults, where trainers bring incomplete groups back and replicas queue requests.
func TestSoakPulses(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "rollout")
	output, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "github.com/thistlewalk/thistlewalk/cmd/thistlewalk-rollout").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	for _, fixed := range pulseSeeds {
		plan := soak.DrawPulses(fixed.seed, fixed.length)
		report, err := soak.Run(t.Context(), soak.Options{Binary: binary, Folder: t.TempDir(), Plan: plan})
		must.NoError(t, err)
		t.Log(report)
		must.SliceEmpty(t, report.Violations, must.Sprint(report, "\n", plan))
		must.Positive(t, report.Items)
	}
}
