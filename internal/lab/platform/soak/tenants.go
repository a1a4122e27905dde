package soak

import (
	"fmt"
	"maps"
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

// compareUsage compares the reported windows with what the replicas ran of the callers' requests, and returns how many were compared and how
// many were exact. A run that begins within edge of a window's end may be counted in either window: the windows beside are passed over.
func (run *soak) compareUsage() (compared, exact int) {
	const edge = 5 * time.Millisecond
	truth, doubtful := make(map[int64]map[string]int64), make(map[int64]bool)
	for _, execution := range run.world.Executions.All() {
		if execution.Caller.Tenant == "" || strings.HasPrefix(execution.Request, "job-") {
			continue
		}
		window := execution.Started.UnixNano() / int64(usageWindow)
		if truth[window] == nil {
			truth[window] = make(map[string]int64)
		}
		truth[window][execution.Caller.Tenant]++
		for _, shift := range []time.Duration{-edge, edge} {
			if beside := execution.Started.Add(shift).UnixNano() / int64(usageWindow); beside != window {
				doubtful[window], doubtful[beside] = true, true
			}
		}
	}
	seen := make(map[int64]bool)
	for _, report := range run.world.Cloud.Reports() {
		if seen[report.Window] || doubtful[report.Window] || len(truth[report.Window]) == 0 {
			continue
		}
		seen[report.Window] = true
		compared++
		if maps.Equal(report.Counts, truth[report.Window]) {
			exact++
		}
	}
	return compared, exact
}
