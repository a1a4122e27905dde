package soak

import (
	"fmt"
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

// usageBounds are the minimum and maximum number of runs by tenant that the report of a window may contain.
type usageBounds struct{ min, max map[string]int64 }

// windowMargin is how close to a window's boundary a run may start and still be counted in the adjacent window. A front counts a request when it
// sends it, which is earlier than the start at the replica.
const windowMargin = 5 * time.Millisecond

// compareUsage compares the usage reports with the callers' requests that the replicas ran. It returns how many windows it compared and how many
// of them matched. Runs near a boundary may be counted in either window.
func (run *soak) compareUsage() (compared, exact int) {
	expected := usageByWindow(run.deployment.Executions.All())
	seen := make(map[int64]bool)
	for _, report := range run.deployment.Cloud.Reports() {
		bounds, ran := expected[report.Window]
		if seen[report.Window] || !ran {
			continue
		}
		seen[report.Window] = true
		compared++
		if bounds.allow(report.Counts) {
			exact++
		}
	}
	return compared, exact
}

// usageByWindow returns the bounds of each window in which requests of tenants ran.
func usageByWindow(executions []site.Execution) map[int64]usageBounds {
	windows := make(map[int64]usageBounds)
	add := func(window int64, tenant string, certain bool) {
		if windows[window].max == nil {
			windows[window] = usageBounds{min: make(map[string]int64), max: make(map[string]int64)}
		}
		windows[window].max[tenant]++
		if certain {
			windows[window].min[tenant]++
		}
	}
	for _, execution := range executions {
		tenant := execution.Caller.Tenant
		if tenant == "" || strings.HasPrefix(execution.Request, "job-") {
			continue // scorer requests have no tenant, and job items are not counted
		}
		before := execution.Started.Add(-windowMargin).UnixNano() / int64(usageWindow)
		after := execution.Started.Add(windowMargin).UnixNano() / int64(usageWindow)
		add(before, tenant, before == after)
		if before != after {
			add(after, tenant, false)
		}
	}
	return windows
}

// allow reports whether the counts are within the bounds and contain no other tenant.
func (bounds usageBounds) allow(counts map[string]int64) bool {
	for tenant, limit := range bounds.max {
		if counts[tenant] < bounds.min[tenant] || counts[tenant] > limit {
			return false
		}
	}
	for tenant := range counts {
		if bounds.max[tenant] == 0 {
			return false
		}
	}
	return true
}
