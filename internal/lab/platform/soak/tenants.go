package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
)

// tenantNames are the tenants of the deployment. Each has a key that lasts, and one that each configuration replaces.
var tenantNames = [...]string{"harbour", "airport", "depot"}

// tenantOf returns the tenant of the n-th request or job.
func tenantOf(number int) string { return tenantNames[number%len(tenantNames)] }

// keyOf returns the key of a tenant that every configuration has.
func keyOf(tenant string) string { return "lasting-key-of-" + tenant }

// versionKeyOf returns the key of a tenant that only the configuration of a version and the next have.
func versionKeyOf(tenant string, version int64) string {
	return fmt.Sprint("key-of-", tenant, "-", version)
}

// authorization returns the header by which a caller presents a key.
func authorization(key string) []string { return []string{"Authorization", "Bearer " + key} }

// tenantsAt is the part of the operator's document on tenants, at a version.
func tenantsAt(version int64) []map[string]any {
	var list []map[string]any
	for _, name := range tenantNames {
		keys := []string{keyOf(name), versionKeyOf(name, version), versionKeyOf(name, version-1)}
		list = append(list, map[string]any{"name": name, "api-keys": keys, "priority": 1})
	}
	return list
}

// judgeCallers checks that the replicas which ran a request were told its tenant, empty for none, and no key.
func judgeCallers(executions *site.Executions, id, tenant string) []Violation {
	var list []Violation
	for _, execution := range executions.Of(id) {
		if execution.Caller.Tenant != tenant || execution.Caller.Authorization != "" {
			list = append(list, Violation{Promise: PromiseTenant, Subject: id, Detail: fmt.Sprintf(
				"%s was told tenant %q and key %q, not tenant %q", execution.Replica, execution.Caller.Tenant, execution.Caller.Authorization, tenant)})
		}
	}
	return list
}

// judgeUsage checks reports of usage: one content a window, fences that don't fall, and holders that don't take turns.
func judgeUsage(reports []site.UsageReport) []Violation {
	var list []Violation
	fail := func(report site.UsageReport, format string, arguments ...any) {
		list = append(list, Violation{Promise: PromiseUsage, Subject: fmt.Sprint("window ", report.Window), Detail: fmt.Sprintf(format, arguments...)})
	}
	contents := make(map[int64]string)
	for index, report := range reports {
		content := fmt.Sprint(report.Counts)
		if known, taken := contents[report.Window]; taken && known != content {
			fail(report, "reported as %s by %s, before as %s", content, report.Holder, known)
		}
		contents[report.Window] = content
		if index == 0 {
			continue
		}
		before := reports[index-1]
		gap := report.At.Sub(before.At)
		switch {
		case report.Fence < before.Fence:
			fail(report, "fence %d of %s after %d of %s", report.Fence, report.Holder, before.Fence, before.Holder)
		case report.Holder != before.Holder && (report.Fence == before.Fence || gap < leaseTime):
			fail(report, "%s with fence %d, %s after %s with fence %d", report.Holder, report.Fence, gap, before.Holder, before.Fence)
		}
	}
	return list
}

// usageBounds are the least and the most runs of each tenant that a report of a window may tell.
type usageBounds struct{ least, most map[string]int64 }

// edge is how near to the end of a window a run may begin to be counted in the window beside: a front counts it as it sends it.
const edge = 5 * time.Millisecond

// compareUsage compares the reported windows with what the replicas ran of the callers' requests, and returns how many were compared and how
// many were exact, but for runs at their edges, which may be counted on either side.
func (run *soak) compareUsage() (compared, exact int) {
	truth := usageOf(run.world.Executions.All())
	seen := make(map[int64]bool)
	for _, report := range run.world.Cloud.Reports() {
		bounds, ran := truth[report.Window]
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

// usageOf returns the bounds of each window in which requests of tenants ran.
func usageOf(executions []site.Execution) map[int64]usageBounds {
	windows := make(map[int64]usageBounds)
	add := func(window int64, tenant string, certain bool) {
		if windows[window].most == nil {
			windows[window] = usageBounds{least: make(map[string]int64), most: make(map[string]int64)}
		}
		windows[window].most[tenant]++
		if certain {
			windows[window].least[tenant]++
		}
	}
	for _, execution := range executions {
		tenant := execution.Caller.Tenant
		if tenant == "" || strings.HasPrefix(execution.Request, "job-") {
			continue // scorers are asked for no tenant, and items are not counted
		}
		before := execution.Started.Add(-edge).UnixNano() / int64(usageWindow)
		after := execution.Started.Add(edge).UnixNano() / int64(usageWindow)
		add(before, tenant, before == after)
		if before != after {
			add(after, tenant, false)
		}
	}
	return windows
}

// allow reports whether counts lie within the bounds, and tell of no other tenant.
func (bounds usageBounds) allow(counts map[string]int64) bool {
	for tenant, most := range bounds.most {
		if counts[tenant] < bounds.least[tenant] || counts[tenant] > most {
			return false
		}
	}
	for tenant := range counts {
		if bounds.most[tenant] == 0 {
			return false
		}
	}
	return true
}
