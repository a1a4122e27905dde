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

// Sizes of the deployment, small enough for one machine.
const (
	fronts       = 5
	orderers     = 3
	engines      = 5
	applications = 3

	modelName   = "model"
	engineName  = "engines"
	applierName = "application"
	hostName    = "soak.example"

	eventTime = 60 * time.Millisecond
	loadTime  = 400 * time.Millisecond
	workTime  = 25 * time.Millisecond
)

// Bounds that the processes are told of, and that the checks use.
const (
	leaseTime    = 1200 * time.Millisecond
	graceTime    = 8 * time.Second
	cancelTime   = 3 * time.Second
	settleTime   = time.Second
	contactTime  = 3 * time.Second
	applyTime    = 2 * time.Second
	rollbackTime = 250 * time.Millisecond
	usageWindow  = 2 * time.Second
)

// Member is a replica: a place in the deployment at which one incarnation after the other serves.
type Member struct {
	Name  string
	Link  *Proxy
	world *World

	mu      sync.Mutex
	replica *site.Replica
	number  int
	gone    bool
	harmed  []interval // when the link to the replica was harmed
}

// interval is a span of time.
type interval struct{ from, until time.Time }

// Node is one process with its links.
type Node struct {
	*Process
	// StoreLink leads to the metadata store.
	StoreLink *Proxy
	Front     string // where callers reach it; empty for an orderer
	Ready     string
	settings  string
	// stopping says that a planned stop has begun and went on within its grace, until the next life begins.
	stopping atomic.Bool
}

// World is the deployment: real processes over stand-ins.
type World struct {
	folder string
	// programs are the builds' programs, builds what the machines begin on; none where all run the current one.
	programs map[Build]string
	builds   []Build
	// tenants says that the deployment has tenants and reports of use, which the build in production does not know.
	tenants    bool
	Store      *memstore.Store
	Executions *site.Executions
	Cloud      *site.Cloud
	Members    []*Member
	Nodes      []*Node
	storeHTTP  *httptest.Server
	cloudHTTP  *httptest.Server
	servers    []*httptest.Server
	report     func(violation Violation)

	mu      sync.Mutex
	version int64 // of the newest configuration that was acknowledged
	// configuredAt is when it was.
	configuredAt time.Time
}

// newWorld sets the stand-ins up and writes the settings; nothing runs yet.
func newWorld(options Options, report func(Violation)) (*World, error) {
	store, cloud := memstore.New(), &site.Cloud{}
	world := &World{
		folder: options.Folder, programs: map[Build]string{BuildCurrent: options.Binary, BuildProduction: options.Production}, builds: options.Plan.Builds,
		tenants: len(options.Plan.Builds) == 0, Store: store, Executions: site.NewExecutions(), report: report,
		storeHTTP: httptest.NewServer(&site.StoreServer{Store: store}), Cloud: cloud, cloudHTTP: httptest.NewServer(cloud),
	}
	for index := range engines {
		if err := world.addMember(fmt.Sprint("engine-", index+1), engineName, modelName); err != nil {
			return nil, err
		}
	}
	for index := range applications {
		if err := world.addMember(fmt.Sprint("application-", index+1), applierName, ""); err != nil {
			return nil, err
		}
	}
	for index := range fronts {
		if err := world.addNode(fmt.Sprint("front-", index+1), "front"); err != nil {
			return nil, err
		}
	}
	for index := range orderers {
		if err := world.addNode(fmt.Sprint("orderer-", index+1), "orderer"); err != nil {
			return nil, err
		}
	}
	return world, nil
}

// ServeHTTP answers with the present incarnation. A member that is gone answers nothing.
func (member *Member) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	member.mu.Lock()
	replica, gone := member.replica, member.gone
	member.mu.Unlock()
	if gone {
		panic(http.ErrAbortHandler)
	}
	replica.ServeHTTP(writer, request)
}

func (world *World) addMember(name, service, model string) error {
	member := &Member{Name: name, world: world}
	server := httptest.NewServer(member)
	world.servers = append(world.servers, server)
	link, err := NewProxy(server.Listener.Addr().String())
	if err != nil {
		return err
	}
	member.Link = link
	replica := site.NewReplica(name+"-0", service, model)
	replica.EventTime, replica.LoadTime, replica.WorkTime, replica.Log = eventTime, loadTime, workTime, world.Executions
	replica.EndsUnder, replica.EndTime = endingBody, endingTime
	member.install(replica)
	world.Members = append(world.Members, member)
	return nil
}

// install makes an incarnation the present one and registers it.
func (member *Member) install(replica *site.Replica) {
	replica.OnChange = func() { member.register(replica) }
	replica.OnEnd = func(string) { member.end(replica) }
	member.mu.Lock()
	member.replica, member.gone = replica, false
	member.mu.Unlock()
	member.register(replica)
}

// register writes the entry of an incarnation, unless another has taken its place.
func (member *Member) register(replica *site.Replica) {
	member.mu.Lock()
	present := member.replica == replica && !member.gone
	member.mu.Unlock()
	if present {
		member.world.write("servers/"+replica.ID, replica.Entry(member.Link.Address()))
	}
}

// harmLink notes that the link to the replica is harmed from now until the returned function is called.
func (member *Member) harmLink() (heal func()) {
	from := time.Now()
	return func() {
		member.mu.Lock()
		defer member.mu.Unlock()
		member.harmed = append(member.harmed, interval{from, time.Now()})
	}
}

// heldUp reports whether what arrived at a moment may have been held up: the link was harmed within a time before.
func (member *Member) heldUp(at time.Time, within time.Duration) bool {
	member.mu.Lock()
	defer member.mu.Unlock()
	return slices.ContainsFunc(member.harmed, func(harm interval) bool { return harm.from.Before(at) && at.Sub(harm.until) < within })
}

// Present returns the present incarnation.
func (member *Member) Present() *site.Replica {
	member.mu.Lock()
	defer member.mu.Unlock()
	return member.replica
}

// Crash ends the present incarnation at once; its entry stays for a while, as that of a silent replica does.
func (member *Member) Crash() {
	member.mu.Lock()
	member.gone = true
	member.mu.Unlock()
	member.Link.Set(LinkState{Refuse: true})
	member.Link.Reset()
}

// end ends an incarnation under a request; its successor begins some time later.
func (member *Member) end(ended *site.Replica) {
	member.mu.Lock()
	present := member.replica == ended && !member.gone
	member.mu.Unlock()
	if !present {
		return
	}
	member.Crash()
	time.AfterFunc(endedTime, func() {
		member.mu.Lock()
		returned := member.replica != ended // after another fault
		member.mu.Unlock()
		if !returned {
			member.Return()
		}
	})
}

// Return starts a new incarnation in place of one that crashed or drained.
func (member *Member) Return() {
	member.mu.Lock()
	member.number++
	before := member.replica
	next := before.Restart(fmt.Sprint(member.Name, "-", member.number))
	member.mu.Unlock()
	member.Link.Set(LinkState{})
	member.world.remove("servers/" + before.ID)
	member.install(next)
}

// heldUp reports whether a request that began at a replica may have been held up on its way.
func (world *World) heldUp(execution site.Execution) bool {
	for _, member := range world.Members {
		if strings.HasPrefix(execution.Replica, member.Name+"-") {
			return member.heldUp(execution.Started, contactTime)
		}
	}
	return false
}

// write puts a key as the platform itself does, which the store's faults do not meet.
func (world *World) write(key string, value []byte) {
	_, _ = world.Store.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: key, Value: value}}}) // without conditions: it cannot fail
}

func (world *World) remove(key string) {
	_, _ = world.Store.CommitIgnoringFaults(metadata.Txn{Deletes: []string{key}}) // without conditions: it cannot fail
}

func (world *World) addNode(name, role string) error {
	link, err := NewProxy(world.storeHTTP.Listener.Addr().String())
	if err != nil {
		return err
	}
	addresses, err := freeport.Pairs(3)
	if err != nil {
		return err
	}
	node := &Node{StoreLink: link, settings: filepath.Join(world.folder, name+".json")}
	listen := map[string]string{}
	if role == "front" {
		node.Front, node.Ready = addresses[0].String(), addresses[1].String()
		listen["front"], listen["ready"] = node.Front, node.Ready
	}
	build := BuildCurrent
	if index := len(world.Nodes); index < len(world.builds) {
		build = world.builds[index]
	}
	node.Process = &Process{Name: name, binary: world.programs[build], role: role, settings: node.settings, folder: world.folder, OnDeath: world.died}
	world.Nodes = append(world.Nodes, node)
	duties := []string{}
	if world.tenants {
		duties = append(duties, "usage")
	}
	return node.writeSettings(listen, addresses[2].Port, world.cloudHTTP.Listener.Addr().String(), duties)
}

func (node *Node) writeSettings(listen map[string]string, peerPort int, cloud string, duties []string) error {
	content, err := json.Marshal(map[string]any{
		"node-name": node.Name, "role": node.Process.role, "ip": "127.0.0.1", "zone": "zone", "listen": listen, "internal-ports": []int{peerPort, peerPort + 1},
		"limits": map[string]int{"memory-mb": 200},
		"bounds": map[string]any{"grace-s": graceTime.Seconds(), "lease-ms": leaseTime.Milliseconds(), "status-s": 120, "report-window-s": usageWindow.Seconds()},
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

// died reports a process that ended by itself, and starts it again as the platform does.
func (world *World) died(process *Process, state string) {
	world.report(Violation{Promise: PromiseProcess, Subject: process.Name, Detail: "ended by itself: " + state})
	time.Sleep(restartPause)
	if err := process.Start(); err != nil {
		world.report(Violation{Promise: PromiseProcess, Subject: process.Name, Detail: err.Error()})
	}
}

const restartPause = 300 * time.Millisecond

// Fronts returns the nodes that callers reach.
func (world *World) Fronts() []*Node {
	var list []*Node
	for _, node := range world.Nodes {
		if node.Front != "" {
			list = append(list, node)
		}
	}
	return list
}

// configuration is the operator's document at a version. The route of the version's mark exists in no other version.
func configuration(version int64, tenants bool) []byte {
	document := map[string]any{
		"version": version,
		"routes": []map[string]any{
			route("calls", "/call/", "safe", applierName, 2), route("orders", "/order/", "unsafe", applierName, 2),
			public(route("scores", "/score/", "safe", applierName, 4)), public(route("mark", markPrefix(version), "safe", applierName, 2)),
			route("jobs", "/job/", "rollout", engineName, 3),
		},
		"services": []map[string]any{
			{"name": applierName, "health-path": "/health"},
			{"name": engineName, "health-path": "/health", "engine": map[string]any{"slots": 8, "models": []map[string]any{{"name": modelName}}}},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
	if tenants {
		document["tenants"] = tenantsAt(version)
	}
	content, _ := json.Marshal(document) // of plain values: it cannot fail
	return content
}

func markPrefix(version int64) string { return fmt.Sprint("/mark-", version, "/") }

func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": hostName, "path-prefix": prefix, "kind": kind, "timeout-ms": 1500, "slo-ms": 200, "run-slo-ms": 7500,
		"max-queue-s": 40, "service": service, "max-attempts": attempts,
	}
}

// public has a route serve callers without a key.
func public(route map[string]any) map[string]any {
	route["public"] = true
	return route
}

// Configure puts the next configuration in force and returns its version once it is acknowledged.
func (world *World) Configure() int64 {
	world.mu.Lock()
	next := world.version + 1
	world.mu.Unlock()
	world.write("op/config", configuration(next, world.tenants))
	world.mu.Lock()
	world.version, world.configuredAt = next, time.Now()
	world.mu.Unlock()
	return next
}

// Configured returns the version of the newest configuration that was acknowledged.
func (world *World) Configured() int64 {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.version
}

// ConfiguredAt returns when the newest configuration was acknowledged.
func (world *World) ConfiguredAt() time.Time {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.configuredAt
}

// NameVersion names a version of the weights, as a trainer does.
func (world *World) NameVersion(version int64) {
	content, _ := json.Marshal(map[string]any{"model": modelName, "version": version}) // of plain values: it cannot fail
	world.write("op/version/"+modelName, content)
}

// Close ends everything that the world started.
func (world *World) Close() {
	for _, node := range world.Nodes {
		node.Close()
		node.StoreLink.Close()
	}
	for _, member := range world.Members {
		member.Link.Close()
	}
	for _, server := range append(world.servers, world.storeHTTP, world.cloudHTTP) {
		server.CloseClientConnections()
		server.Close()
	}
}
