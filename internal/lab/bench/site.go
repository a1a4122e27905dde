// Package bench assembles stand-ins of the platform and nodes in one process, drives trainers and callers against them,
// and has an oracle judge what they received.
package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform"
	"github.com/thistlewalk/thistlewalk/internal/machines"
	"github.com/thistlewalk/thistlewalk/internal/network"
	"github.com/thistlewalk/thistlewalk/internal/node"
	"github.com/thistlewalk/thistlewalk/internal/settings"
)

// SiteSettings describe the platform of an experiment.
type SiteSettings struct {
	Zones []Zone
	// KeyValuePerSecond and WeightsPerSecond are the rate limits of the services.
	KeyValuePerSecond float64
	WeightsPerSecond  float64
	// MachineLag is the lag of the machine list.
	MachineLag time.Duration
	ScoreDelay time.Duration
	// Engine is the model of every engine; its ID is set by the site.
	Engine platform.EngineSettings
}

// Zone is a zone with its engines.
type Zone struct {
	Name    string
	Region  string
	Engines int
}

// Site is the platform of an experiment, running.
type Site struct {
	KeyValue *platform.KeyValue
	Machines *platform.MachineList
	Weights  *platform.WeightStore
	Scorer   *platform.Scorer
	Truth    *platform.Truth

	network   network.Network
	addresses Addresses
	settings  SiteSettings
	logger    *log.Logger
	clients   []*http.Client

	mu      sync.Mutex
	servers []*http.Server
	engines []*RunningEngine

	keyValueAddress, machinesAddress, weightsAddress, scorerAddress string
}

// RunningEngine is one engine with its server.
type RunningEngine struct {
	ID      string
	Zone    Zone
	Address string
	Model   *platform.Engine
	server  *http.Server
}

// Addresses gives an unused address in a zone.
type Addresses func(zone string) (string, error)

// LoopbackAddresses gives free ports of the loopback address.
func LoopbackAddresses(string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "no free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// NewSite starts the services and engines.
func NewSite(site SiteSettings, through network.Network, addresses Addresses, logger *log.Logger) (*Site, error) {
	running := &Site{
		KeyValue: platform.NewKeyValue(site.KeyValuePerSecond), Machines: platform.NewMachineList(site.MachineLag),
		Weights: platform.NewWeightStore(site.WeightsPerSecond), Scorer: platform.NewScorer(site.ScoreDelay), Truth: platform.NewTruth(),
		network: through, addresses: addresses, settings: site, logger: logger,
	}
	for _, service := range []struct {
		address *string
		handler http.Handler
	}{
		{&running.keyValueAddress, running.KeyValue.Handler()}, {&running.machinesAddress, running.Machines.Handler()},
		{&running.scorerAddress, running.Scorer.Handler()}, {&running.weightsAddress, running.Weights.Handler()},
	} {
		address, _, err := running.serve("platform", service.handler)
		if err != nil {
			running.Close()
			return nil, err
		}
		*service.address = address
	}
	for _, zone := range site.Zones {
		for range zone.Engines {
			if _, err := running.AddEngine(zone); err != nil {
				running.Close()
				return nil, err
			}
		}
	}
	return running, nil
}

// serve starts a server on a new address.
func (site *Site) serve(zone string, handler http.Handler) (string, *http.Server, error) {
	address, err := site.addresses(zone)
	if err != nil {
		return "", nil, err
	}
	listener, err := site.network.Listen(address)
	if err != nil {
		return "", nil, errors.Wrapf(err, "address %s", address)
	}
	server := &http.Server{Handler: handler, ErrorLog: site.logger.StandardLog()}
	site.mu.Lock()
	site.servers = append(site.servers, server)
	site.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	return address, server, nil
}

// Serve serves a further stand-in on an address of its own, which it returns.
func (site *Site) Serve(handler http.Handler) (string, error) {
	address, _, err := site.serve("platform", handler)
	return address, err
}

// AddEngine starts one more engine and puts it on the machine list.
func (site *Site) AddEngine(zone Zone) (*RunningEngine, error) {
	site.mu.Lock()
	model := site.settings.Engine
	model.ID = fmt.Sprintf("engine-%s-%d", zone.Name, len(site.engines)+1)
	site.mu.Unlock()
	started := &RunningEngine{ID: model.ID, Zone: zone}
	client := network.NewClient(site.network, time.Minute, network.Connections{PerHost: 2})
	started.Model = platform.NewEngine(model, site.Truth, func(ctx context.Context, policy string, version uint64) error {
		return site.fetchWeights(ctx, client, policy, version)
	})
	address, server, err := site.serve(zone.Name, started.Model.Handler())
	if err != nil {
		return nil, err
	}
	started.Address, started.server = address, server
	site.mu.Lock()
	site.engines = append(site.engines, started)
	site.clients = append(site.clients, client)
	site.mu.Unlock()
	site.Machines.Put(machines.Machine{ID: started.ID, Address: address, Zone: zone.Name, Region: zone.Region, Role: machines.RoleEngine})
	return started, nil
}

func (site *Site) fetchWeights(ctx context.Context, client *http.Client, policy string, version uint64) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/weights/%s/%d", site.weightsAddress, policy, version), nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Newf("weight store answered %d", response.StatusCode)
	}
	return nil
}

// Engines returns the engines that were started, dead ones included.
func (site *Site) Engines() []*RunningEngine {
	site.mu.Lock()
	defer site.mu.Unlock()
	return append([]*RunningEngine(nil), site.engines...)
}

// Crash kills an engine: its streams break and its address refuses.
func (engine *RunningEngine) Crash() {
	_ = engine.server.Close()
	engine.Model.Close()
}

// Close stops everything.
func (site *Site) Close() {
	site.mu.Lock()
	servers, engines, clients := site.servers, site.engines, site.clients
	site.mu.Unlock()
	for _, engine := range engines {
		engine.Model.Close()
	}
	for _, server := range servers {
		_ = server.Close()
	}
	for _, client := range clients {
		client.CloseIdleConnections()
	}
}

// Platform returns the settings that point a node at this site.
func (site *Site) Platform(timeout time.Duration) settings.Platform {
	return settings.Platform{KeyValue: "http://" + site.keyValueAddress, Machines: "http://" + site.machinesAddress,
		Scorer: "http://" + site.scorerAddress, Timeout: timeout}
}

// StartNode starts a node in a zone. adjust may change its settings.
func (site *Site) StartNode(id string, zone Zone, dataFolder string, networks node.Networks, logger *log.Logger, life uint64,
	adjust func(*settings.Settings)) (*RunningNode, error) {
	config := settings.Defaults()
	config.Platform = site.Platform(config.Platform.Timeout)
	config.Node = settings.Node{ID: id, Zone: zone.Name, Region: zone.Region, DataFolder: dataFolder}
	var err error
	if config.Node.API, err = site.addresses(zone.Name); err != nil {
		return nil, err
	}
	if config.Node.Control, err = site.addresses(zone.Name); err != nil {
		return nil, err
	}
	config.Security.AllowPlain = true // the addresses of a network in memory are not loopback
	if adjust != nil {
		adjust(&config)
	}
	started, err := node.New(node.Options{Settings: config, Networks: networks, Logger: logger, Life: life, Seed: life})
	if err != nil {
		return nil, err
	}
	started.Start()
	site.Machines.Put(machines.Machine{ID: id, Address: config.Node.Control, Zone: zone.Name, Region: zone.Region, Role: machines.RoleNode})
	return &RunningNode{Node: started, Settings: config}, nil
}

// RunningNode is a node with the settings it was started with.
type RunningNode struct {
	*node.Node
	Settings settings.Settings
}

// API returns the node's base URL for callers.
func (running *RunningNode) API() string { return "http://" + running.Settings.Node.API }
