package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// configurations asks the fronts which configuration is in force, by routes that exist in one version only.
type configurations struct {
	world  *World
	calm   *calm
	report func(Violation)

	mu   sync.Mutex
	seen map[*Node]inForce
	next int
}

// inForce is the newest version that a life of a front has shown.
type inForce struct {
	life    int
	version int64
	at      time.Time
}

const askInterval = 250 * time.Millisecond

func (configurations *configurations) run(ctx context.Context) {
	configurations.seen = make(map[*Node]inForce)
	var running sync.WaitGroup
	for pause(ctx, askInterval) {
		for _, node := range configurations.world.Fronts() {
			running.Go(func() { configurations.ask(ctx, node) })
		}
	}
	running.Wait()
}

// ask asks a front by the route of the newest version, and by that of the version before.
func (configurations *configurations) ask(ctx context.Context, node *Node) {
	newest := configurations.world.Configured()
	life := node.Life()
	configurations.mu.Lock()
	before := configurations.seen[node]
	configurations.mu.Unlock()
	sent := time.Now()
	got := configurations.callMark(ctx, node, newest)
	if got.broken != nil || node.Life() != life {
		return
	}
	if got.status == http.StatusOK {
		configurations.saw(node, inForce{life: life, version: newest, at: time.Now()})
	}
	configurations.late(node, newest, got)
	if configurations.world.tenants {
		configurations.tryOldKey(ctx, node, newest)
	}
	if before.life != life || before.version < newest || sent.Sub(before.at) <= rollbackTime {
		return
	}
	older := configurations.callMark(ctx, node, newest-1)
	pause(ctx, rollbackTime) // a newer version may just be coming into force
	if configurations.world.Configured() != newest || node.Life() != life {
		return
	}
	if got.status == http.StatusNotFound || older.status == http.StatusOK {
		configurations.report(Violation{Promise: PromiseConfiguration, Subject: node.Name, Detail: fmt.Sprintf(
			"version %d was in force: its route answers %d, that of the version before %d", newest, got.status, older.status)})
	}
}

// tryOldKey calls a front with a key that was taken away two versions ago, and with one that no configuration had. The former may open a
// route while faults last, which may hide the newer version from the front; the latter never.
func (configurations *configurations) tryOldKey(ctx context.Context, node *Node, newest int64) {
	configurations.mu.Lock()
	configurations.next++
	number := configurations.next
	configurations.mu.Unlock()
	tenant := tenantOf(number)
	try := func(id, key string) answer {
		return call(ctx, node, http.MethodPost, "/call/"+id, id, "x", callTime, authorization(key)...)
	}
	unknown := fmt.Sprint("unknown-", number)
	if got := try(unknown, "no-key-of-"+tenant); got.status == http.StatusOK || len(configurations.world.Executions.Of(unknown)) > 0 {
		configurations.report(Violation{Promise: PromiseTenant, Subject: node.Name, Detail: "a key that no configuration had opens a route"})
	}
	sent := time.Now()
	calm, quiet := configurations.calm.since()
	got := try(fmt.Sprint("revoked-", number), versionKeyOf(tenant, newest-2))
	if got.status == http.StatusOK && quiet && sent.Sub(calm) > contactTime+applyTime && sent.Sub(configurations.world.ConfiguredAt()) > applyTime {
		configurations.report(Violation{Promise: PromiseTenant, Subject: node.Name, Detail: fmt.Sprintf(
			"a key that version %d took away opens a route %s later", newest, sent.Sub(configurations.world.ConfiguredAt()))})
	}
}

func (configurations *configurations) callMark(ctx context.Context, node *Node, version int64) answer {
	configurations.mu.Lock()
	configurations.next++
	id := fmt.Sprint("mark-", configurations.next)
	configurations.mu.Unlock()
	return call(ctx, node, http.MethodPost, markPrefix(version)+"x", id, "", callTime)
}

func (configurations *configurations) saw(node *Node, now inForce) {
	configurations.mu.Lock()
	defer configurations.mu.Unlock()
	if before := configurations.seen[node]; before.life != now.life || before.version < now.version {
		configurations.seen[node] = now
	}
}

// late reports a front that does not know a version when no fault has been in force since long before it was acknowledged.
func (configurations *configurations) late(node *Node, version int64, got answer) {
	if got.status != http.StatusNotFound {
		return
	}
	calm, quiet := configurations.calm.since()
	if quiet && time.Since(calm) > contactTime+applyTime && configurations.world.Configured() == version {
		configurations.report(Violation{Promise: PromiseConfiguration, Subject: node.Name, Detail: fmt.Sprintf("version %d is not in force %s after the last fault", version, time.Since(calm))})
	}
}
