// Package bench runs simulated platform services and nodes in one process, generates load as trainers and callers, and
// checks the results with an oracle.
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

// SiteSettings configures a simulated platform.
type SiteSettings struct {
	Zones []Zone
	// KeyValuePerSecond and WeightsPerSecond are the rate limits of the services, in requests per second.
	KeyValuePerSecond float64
	WeightsPerSecond  float64
	// MachineLag is the delay until a change of the machine list becomes visible.
	MachineLag time.Duration
	ScoreDelay time.Duration
	// Engine configures every engine. The site sets the ID.
	Engine platform.EngineSettings
}

// Zone is a zone of the platform.
type Zone struct {
	Name    string
	Region  string
	Engines int // number of engines to start in the zone
}

// Site is a running simulated platform.
type Site struct {
	KeyValue  *platform.KeyValue
	Machines  *platform.MachineList
	Weights   *platform.WeightStore
	Scorer    *platform.Scorer
	EngineLog *platform.EngineLog

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

// RunningEngine is a simulated engine with its HTTP server.
type RunningEngine struct {
	ID      string
	Zone    Zone
	Address string
	Model   *platform.Engine
	server  *http.Server
}

// Addresses returns an unused address in a zone. Platform services use the zone name "platform".
type Addresses func(zone string) (string, error)

// LoopbackAddresses returns the loopback address with a free port.
func LoopbackAddresses(string) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "no free port")
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// NewSite starts the platform services and the engines.
func NewSite(site SiteSettings, transport network.Network, addresses Addresses, logger *log.Logger) (*Site, error) {
	running := &Site{
		KeyValue: platform.NewKeyValue(site.KeyValuePerSecond), Machines: platform.NewMachineList(site.MachineLag),
		Weights: platform.NewWeightStore(site.WeightsPerSecond), Scorer: platform.NewScorer(site.ScoreDelay), EngineLog: platform.NewEngineLog(),
		network: transport, addresses: addresses, settings: site, logger: logger,
	}
	for _, service := range []struct {
		address *string
		handler http.Handler
	}{
		{&running.keyValueAddress, running.KeyValue.Handler()}, {&running.machinesAddress, running.Machines.Handler()},
		{&running.scorerAddress, running.Scorer.Handler()}, {&running.weightsAddress, running.Weights.Handler()},
	} {
		address, _, err := running.startServer("platform", service.handler)
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

// startServer starts an HTTP server on a new address in the zone.
func (site *Site) startServer(zone string, handler http.Handler) (string, *http.Server, error) {
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

// Serve starts a server for an additional platform service and returns its address.
func (site *Site) Serve(handler http.Handler) (string, error) {
	address, _, err := site.startServer("platform", handler)
	return address, err
}

// AddEngine starts an engine and registers it in the machine list.
func (site *Site) AddEngine(zone Zone) (*RunningEngine, error) {
	site.mu.Lock()
	model := site.settings.Engine
	model.ID = fmt.Sprintf("engine-%s-%d", zone.Name, len(site.engines)+1)
	site.mu.Unlock()
	started := &RunningEngine{ID: model.ID, Zone: zone}
	client := network.NewClient(site.network, time.Minute, network.Connections{PerHost: 2})
	started.Model = platform.NewEngine(model, site.EngineLog, func(ctx context.Context, policy string, version uint64) error {
		return site.fetchWeights(ctx, client, policy, version)
	})
	address, server, err := site.startServer(zone.Name, started.Model.Handler())
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

// Engines returns all engines that were started, including crashed ones.
func (site *Site) Engines() []*RunningEngine {
	site.mu.Lock()
	defer site.mu.Unlock()
	return append([]*RunningEngine(nil), site.engines...)
}

// Crash kills the engine. Its streams are aborted and its address refuses connections.
func (engine *RunningEngine) Crash() {
	_ = engine.server.Close()
	engine.Model.Close()
}

// Close stops the engines and all servers, and closes idle connections.
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

// Platform returns the settings with which a node uses this platform.
func (site *Site) Platform(timeout time.Duration) settings.Platform {
	return settings.Platform{KeyValue: "http://" + site.keyValueAddress, Machines: "http://" + site.machinesAddress,
		Scorer: "http://" + site.scorerAddress, Timeout: timeout}
}

// StartNode starts a node in a zone and registers it in the machine list. If adjust is not nil, it may change the settings
// before the start.
func (site *Site) StartNode(id string, zone Zone, dataFolder string, networks node.Networks, logger *log.Logger, incarnation uint64,
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
	config.Security.AllowPlain = true // addresses of the in-memory network are not loopback addresses
	if adjust != nil {
		adjust(&config)
	}
	started, err := node.New(node.Options{Settings: config, Networks: networks, Logger: logger, ProcessIncarnation: incarnation, Seed: incarnation})
	if err != nil {
		return nil, err
	}
	started.Start()
	site.Machines.Put(machines.Machine{ID: id, Address: config.Node.Control, Zone: zone.Name, Region: zone.Region, Role: machines.RoleNode})
	return &RunningNode{Node: started, Settings: config}, nil
}

// RunningNode is a node with the settings that it was started with.
type RunningNode struct {
	*node.Node
	Settings settings.Settings
}

// API returns the base URL of the node's HTTP API.
func (running *RunningNode) API() string { return "http://" + running.Settings.Node.API }
