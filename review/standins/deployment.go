package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the sheet of kptu-dispatch.
const (
	graceTime   = 8 * time.Second
	contactTime = 3 * time.Second
	settleTime  = time.Second
	leadTime    = 10 * time.Second
	slotsEach   = 8
	// restartDelay is how long the platform takes to start a process again.
	restartDelay = 300 * time.Millisecond

	hostName         = "ficu95.example"
	modelName        = "daka510000"
	modelService     = "huvo11a"
	appService       = "wuno96b"
	jobPrefix        = "/pule252/"
	callPrefix       = "/lohu930/"
	scorePrefix      = "/pufi791/"
	requestTimeoutMS = 1500
)

var zoneNames = []string{"halfway-tree", "cross-roads", "new-kingston"}

// deployment is the system with its platform.
type deployment struct {
	folder  string
	ports   ports
	store   *platformStore
	records *record
	fronts  []*node
	stores  []*node
	engines []*replica
	apps    []*replica
}

// sizes are the parts of a deployment that differ between the cases.
type sizes struct {
	frontsPerZone, engines, apps int
	eventTime                    time.Duration
	eventsOf                     func(id string) int64
}

func newDeployment(size sizes, records *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := newPlatformStore()
	if err != nil {
		return nil, err
	}
	all := &deployment{folder: folder, store: store, records: records}
	for index := range size.engines {
		all.engines = append(all.engines, &replica{
			id: fmt.Sprint("i-engine-", index+1), service: modelService, zone: zoneNames[index%len(zoneNames)], model: modelName, slots: slotsEach,
			eventTime: size.eventTime, eventsOf: size.eventsOf, store: store, records: records,
		})
	}
	for index := range size.apps {
		all.apps = append(all.apps, &replica{
			id: fmt.Sprint("i-app-", index+1), service: appService, zone: zoneNames[index%len(zoneNames)], slots: 6, workTime: 25 * time.Millisecond,
			store: store, records: records,
		})
	}
	var addresses []string
	add := func(role, class, zone string, number int) *node {
		ip := fmt.Sprintf("127.0.%d.%d", 20+os.Getpid()%200, 10+len(addresses))
		addresses = append(addresses, ip)
		return &node{name: fmt.Sprintf("%s-%s-%d", class, zone, number), role: role, class: class, zone: zone, ip: ip, deployment: all}
	}
	for _, zone := range zoneNames {
		for number := range size.frontsPerZone {
			all.fronts = append(all.fronts, add("front", "front", zone, number+1))
		}
		all.stores = append(all.stores, add("orderer", "store", zone, 1))
	}
	all.ports, err = freePorts(addresses)
	return all, err
}

// start writes the first configuration, starts everything, and waits until the traffic may start.
func (all *deployment) start() error {
	all.store.write("op/config", configuration())
	for _, member := range append(all.engines, all.apps...) {
		if err := member.start(); err != nil {
			return err
		}
	}
	started := time.Now()
	for _, machine := range all.nodes() {
		if err := machine.start(true); err != nil {
			return err
		}
	}
	for _, machine := range all.fronts {
		for !machine.ready() {
			if time.Since(started) > 20*time.Second {
				return fmt.Errorf("%s is not ready", machine.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	time.Sleep(leadTime - time.Since(started))
	all.records.note("%d nodes are up; traffic starts", len(all.nodes()))
	return nil
}

func (all *deployment) nodes() []*node {
	return append(append([]*node{}, all.fronts...), all.stores...)
}

// node returns the machine with a name.
func (all *deployment) node(name string) *node {
	for _, machine := range all.nodes() {
		if machine.name == name {
			return machine
		}
	}
	return nil
}

// ownerOf returns the front that the system itself notes as the one that runs a job; nil if it notes none.
func (all *deployment) ownerOf(job string) *node {
	for _, key := range all.store.keysUnder("owners/") {
		parts := strings.Split(key, "/")
		if len(parts) == 3 && parts[2] == job {
			return all.node(parts[1])
		}
	}
	return nil
}

// frontsBut returns the fronts other than the given ones.
func (all *deployment) frontsBut(left ...*node) []*node {
	var list []*node
	for _, machine := range all.fronts {
		isLeft := false
		for _, other := range left {
			isLeft = isLeft || machine == other
		}
		if !isLeft {
			list = append(list, machine)
		}
	}
	return list
}

// stop kills every process that was started and removes the folder, unless KEEP names that it stays.
func (all *deployment) stop() {
	var ends sync.WaitGroup
	for _, machine := range all.nodes() {
		ends.Go(func() {
			machine.signal(syscall.SIGCONT)
			machine.signal(syscall.SIGKILL)
			machine.awaitExit(5 * time.Second)
		})
	}
	ends.Wait()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs are in", all.folder)
		return
	}
	_ = os.RemoveAll(all.folder)
}

// configuration is the operator's configuration.
func configuration() map[string]any {
	models := []map[string]any{{"name": modelName}}
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{
			{"name": "r-call", "host": hostName, "path-prefix": callPrefix, "kind": "safe", "timeout-ms": requestTimeoutMS, "slo-ms": 150, "priority": 2, "service": appService, "max-attempts": 2},
			{"name": "r-score", "host": hostName, "path-prefix": scorePrefix, "kind": "safe", "timeout-ms": requestTimeoutMS, "slo-ms": 150, "priority": 2, "service": appService, "max-attempts": 4},
			{"name": "r-job", "host": hostName, "path-prefix": jobPrefix, "kind": "rollout", "timeout-ms": 10000, "slo-ms": 400, "priority": 1, "service": modelService, "max-attempts": 3, "run-slo-ms": 7500, "max-queue-s": 40},
		},
		"services": []map[string]any{
			{"name": modelService, "health-path": "/health", "max-conns": 150, "protocol": "h1", "tls": false, "engine": map[string]any{"slots": slotsEach, "kv-capacity": 103490, "models": models}},
			{"name": appService, "health-path": "/health", "max-conns": 110, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
