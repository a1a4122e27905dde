// Package tenancy decides for which tenant a call is made, from the configuration and the key that the caller presents. It is pure.
package tenancy

import (
	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// ErrUnauthenticated says that a caller who needs a key presented none that a tenant holds. A node whose configuration may be old can't
// tell an unknown key from one that was added just now.
var ErrUnauthenticated = errors.New("the caller presented no key of a tenant")

// Credentials are what a caller presents to identify itself.
type Credentials struct {
	// Given says that the caller presented something, Key what it was. What is not exactly one key is presented as a key of no tenant.
	Given bool
	Key   catalog.KeyDigest
}

// Caller is who a call is made for.
type Caller struct {
	// Tenant is empty for callers of public routes, and where the configuration knows no tenants.
	Tenant string
}

// ForRoute identifies the caller of a request by its route.
func ForRoute(configuration *catalog.Configuration, route *catalog.Route, credentials Credentials) (Caller, error) {
	if !configuration.Multitenant || route.Public {
		return Caller{}, nil
	}
	return holder(configuration, credentials)
}

// ForJobs identifies the caller of a call on batch jobs of a host, whose route is known only by the job. A caller without a key is let in
// where the host has a public route for batch jobs, and finds the jobs of no tenant.
func ForJobs(configuration *catalog.Configuration, host string, credentials Credentials) (Caller, error) {
	if !configuration.Multitenant || (!credentials.Given && configuration.HasPublicBatch(host)) {
		return Caller{}, nil
	}
	return holder(configuration, credentials)
}

func holder(configuration *catalog.Configuration, credentials Credentials) (Caller, error) {
	if !credentials.Given {
		return Caller{}, ErrUnauthenticated
	}
	tenant := configuration.TenantOf(credentials.Key)
	if tenant == nil {
		return Caller{}, ErrUnauthenticated
	}
	return Caller{Tenant: tenant.Name}, nil
}

// Priority returns the rank of a tenant's requests on a route, 0 first: the tenant's own goes before that of the route.
func Priority(configuration *catalog.Configuration, route *catalog.Route, tenant string) int {
	if configuration != nil {
		if found := configuration.FindTenant(tenant); found != nil {
			return found.Priority
		}
	}
	return route.Priority
}
