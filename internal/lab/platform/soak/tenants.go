package soak

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
)

// tenantNames are the tenants of the deployment. Each has a permanent key and a key that every configuration replaces.
var tenantNames = [...]string{"harbour", "airport", "depot"}

// tenantOf returns the tenant of the n-th request or job.
func tenantOf(number int) string { return tenantNames[number%len(tenantNames)] }

// keyOf returns the key of a tenant that every configuration contains.
func keyOf(tenant string) string { return "lasting-key-of-" + tenant }

// versionKeyOf returns the key of a tenant that only the given configuration version and the next one contain.
func versionKeyOf(tenant string, version int64) string {
	return fmt.Sprint("key-of-", tenant, "-", version)
}

// authorization returns the header by which a caller presents a key.
func authorization(key string) []string { return []string{"Authorization", "Bearer " + key} }

// tenantsAt returns the tenants section of the operator's configuration document at a version.
func tenantsAt(version int64) []map[string]any {
	var list []map[string]any
	for _, name := range tenantNames {
		keys := []string{keyOf(name), versionKeyOf(name, version), versionKeyOf(name, version-1)}
		list = append(list, map[string]any{"name": name, "api-keys": keys, "priority": 1})
	}
	return list
}

// checkCallers checks that the replicas that ran a request received its tenant, which is empty for scorers, and no key.
func checkCallers(executions *site.Executions, id, tenant string) []Violation {
	var list []Violation
	for _, execution := range executions.Of(id) {
		if execution.Caller.Tenant != tenant || execution.Caller.Authorization != "" {
			list = append(list, Violation{Promise: PromiseTenant, Subject: id, Detail: fmt.Sprintf(
				"%s received tenant %q and key %q, expected tenant %q and no key", execution.Replica, execution.Caller.Tenant, execution.Caller.Authorization, tenant)})
		}
	}
	return list
}

// checkUsage checks the usage reports: all reports of a window are equal, and one node at a time sends them.
func checkUsage(reports []site.UsageReport) []Violation {
	var list []Violation
	contents := make(map[int64]string)
	for index, report := range reports {
		subject := fmt.Sprint("window ", report.Window)
		content := fmt.Sprint(report.Counts)
		if known, taken := contents[report.Window]; taken && known != content {
			list = append(list, Violation{Promise: PromiseUsage, Subject: subject, Detail: fmt.Sprintf("reported as %s by %s, before as %s", content, report.Holder, known)})
		}
		contents[report.Window] = content
		if index > 0 {
			list = append(list, checkHolder(PromiseUsage, subject, reports[index-1].CloudCall, report.CloudCall)...)
		}
	}
	return list
}

// checkHolder checks two consecutive calls to the platform: the fence never decreases, and a new holder has a higher fence and starts no earlier
// than a lease duration after the previous holder's last call.
func checkHolder(promise Promise, subject string, before, call site.CloudCall) []Violation {
	gap := call.At.Sub(before.At)
	switch {
	case call.Fence < before.Fence:
		return []Violation{{Promise: promise, Subject: subject, Detail: fmt.Sprintf("fence %d of %s after %d of %s", call.Fence, call.Holder, before.Fence, before.Holder)}}
	case call.Holder != before.Holder && (call.Fence == before.Fence || gap < leaseDuration):
		return []Violation{{Promise: promise, Subject: subject, Detail: fmt.Sprintf(
			"%s with fence %d, %s after %s with fence %d", call.Holder, call.Fence, gap, before.Holder, before.Fence)}}
	}
	return nil
}

// checkReplicaOrders checks the orders for replicas: one node at a time sends them, and they are within the bounds of the configurations.
func checkReplicaOrders(orders []site.ScaleOrder) []Violation {
	var list []Violation
	for index, order := range orders {
		subject := order.Service + " in " + order.Zone
		if order.Service != applicationName || order.Zone != zoneName || order.Spot || order.Count < minReplicas || order.Count > maxReplicas {
			list = append(list, Violation{Promise: PromiseReplicaOrders, Subject: subject, Detail: fmt.Sprintf("%s ordered %d, spot %t", order.Holder, order.Count, order.Spot)})
		}
		if index > 0 {
			list = append(list, checkHolder(PromiseReplicaOrders, subject, orders[index-1].CloudCall, order.CloudCall)...)
		}
	}
	return list
}

// compareUsage compares the usage reports with the callers' requests that the replicas ran. It returns how many windows it compared and how many
// of them matched.
func (run *soak) compareUsage() (compared, exact int) {
	return matchUsage(runsByWindow(run.deployment.Executions.All(), run.callers.sentAt), run.deployment.Cloud.Reports())
}

// windowRuns are the numbers of runs, by tenant, that belong to a window.
type windowRuns struct {
	// certain are the runs that are counted in this window, either those that are counted in this window or in the next one.
	certain, either map[string]int64
}

// runsByWindow returns the runs of tenants' requests by window. A front counts a run when it sends it, which is after the caller has begun to send
// the request, at the time in sentAt by identifier, and before the replica starts to run it. Without a time in sentAt, only the window of the start
// is allowed.
func runsByWindow(executions []site.Execution, sentAt map[string]time.Time) map[int64]windowRuns {
	windows := make(map[int64]windowRuns)
	at := func(window int64) windowRuns {
		if windows[window].certain == nil {
			windows[window] = windowRuns{certain: make(map[string]int64), either: make(map[string]int64)}
		}
		return windows[window]
	}
	for _, execution := range executions {
		tenant := execution.Caller.Tenant
		if tenant == "" || strings.HasPrefix(execution.Request, "job-") {
			continue // scorer requests have no tenant, and job items are not counted
		}
		started := windowOf(execution.Started)
		runs := at(started)
		if sent, known := sentAt[execution.Request]; known && windowOf(sent) < started {
			at(started - 1).either[tenant]++
			continue
		}
		runs.certain[tenant]++
	}
	return windows
}

func windowOf(moment time.Time) int64 { return moment.UnixNano() / int64(usageWindow) }

// span is a range of possible numbers of runs.
type span struct{ min, max int64 }

// matchUsage compares the first report of each window in which requests ran. A window matches if its report counts each run that belongs to it
// exactly once: a run that may be counted in either of two windows must be counted in one of them.
func matchUsage(runs map[int64]windowRuns, reports []site.UsageReport) (compared, exact int) {
	counts := make(map[int64]map[string]int64)
	for _, report := range reports {
		if _, seen := counts[report.Window]; !seen {
			counts[report.Window] = report.Counts
		}
	}
	// earlier holds, by tenant, how many of the runs that the previous window shares with this one were counted there.
	var earlier map[string]span
	for _, window := range slices.Sorted(maps.Keys(counts)) {
		if _, reported := counts[window-1]; !reported {
			earlier = nil
		}
		matches, later := matchWindow(runs[window-1], runs[window], counts[window], earlier)
		earlier = later
		if _, ran := runs[window]; !ran {
			continue
		}
		compared++
		if matches {
			exact++
		}
	}
	return compared, exact
}

// matchWindow compares the report of one window. later are the numbers of runs, of those that the window shares with the next one, that the report
// can contain.
func matchWindow(previous, runs windowRuns, counts map[string]int64, earlier map[string]span) (matches bool, later map[string]span) {
	matches, later = true, make(map[string]span)
	tenants := make(map[string]bool)
	for _, list := range [...]map[string]int64{previous.either, runs.certain, runs.either, counts} {
		for tenant := range list {
			tenants[tenant] = true
		}
	}
	for tenant := range tenants {
		before, known := earlier[tenant]
		if !known {
			before = span{0, previous.either[tenant]}
		}
		// This window counts those shared runs that the previous one has not counted. What is left is shared with the next one.
		left := counts[tenant] - runs.certain[tenant] - previous.either[tenant]
		possible := span{max(left+before.min, 0), min(left+before.max, runs.either[tenant])}
		if possible.min > possible.max {
			matches, possible = false, span{0, runs.either[tenant]}
		}
		later[tenant] = possible
	}
	return matches, later
}

// readAsOtherTenant reads a job with the key of another tenant, and checks that the job is not disclosed.
func (trainers *trainers) readAsOtherTenant(ctx context.Context, job *trainerJob) {
	other := tenantNames[0]
	if other == job.tenant {
		other = tenantNames[1]
	}
	node := trainers.ingress.pick()
	got := call(ctx, node, http.MethodGet, "/thistlewalk/lots/"+job.id+"?after-rev=0", "pry-"+job.id, "", readTimeout, authorization(keyOf(other))...)
	if got.err == nil && got.status != http.StatusNotFound && got.status != http.StatusServiceUnavailable {
		trainers.report(Violation{Promise: PromiseTenant, Subject: job.id, Detail: fmt.Sprintf("%s answered tenant %s, which does not own the job, with %d", node.Name, other, got.status)})
	}
}

// verifyTenants checks that all items ran for the tenants of their jobs, and all scorer requests without a tenant.
func (trainers *trainers) verifyTenants() {
	for _, job := range trainers.jobs {
		for _, id := range job.items {
			for _, violation := range append(checkCallers(trainers.deployment.Executions, id, job.tenant), checkCallers(trainers.deployment.Executions, scorerOf(id), "")...) {
				trainers.report(violation)
			}
		}
	}
}
