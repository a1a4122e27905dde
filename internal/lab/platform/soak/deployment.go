package soak

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/lab/freeport"
	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// Sizes, names and times of the deployment.
const (
	frontCount       = 5
	ordererCount     = 3
	engineCount      = 5
	applicationCount = 3

	modelName       = "model"
	engineName      = "engines"
	applicationName = "application"
	hostName        = "soak.example"

	zoneName = "zone"

	// minReplicas and maxReplicas bound the numbers of application replicas that the configurations ask for. The platform never has maxReplicas.
	minReplicas = applicationCount
	maxReplicas = applicationCount + 3
	bootTime    = 200 * time.Millisecond

	eventTime = 60 * time.Millisecond
	loadTime  = 400 * time.Millisecond
	workTime  = 25 * time.Millisecond

	// queuedSlots and queuedEventTime replace the slots and eventTime of engines that queue requests. Two steps fill them for some seconds.
	queuedSlots     = 2
	queuedEventTime = 150 * time.Millisecond
)

// Bounds that the checks use. gracePeriod, leaseDuration and usageWindow are also in the settings of the processes.
const (
	leaseDuration    = 1200 * time.Millisecond
	gracePeriod      = 8 * time.Second
	cancelBound      = 3 * time.Second        // from the acknowledged end of a job until none of its items start any more
	replicationTime  = time.Second            // from the acceptance of a job until every front finds it
	recoveryTime     = 3 * time.Second        // from the end of a fault until the nodes work normally again
	applyTime        = 2 * time.Second        // from the write of a configuration until every front applies it
	activationMargin = 250 * time.Millisecond // for concurrent probes while a front switches to a new configuration
	usageWindow      = 2 * time.Second
)

// Member is a replica with a fixed address, at which its incarnations serve one after the other.
type Member struct {
	Name       string
	Link       *Proxy
	deployment *Deployment

	mu         sync.Mutex
	replica    *site.Replica
	restarts   int
	down       bool
	linkFaults []interval // when the link to the replica had faults
}

type interval struct{ from, until time.Time }

// Node is a process with its addresses and its link to the metadata store.
type Node struct {
	*Process
	// StoreLink is the link to the metadata store.
	StoreLink *Proxy
	Front     string // address for callers; empty for an orderer
	Ready     string
	settings  string
	// stopping is true from the start of a graceful shutdown until the next start or the end of the grace period.
	stopping atomic.Bool
}

// Deployment consists of real processes, and of stand-ins for the platform and the replicas.
type Deployment struct {
	folder string
	// programs are the paths of the programs. builds are the builds on which the nodes start, by index; empty if all start on the current one.
	programs map[Build]string
	builds   []Build
	// tenants is true if the deployment has tenants, usage reports and orders for replicas, which the build in production does not support.
	tenants bool
	// queues is true if engines make requests wait for one of queuedSlots.
	queues     bool
	Store      *memstore.Store
	Executions *site.Executions
	Cloud      *site.CloudEndpoint
	Members    []*Member
	Nodes      []*Node
	storeHTTP  *httptest.Server
	cloudHTTP  *httptest.Server
	servers    []*httptest.Server
	report     func(violation Violation)

	// crashesLeft is the number of engines that still crash while they run an unlucky item.
	crashesLeft atomic.Int64

	mu      sync.Mutex
	version int64 // of the newest acknowledged configuration
	// configuredAt is when that configuration was acknowledged.
	configuredAt time.Time
}

// newDeployment starts the stand-ins and writes the settings of the nodes. It starts no process.
func newDeployment(options Options, report func(Violation)) (*Deployment, error) {
	store, cloud := memstore.New(), &site.CloudEndpoint{MaxReplicas: maxReplicas - 1}
	deployment := &Deployment{
		folder: options.Folder, programs: map[Build]string{BuildCurrent: options.Binary, BuildProduction: options.Production}, builds: options.Plan.Builds,
		tenants: len(options.Plan.Builds) == 0, queues: options.Plan.Resubmits, Store: store, Executions: site.NewExecutions(), report: report,
		storeHTTP: httptest.NewServer(&site.StoreServer{Store: store}), Cloud: cloud, cloudHTTP: httptest.NewServer(cloud),
	}
	for index := range engineCount {
		if err := deployment.addMember(fmt.Sprint("engine-", index+1), engineName, modelName); err != nil {
			return nil, err
		}
	}
	for index := range applicationCount {
		if err := deployment.addMember(fmt.Sprint("application-", index+1), applicationName, ""); err != nil {
			return nil, err
		}
	}
	for index := range frontCount {
		if err := deployment.addNode(fmt.Sprint("front-", index+1), "front"); err != nil {
			return nil, err
		}
	}
	for index := range ordererCount {
		if err := deployment.addNode(fmt.Sprint("orderer-", index+1), "orderer"); err != nil {
			return nil, err
		}
	}
	return deployment, nil
}

// ServeHTTP passes the request to the current incarnation. If the member is down, it aborts the connection.
func (member *Member) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	member.mu.Lock()
	replica, down := member.replica, member.down
	member.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	replica.ServeHTTP(writer, request)
}

func (deployment *Deployment) addMember(name, service, model string) error {
	member := &Member{Name: name, deployment: deployment}
	server := httptest.NewServer(member)
	deployment.servers = append(deployment.servers, server)
	link, err := NewProxy(server.Listener.Addr().String())
	if err != nil {
		return err
	}
	member.Link = link
	replica := site.NewReplica(name+"-0", service, model)
	if service == applicationName && deployment.tenants {
		replica.Zone = zoneName // orders name the zone
	}
	replica.EventTime, replica.LoadTime, replica.WorkTime, replica.Log = eventTime, loadTime, workTime, deployment.Executions
	replica.CrashBody, replica.CrashDelay = crashBody, crashDelay
	if deployment.queues && service == engineName {
		replica.SetSlots(queuedSlots)
		replica.EventTime = queuedEventTime
	}
	if service == engineName {
		replica.CrashBody, replica.CrashLimit = unluckyItem, &deployment.crashesLeft
	}
	member.install(replica)
	deployment.Members = append(deployment.Members, member)
	return nil
}

// install makes an incarnation the current one and registers it.
func (member *Member) install(replica *site.Replica) {
	member.mu.Lock()
	member.set(replica)
	member.mu.Unlock()
	member.register(replica)
}

// set makes an incarnation the current one. It must be called with mu held.
func (member *Member) set(replica *site.Replica) {
	replica.OnChange = func() { member.register(replica) }
	replica.OnCrash = func(string) { member.crashAndRestart(replica) }
	member.replica, member.down = replica, false
}

// register writes the entry of an incarnation, unless it is down or no longer the current one.
func (member *Member) register(replica *site.Replica) {
	member.mu.Lock()
	defer member.mu.Unlock()
	if member.replica == replica && !member.down {
		member.deployment.write("servers/"+replica.ID, replica.RegistryEntry(member.Link.Address()))
	}
}

// noteLinkFault records that the link to the replica has a fault from now until the returned function is called.
func (member *Member) noteLinkFault() (heal func()) {
	from := time.Now()
	return func() {
		member.mu.Lock()
		defer member.mu.Unlock()
		member.linkFaults = append(member.linkFaults, interval{from, time.Now()})
	}
}

// hadLinkFault reports whether the link had a fault at the given time, or within the given duration before.
func (member *Member) hadLinkFault(at time.Time, within time.Duration) bool {
	member.mu.Lock()
	defer member.mu.Unlock()
	return slices.ContainsFunc(member.linkFaults, func(fault interval) bool { return fault.from.Before(at) && at.Sub(fault.until) < within })
}

// Current returns the current incarnation.
func (member *Member) Current() *site.Replica {
	member.mu.Lock()
	defer member.mu.Unlock()
	return member.replica
}

// Crash ends the current incarnation at once, and returns it. Its entry stays in the store until Replace, as that of an unresponsive replica does.
func (member *Member) Crash() *site.Replica {
	member.mu.Lock()
	crashed := member.replica
	member.down = true
	member.mu.Unlock()
	member.Link.Set(LinkState{Refuse: true})
	member.Link.Reset()
	return crashed
}

// crashAndRestart crashes an incarnation that ran a crash request, and starts the next one after crashDowntime.
func (member *Member) crashAndRestart(crashed *site.Replica) {
	member.mu.Lock()
	current := member.replica == crashed && !member.down
	member.mu.Unlock()
	if !current {
		return
	}
	member.Crash()
	time.AfterFunc(crashDowntime, func() { member.Replace(crashed) })
}

// Replace replaces an incarnation that crashed or drained with a new one, unless another fault has done so.
func (member *Member) Replace(before *site.Replica) {
	member.mu.Lock()
	if member.replica != before {
		member.mu.Unlock()
		return
	}
	member.restarts++
	next := before.Restart(fmt.Sprint(member.Name, "-", member.restarts))
	member.set(next)
	member.deployment.remove("servers/" + before.ID)
	member.mu.Unlock()
	member.Link.Set(LinkState{})
	member.register(next)
}

// mayBeDelayed reports whether a faulty link may have delayed the request of an execution.
func (deployment *Deployment) mayBeDelayed(execution site.Execution) bool {
	for _, member := range deployment.Members {
		if strings.HasPrefix(execution.Replica, member.Name+"-") {
			return member.hadLinkFault(execution.Started, recoveryTime)
		}
	}
	return false
}

// write puts a key directly into the store, without the injected faults, as the platform itself does.
func (deployment *Deployment) write(key string, value []byte) {
	_, _ = deployment.Store.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: key, Value: value}}}) // without conditions: it cannot fail
}

func (deployment *Deployment) remove(key string) {
	_, _ = deployment.Store.CommitIgnoringFaults(metadata.Txn{Deletes: []string{key}}) // without conditions: it cannot fail
}

func (deployment *Deployment) addNode(name, role string) error {
	link, err := NewProxy(deployment.storeHTTP.Listener.Addr().String())
	if err != nil {
		return err
	}
	addresses, err := freeport.Pairs(3)
	if err != nil {
		return err
	}
	node := &Node{StoreLink: link, settings: filepath.Join(deployment.folder, name+".json")}
	listen := map[string]string{}
	if role == "front" {
		node.Front, node.Ready = addresses[0].String(), addresses[1].String()
		listen["front"], listen["ready"] = node.Front, node.Ready
	}
	build := BuildCurrent
	if index := len(deployment.Nodes); index < len(deployment.builds) {
		build = deployment.builds[index]
	}
	node.Process = &Process{Name: name, binary: deployment.programs[build], role: role, settings: node.settings, folder: deployment.folder, OnUnexpectedExit: deployment.restartExited}
	deployment.Nodes = append(deployment.Nodes, node)
	duties := []string{}
	if deployment.tenants {
		duties = append(duties, "usage", "autoscale")
	}
	return node.writeSettings(listen, addresses[2].Port, deployment.cloudHTTP.Listener.Addr().String(), duties)
}

func (node *Node) writeSettings(listen map[string]string, peerPort int, cloud string, duties []string) error {
	content, err := json.Marshal(map[string]any{
		"node-name": node.Name, "role": node.Process.role, "ip": "127.0.0.1", "zone": zoneName, "listen": listen, "internal-ports": []int{peerPort, peerPort + 1},
		"limits": map[string]int{"memory-mb": 200},
		"bounds": map[string]any{"grace-s": gracePeriod.Seconds(), "lease-ms": leaseDuration.Milliseconds(), "status-s": 120, "report-window-s": usageWindow.Seconds()},
		"cloud":  map[string]any{"address": cloud, "duties": duties},
		"platform-api": map[string]any{
			"address": node.StoreLink.Address(), "ttl_min_ms": 1000,
		},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(node.settings, content, 0o600)
}

// restartExited reports a process that exited unexpectedly and restarts it, as the platform does.
func (deployment *Deployment) restartExited(process *Process, state string) {
	deployment.report(Violation{Promise: PromiseProcess, Subject: process.Name, Detail: "exited unexpectedly: " + state})
	time.Sleep(restartDelay)
	if err := process.Start(); err != nil {
		deployment.report(Violation{Promise: PromiseProcess, Subject: process.Name, Detail: err.Error()})
	}
}

const restartDelay = 300 * time.Millisecond

// Fronts returns the nodes that serve callers.
func (deployment *Deployment) Fronts() []*Node {
	var list []*Node
	for _, node := range deployment.Nodes {
		if node.Front != "" {
			list = append(list, node)
		}
	}
	return list
}

// configuration returns the operator's configuration document at a version. Each version has a mark route that no other version has.
func configuration(version int64, tenants bool) []byte {
	document := map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("calls", "/call/", "safe", applicationName, 2), route("orders", "/order/", "unsafe", applicationName, 2),
			public(route("scores", "/score/", "safe", applicationName, 4)), public(route("mark", markPrefix(version), "safe", applicationName, 2)),
			route("jobs", "/job/", "rollout", engineName, 3),
		},
		"services": []map[string]any{
			{"name": applicationName, "health-path": "/health"},
			{"name": engineName, "health-path": "/health", "engine": map[string]any{"slots": 8, "models": []map[string]any{{"name": modelName}}}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if tenants {
		document["tenants"] = tenantsAt(version)
		application := document["services"].([]map[string]any)[0]
		application["scaling"] = map[string]any{"min": replicasAt(version), "max": replicasAt(version), "boot-s": bootTime.Seconds(), "zone-prices": map[string]any{zoneName: 1}}
	}
	content, _ := json.Marshal(document) // plain values: cannot fail
	return content
}

// replicasAt returns the number of application replicas that the configuration at a version asks for. Every configuration asks for another number.
func replicasAt(version int64) int { return minReplicas + int(version)%(maxReplicas-minReplicas+1) }

func markPrefix(version int64) string { return fmt.Sprint("/mark-", version, "/") }

func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "path-prefix": prefix, "kind": kind, "timeout-ms": 1500, "slo-ms": 200, "run-slo-ms": 7500,
		"max-queue-s": 40, "service": service, "max-attempts": attempts,
	}
}

// public makes a route serve callers without an API key.
func public(route map[string]any) map[string]any {
	route["public"] = true
	return route
}

// Configure writes the next configuration and returns its version after the store has acknowledged it.
func (deployment *Deployment) Configure() int64 {
	deployment.mu.Lock()
	next := deployment.version + 1
	deployment.mu.Unlock()
	deployment.write("op/config", configuration(next, deployment.tenants))
	deployment.mu.Lock()
	deployment.version, deployment.configuredAt = next, time.Now()
	deployment.mu.Unlock()
	return next
}

// Configured returns the version of the newest acknowledged configuration.
func (deployment *Deployment) Configured() int64 {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	return deployment.version
}

// ConfiguredAt returns when the newest configuration was acknowledged by the store.
func (deployment *Deployment) ConfiguredAt() time.Time {
	deployment.mu.Lock()
	defer deployment.mu.Unlock()
	return deployment.configuredAt
}

// NameVersion announces a version of the weights, as a trainer does.
func (deployment *Deployment) NameVersion(version int64) {
	content, _ := json.Marshal(map[string]any{"model": modelName, "version": version}) // plain values: cannot fail
	deployment.write("op/version/"+modelName, content)
}

// Close stops the processes and the stand-ins.
func (deployment *Deployment) Close() {
	for _, node := range deployment.Nodes {
		node.Close()
		node.StoreLink.Close()
	}
	for _, member := range deployment.Members {
		member.Link.Close()
	}
	for _, server := range append(deployment.servers, deployment.storeHTTP, deployment.cloudHTTP) {
		server.CloseClientConnections()
		server.Close()
	}
}
