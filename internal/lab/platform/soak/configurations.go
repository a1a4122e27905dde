package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// configurationChecker probes which configuration each front applies, through routes that exist in one version only.
type configurationChecker struct {
	deployment *Deployment
	faults     *activeFaults
	report     func(Violation)

	mu         sync.Mutex
	seen       map[*Node]observedVersion
	lastNumber int
}

// observedVersion is the newest configuration version that an incarnation of a front was seen to apply.
type observedVersion struct {
	incarnation int
	version     int64
	at          time.Time
}

const configurationProbeInterval = 250 * time.Millisecond

func (checker *configurationChecker) run(ctx context.Context) {
	checker.seen = make(map[*Node]observedVersion)
	var running sync.WaitGroup
	for pause(ctx, configurationProbeInterval) {
		for _, node := range checker.deployment.Fronts() {
			running.Go(func() { checker.probe(ctx, node) })
		}
	}
	running.Wait()
}

// probe calls the mark routes of the newest version and of the version before at a front.
func (checker *configurationChecker) probe(ctx context.Context, node *Node) {
	newest := checker.deployment.Configured()
	incarnation := node.Incarnation()
	checker.mu.Lock()
	before := checker.seen[node]
	checker.mu.Unlock()
	sent := time.Now()
	got := checker.callMarkRoute(ctx, node, newest)
	if got.err != nil || node.Incarnation() != incarnation {
		return
	}
	if got.status == http.StatusOK {
		checker.record(node, observedVersion{incarnation: incarnation, version: newest, at: time.Now()})
	}
	checker.checkOverdue(node, newest, got)
	if checker.deployment.tenants {
		checker.checkRevokedKeys(ctx, node, newest)
	}
	if before.incarnation != incarnation || before.version < newest || sent.Sub(before.at) <= activationMargin {
		return
	}
	older := checker.callMarkRoute(ctx, node, newest-1)
	pause(ctx, activationMargin) // the front may be applying a newer version
	if checker.deployment.Configured() != newest || node.Incarnation() != incarnation {
		return
	}
	if got.status == http.StatusNotFound || older.status == http.StatusOK {
		checker.report(Violation{Promise: PromiseConfiguration, Subject: node.Name, Detail: fmt.Sprintf(
			"version %d was in force: its route answers %d, that of the version before %d", newest, got.status, older.status)})
	}
}

// checkRevokedKeys calls a front with a key that the newest version revoked and with a key that no version contained. The former may be accepted
// while a fault keeps the front from applying the newest version, the latter never.
func (checker *configurationChecker) checkRevokedKeys(ctx context.Context, node *Node, newest int64) {
	checker.mu.Lock()
	checker.lastNumber++
	number := checker.lastNumber
	checker.mu.Unlock()
	tenant := tenantOf(number)
	try := func(id, key string) answer {
		return call(ctx, node, http.MethodPost, "/call/"+id, id, "x", callTimeout, authorization(key)...)
	}
	unknown := fmt.Sprint("unknown-", number)
	if got := try(unknown, "no-key-of-"+tenant); got.status == http.StatusOK || len(checker.deployment.Executions.Of(unknown)) > 0 {
		checker.report(Violation{Promise: PromiseTenant, Subject: node.Name, Detail: "a key that no configuration contained was accepted"})
	}
	sent := time.Now()
	idle, quiet := checker.faults.idleSince()
	got := try(fmt.Sprint("revoked-", number), versionKeyOf(tenant, newest-2))
	if got.status == http.StatusOK && quiet && sent.Sub(idle) > recoveryTime+applyTime && sent.Sub(checker.deployment.ConfiguredAt()) > applyTime {
		checker.report(Violation{Promise: PromiseTenant, Subject: node.Name, Detail: fmt.Sprintf(
			"a key that version %d revoked was accepted %s later", newest, sent.Sub(checker.deployment.ConfiguredAt()))})
	}
}

func (checker *configurationChecker) callMarkRoute(ctx context.Context, node *Node, version int64) answer {
	checker.mu.Lock()
	checker.lastNumber++
	id := fmt.Sprint("mark-", checker.lastNumber)
	checker.mu.Unlock()
	return call(ctx, node, http.MethodPost, markPrefix(version)+"x", id, "", callTimeout)
}

func (checker *configurationChecker) record(node *Node, observed observedVersion) {
	checker.mu.Lock()
	defer checker.mu.Unlock()
	if before := checker.seen[node]; before.incarnation != observed.incarnation || before.version < observed.version {
		checker.seen[node] = observed
	}
}

// checkOverdue reports a front that does not apply the newest version although the last fault ended long enough ago.
func (checker *configurationChecker) checkOverdue(node *Node, version int64, got answer) {
	if got.status != http.StatusNotFound {
		return
	}
	idle, quiet := checker.faults.idleSince()
	if quiet && time.Since(idle) > recoveryTime+applyTime && checker.deployment.Configured() == version {
		checker.report(Violation{Promise: PromiseConfiguration, Subject: node.Name, Detail: fmt.Sprintf("version %d is not in force %s after the last fault", version, time.Since(idle))})
	}
}
