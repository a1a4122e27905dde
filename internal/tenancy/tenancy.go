// Package tenancy determines the tenant of a call from the configuration and the API key that the caller presents. It has no side effects.
package tenancy

import (
	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// ErrUnauthenticated reports that a call requires an API key and the caller presented no key of a tenant. A node with a stale configuration
// also returns it for a key that has just been added.
var ErrUnauthenticated = errors.New("no valid API key presented")

// Credentials holds the credentials that a caller presents.
type Credentials struct {
	// Presented is true if the caller presented any credentials, even malformed ones.
	Presented bool
	// Key is the digest of the presented API key. It is zero, which is the key of no tenant, unless the caller presented exactly one key.
	Key catalog.KeyDigest
}

// Caller identifies the caller of a request.
type Caller struct {
	// Tenant is empty for anonymous callers, for callers of public routes, and if the configuration is not multi-tenant.
	Tenant string
}

// ForRoute identifies the caller of a request on a route. Public routes require no API key and ignore a presented one.
func ForRoute(configuration *catalog.Configuration, route *catalog.Route, credentials Credentials) (Caller, error) {
	if !configuration.Multitenant || route.Public {
		return Caller{}, nil
	}
	return authenticate(configuration, credentials)
}

// ForJobs identifies the caller of a request on existing batch jobs of a host. The route is not known yet, because it depends on the job. A
// caller without credentials is accepted if the host has a public batch route, and has access only to jobs without a tenant.
func ForJobs(configuration *catalog.Configuration, host string, credentials Credentials) (Caller, error) {
	if !configuration.Multitenant || (!credentials.Presented && configuration.HasPublicBatch(host)) {
		return Caller{}, nil
	}
	return authenticate(configuration, credentials)
}

func authenticate(configuration *catalog.Configuration, credentials Credentials) (Caller, error) {
	if !credentials.Presented {
		return Caller{}, ErrUnauthenticated
	}
	tenant := configuration.TenantOf(credentials.Key)
	if tenant == nil {
		return Caller{}, ErrUnauthenticated
	}
	return Caller{Tenant: tenant.Name}, nil
}

// Priority returns the priority of a tenant's requests on a route; 0 is the highest. The priority of the tenant overrides that of the route.
func Priority(configuration *catalog.Configuration, route *catalog.Route, tenant string) int {
	if configuration != nil {
		if found := configuration.FindTenant(tenant); found != nil {
			return found.Priority
		}
	}
	return route.Priority
}
