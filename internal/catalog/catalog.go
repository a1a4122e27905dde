// Package catalog holds a node's view of the deployment: the configuration in force with its routes and services, and the
// registered replicas. Readers get immutable snapshots; writers replace them.
package catalog

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is the kind of a route. It determines whether a request may run more than once.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once. Unknown kinds are treated as Unsafe.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a stream of events. They run at most once unless the route is resumable.
	Stream
	// Batch routes accept batch jobs, whose items may run more than once.
	Batch
)

// RouteTarget is a service and its weight among the services of a route.
type RouteTarget struct {
	Service string
	Weight  int
}

// Route selects the services that requests for a host and a path prefix go to.
type Route struct {
	Name    string
	Host    string
	Prefix  string
	Kind    Kind
	Targets []RouteTarget
	// Timeout is the longest time that a request may take. Objective is the latency target for full credit.
	Timeout     time.Duration
	Objective   time.Duration
	MaxAttempts int
	// Priority is the rank of the route's requests; 0 is highest.
	Priority      int
	Resumable     bool
	SingleVersion bool
	// Public routes serve callers without an API key. Their requests belong to no tenant.
	Public bool
	// JobObjective is the time after the submission of a batch job at which all its results are due. MaxQueue is the time after
	// which an item may be abandoned.
	JobObjective time.Duration
	MaxQueue     time.Duration
}

// Idempotent reports whether requests of the route may run more than once.
func (route *Route) Idempotent() bool {
	return route.Kind == Safe || route.Kind == Batch || (route.Kind == Stream && route.Resumable)
}

// Service is a group of replicas that run the same software.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Models are the models that the service's engines run; empty for a service without models.
	Models []string
	// Scaling bounds the replicas that may be ordered for the service; nil if their number is fixed.
	Scaling *Scaling
}

// Scaling describes which replicas of a service can be ordered.
type Scaling struct {
	// Minimum and Maximum bound the replicas in each zone, of both kinds together.
	Minimum, Maximum int
	// BootTime is the time from an order until the new replica serves.
	BootTime time.Duration
	// SpotPrice is the price of a spot replica as a fraction of the price of an on-demand one; zero if there are no spot replicas.
	SpotPrice float64
	// ZonePrices are the prices of one replica for one second, by zone.
	ZonePrices map[string]float64
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the operator's configuration document.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Multitenant is true if callers identify themselves by API keys, even if Tenants is empty.
	Multitenant bool
	Tenants     []Tenant

	byHost   map[string][]*Route
	byKey    map[KeyDigest]*Tenant
	byTenant map[string]*Tenant
}

// Index builds the indexes for FindRoute, TenantOf and FindTenant. It must be called once, before the configuration is shared.
func (configuration *Configuration) Index() {
	configuration.byHost = make(map[string][]*Route)
	for index := range configuration.Routes {
		route := &configuration.Routes[index]
		host := strings.ToLower(route.Host)
		configuration.byHost[host] = append(configuration.byHost[host], route)
	}
	configuration.indexTenants()
}

// FindRoute returns the route of a host with the longest prefix that matches the path, or nil.
func (configuration *Configuration) FindRoute(host, path string) *Route {
	var best *Route
	for _, route := range configuration.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// ModelNames returns the names of all models of all services, sorted; nil without a configuration.
func (configuration *Configuration) ModelNames() []string {
	if configuration == nil {
		return nil
	}
	var names []string
	for _, service := range configuration.Services {
		names = append(names, service.Models...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Table holds the newest configuration and the registered replicas. It is safe for concurrent use.
type Table struct {
	configuration atomic.Pointer[Configuration]
	replicas      atomic.Pointer[ReplicaSet]
	mu            sync.Mutex // serializes writers
	changed       chan struct{}
}

// NewTable returns a table without a configuration and without replicas.
func NewTable() *Table {
	table := &Table{changed: make(chan struct{})}
	table.replicas.Store(newReplicaSet(nil, 0))
	return table
}

// Configuration returns the configuration in force, or nil if there is none yet.
func (table *Table) Configuration() *Configuration { return table.configuration.Load() }

// Replicas returns the registered replicas.
func (table *Table) Replicas() *ReplicaSet { return table.replicas.Load() }

// SetConfiguration replaces the configuration if the given one is newer, and reports whether it did.
func (table *Table) SetConfiguration(configuration *Configuration) bool {
	table.mu.Lock()
	defer table.mu.Unlock()
	if current := table.configuration.Load(); current != nil && current.Version >= configuration.Version {
		return false
	}
	table.configuration.Store(configuration)
	table.notifyChanged()
	return true
}

// SetReplicas replaces the replicas by those at a revision of the metadata store, unless the table is newer.
func (table *Table) SetReplicas(list []Replica, revision int64) {
	table.mu.Lock()
	defer table.mu.Unlock()
	if revision < table.replicas.Load().Revision {
		return
	}
	table.replicas.Store(newReplicaSet(list, revision))
	table.notifyChanged()
}

// ChangeReplicas applies changes up to a revision of the metadata store, unless the table is newer.
func (table *Table) ChangeReplicas(changes []ReplicaChange, revision int64) {
	table.mu.Lock()
	defer table.mu.Unlock()
	before := table.replicas.Load()
	if revision < before.Revision {
		return
	}
	table.replicas.Store(before.with(changes, revision))
	table.notifyChanged()
}

// Changed returns a channel that is closed at the next change of the table.
func (table *Table) Changed() <-chan struct{} {
	table.mu.Lock()
	defer table.mu.Unlock()
	return table.changed
}

// notifyChanged must be called with mu held.
func (table *Table) notifyChanged() {
	close(table.changed)
	table.changed = make(chan struct{})
}
