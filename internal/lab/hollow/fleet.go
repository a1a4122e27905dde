// Package hollow runs many nodes in one process against simulated engines. It measures the cost of the control plane per
// node and how fast changes and failures propagate. The nodes run their production code.
package hollow

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/lab/bench"
	"github.com/thistlewalk/thistlewalk/internal/lab/platform"
	"github.com/thistlewalk/thistlewalk/internal/network"
	"github.com/thistlewalk/thistlewalk/internal/node"
	"github.com/thistlewalk/thistlewalk/internal/settings"
)

// Options are the parameters of a fleet.
type Options struct {
	Nodes    int
	Replicas int
	Zones    int
	Regions  int
	// Stores is the number of nodes per zone that have a data folder.
	Stores int
	// Loopback selects TCP on the loopback address instead of the in-memory network.
	Loopback bool
	Logger   *log.Logger
}

// Fleet is a set of running nodes with the simulated platform that they use.
type Fleet struct {
	options        Options
	zones          []bench.Zone
	memory         *network.Memory
	tcp            *network.TCP
	controlTraffic *network.Traffic
	dataTraffic    *network.Traffic
	site           *bench.Site
	client         *bench.Client
	folder         string

	mu          sync.Mutex
	nodes       map[string]*bench.RunningNode
	lastHosts   map[string]int    // highest host number assigned, by zone
	starts      uint64            // number of node starts, which keeps incarnations unique
	dataFolders map[string]string // data folders by node ID; nodes without one are missing
}

// Addresses on the in-memory network are 10.<zone>.<high byte>.<low byte> of the host number. Zone 255 holds the platform and
// the client of the experiment.
const (
	platformZone = 255
	hostPort     = 7000
	hostsPerByte = 256
)

// NewFleet starts the simulated platform and all nodes.
func NewFleet(options Options) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "thistlewalk-hollow-")
	if err != nil {
		return nil, errors.Wrap(err, "create folder for node data")
	}
	fleet := &Fleet{options: options, memory: network.NewMemory(), tcp: network.NewTCP(time.Second), controlTraffic: &network.Traffic{}, dataTraffic: &network.Traffic{},
		folder: folder, nodes: make(map[string]*bench.RunningNode), lastHosts: make(map[string]int), dataFolders: make(map[string]string)}
	for index := range options.Zones {
		engines := options.Replicas / options.Zones
		if index < options.Replicas%options.Zones {
			engines++
		}
		fleet.zones = append(fleet.zones, bench.Zone{Name: fmt.Sprintf("zone-%d", index), Region: fmt.Sprintf("region-%d", index*options.Regions/options.Zones), Engines: engines})
	}
	platformNetwork := fleet.networkAt(netip.AddrFrom4([4]byte{10, platformZone, 0, 0}))
	fleet.client = bench.NewClient(network.NewClient(platformNetwork, time.Minute, network.Connections{PerHost: 2}))
	fleet.site, err = bench.NewSite(bench.SiteSettings{
		Zones: fleet.zones, KeyValuePerSecond: keyValueRate, WeightsPerSecond: weightsRate, MachineLag: time.Second, ScoreDelay: time.Millisecond,
		Engine: platform.EngineSettings{Capacity: 64, TokensPerSecond: 50, ReportLag: time.Second, StageTime: time.Second, CachedPrefixes: 1, ChunkTokens: 16,
			RoundInterval: 100 * time.Millisecond, Lengths: platform.Lengths{Median: 20, Sigma: 0.5}, PrefillPerSecond: 10000},
	}, platformNetwork, fleet.address, options.Logger)
	if err != nil {
		fleet.Close()
		return nil, err
	}
	if err := fleet.startNodes(); err != nil {
		fleet.Close()
		return nil, err
	}
	return fleet, nil
}

// Rate limits of the simulated services, in calls and transfers per second.
const (
	keyValueRate = 200
	weightsRate  = 300
)

func (fleet *Fleet) networkAt(host netip.Addr) network.Network {
	if fleet.options.Loopback {
		return fleet.tcp
	}
	return fleet.memory.At(host)
}

// address assigns a new address in a zone.
func (fleet *Fleet) address(zone string) (string, error) {
	if fleet.options.Loopback {
		return bench.LoopbackAddresses(zone)
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	number := platformZone
	if suffix, ok := strings.CutPrefix(zone, "zone-"); ok {
		parsed, err := strconv.Atoi(suffix)
		if err != nil {
			return "", errors.Wrap(err, zone)
		}
		number = parsed
	}
	fleet.lastHosts[zone]++
	host := fleet.lastHosts[zone]
	address := netip.AddrFrom4([4]byte{10, byte(number), byte(host / hostsPerByte), byte(host % hostsPerByte)})
	return netip.AddrPortFrom(address, hostPort).String(), nil
}

func (fleet *Fleet) startNodes() error {
	for index := range fleet.options.Nodes {
		zone := fleet.zones[index%len(fleet.zones)]
		id := fmt.Sprintf("node-%03d", index)
		if index/len(fleet.zones) < fleet.options.Stores {
			fleet.dataFolders[id] = filepath.Join(fleet.folder, id)
		}
		if err := fleet.StartNode(id, zone); err != nil {
			return err
		}
	}
	return nil
}

// StartNode starts a new incarnation of a node, which may have run before.
func (fleet *Fleet) StartNode(id string, zone bench.Zone) error {
	fleet.mu.Lock()
	fleet.starts++
	incarnation := uint64(time.Now().UnixMilli()) + fleet.starts
	fleet.mu.Unlock()
	controlAddress, err := fleet.address(zone.Name)
	if err != nil {
		return err
	}
	host := netip.MustParseAddrPort(controlAddress).Addr()
	networks := node.Networks{
		Control: network.Counted{Network: fleet.networkAt(host), Traffic: fleet.controlTraffic},
		Data:    network.Counted{Network: fleet.networkAt(host), Traffic: fleet.dataTraffic},
	}
	started, err := fleet.site.StartNode(id, zone, fleet.dataFolders[id], networks, fleet.options.Logger, incarnation, func(config *settings.Settings) {
		config.Node.Control = controlAddress
		if !fleet.options.Loopback {
			config.Node.API = netip.AddrPortFrom(host, hostPort+1).String()
		}
	})
	if err != nil {
		return err
	}
	fleet.mu.Lock()
	fleet.nodes[id] = started
	fleet.mu.Unlock()
	return nil
}

// Nodes returns the running nodes by ID.
func (fleet *Fleet) Nodes() map[string]*bench.RunningNode {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	nodes := make(map[string]*bench.RunningNode, len(fleet.nodes))
	for id, running := range fleet.nodes {
		nodes[id] = running
	}
	return nodes
}

// KillNode stops a node like a crash.
func (fleet *Fleet) KillNode(id string) {
	fleet.mu.Lock()
	running := fleet.nodes[id]
	delete(fleet.nodes, id)
	fleet.mu.Unlock()
	if running != nil {
		running.Kill()
	}
}

// RemoveFromMachineList removes a node from the machine list.
func (fleet *Fleet) RemoveFromMachineList(id string) { fleet.site.Machines.Remove(id) }

// ZoneOf returns the zone of a running node, or an empty zone.
func (fleet *Fleet) ZoneOf(id string) bench.Zone {
	running := fleet.Nodes()[id]
	for _, zone := range fleet.zones {
		if running != nil && zone.Name == running.Settings.Node.Zone {
			return zone
		}
	}
	return bench.Zone{}
}

// Await polls a condition until it holds, the limit has passed or ctx is done. It reports whether the condition holds.
func Await(ctx context.Context, limit time.Duration, condition func() bool) bool {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if condition() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return condition()
}

const pollInterval = 20 * time.Millisecond

// Settled reports whether every node knows all nodes and all replicas of its zone, and all partitions are assigned.
func (fleet *Fleet) Settled() bool {
	nodes := fleet.Nodes()
	fleet.mu.Lock()
	stores := len(fleet.dataFolders)
	fleet.mu.Unlock()
	for _, running := range nodes {
		if running.LiveMembers() != len(nodes) || !running.PartitionsSettled(stores) {
			return false
		}
		if running.KnownReplicas() < fleet.zoneReplicas(running.Settings.Node.Zone) {
			return false
		}
	}
	return true
}

func (fleet *Fleet) zoneReplicas(name string) int {
	for _, zone := range fleet.zones {
		if zone.Name == name {
			return zone.Engines
		}
	}
	return 0
}

// Close crashes all nodes, stops the platform and removes the data folders.
func (fleet *Fleet) Close() {
	var pending sync.WaitGroup
	for _, running := range fleet.Nodes() {
		pending.Go(running.Kill)
	}
	pending.Wait()
	if fleet.site != nil {
		fleet.site.Close()
	}
	_ = os.RemoveAll(fleet.folder)
}
