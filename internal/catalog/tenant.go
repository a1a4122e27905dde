package catalog

import (
	"crypto/sha256"
	"strings"
)

// KeyDigest is the digest of an API key. The keys themselves are not kept, so that a memory dump or a log reveals none.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Tenant is a group of callers with its own API keys. Tenants cannot see the batch jobs or texts of other tenants.
type Tenant struct {
	Name string
	// Priority is the rank of the tenant's requests; 0 is highest. It takes precedence over the priority of a route.
	Priority int
	Keys     []KeyDigest
}

// TenantOf returns the tenant that an API key belongs to, or nil.
func (configuration *Configuration) TenantOf(key KeyDigest) *Tenant { return configuration.byKey[key] }

// FindTenant returns the tenant with a name, or nil.
func (configuration *Configuration) FindTenant(name string) *Tenant {
	return configuration.byTenant[name]
}

// HasPublicBatch reports whether a host has a public route for batch jobs.
func (configuration *Configuration) HasPublicBatch(host string) bool {
	for _, route := range configuration.byHost[strings.ToLower(host)] {
		if route.Kind == Batch && route.Public {
			return true
		}
	}
	return false
}

// indexTenants must be called by Index.
func (configuration *Configuration) indexTenants() {
	configuration.byKey = make(map[KeyDigest]*Tenant)
	configuration.byTenant = make(map[string]*Tenant, len(configuration.Tenants))
	for index := range configuration.Tenants {
		tenant := &configuration.Tenants[index]
		configuration.byTenant[tenant.Name] = tenant
		for _, key := range tenant.Keys {
			configuration.byKey[key] = tenant
		}
	}
}
