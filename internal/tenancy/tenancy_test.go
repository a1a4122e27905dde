package tenancy_test

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/tenancy"
)

func key(text string) tenancy.Credentials {
	return tenancy.Credentials{Presented: true, Key: catalog.DigestKey(text)}
}

func configuration(multitenant bool) *catalog.Configuration {
	created := &catalog.Configuration{
		Multitenant: multitenant,
		Routes: []catalog.Route{
			{Host: "open", Prefix: "/jobs/", Kind: catalog.Batch, Public: true},
			{Host: "closed", Prefix: "/jobs/", Kind: catalog.Batch},
			{Host: "closed", Prefix: "/public/", Kind: catalog.Safe, Public: true},
		},
	}
	if multitenant {
		created.Tenants = []catalog.Tenant{
			{Name: "harbour", Priority: 1, Keys: []catalog.KeyDigest{catalog.DigestKey("h1"), catalog.DigestKey("h2")}},
			{Name: "airport", Keys: []catalog.KeyDigest{catalog.DigestKey("a1")}},
			{Name: "dormant"},
		}
	}
	created.Index()
	return created
}

func TestForRoute(t *testing.T) {
	none := tenancy.Credentials{}
	for _, check := range []struct {
		name        string
		multitenant bool
		public      bool
		credentials tenancy.Credentials
		tenant      string
		refused     bool
	}{
		{"no tenants, no key", false, false, none, "", false},
		{"no tenants, a key", false, false, key("h1"), "", false},
		{"a key", true, false, key("h1"), "harbour", false},
		{"another key of the same tenant", true, false, key("h2"), "harbour", false},
		{"the key of another tenant", true, false, key("a1"), "airport", false},
		{"an unknown key", true, false, key("h3"), "", true},
		{"no key", true, false, none, "", true},
		{"malformed credentials", true, false, tenancy.Credentials{Presented: true}, "", true},
		{"public, no key", true, true, none, "", false},
		{"public, a key", true, true, key("h1"), "", false},
		{"public, an unknown key", true, true, key("h3"), "", false},
	} {
		caller, err := tenancy.ForRoute(configuration(check.multitenant), &catalog.Route{Public: check.public}, check.credentials)
		must.Eq(t, check.refused, errors.Is(err, tenancy.ErrUnauthenticated), must.Sprint(check.name))
		must.Eq(t, check.tenant, caller.Tenant, must.Sprint(check.name))
	}
}

func TestForJobs(t *testing.T) {
	for _, check := range []struct {
		name, host  string
		credentials tenancy.Credentials
		tenant      string
		refused     bool
	}{
		{"a key", "closed", key("a1"), "airport", false},
		{"no key", "closed", tenancy.Credentials{}, "", true},
		{"no key, host with a public batch route", "Open", tenancy.Credentials{}, "", false},
		{"an unknown key, host with a public batch route", "open", key("x"), "", true},
		{"a key, host with a public batch route", "open", key("h2"), "harbour", false},
		{"no key, host without routes", "elsewhere", tenancy.Credentials{}, "", true},
	} {
		caller, err := tenancy.ForJobs(configuration(true), check.host, check.credentials)
		must.Eq(t, check.refused, errors.Is(err, tenancy.ErrUnauthenticated), must.Sprint(check.name))
		must.Eq(t, check.tenant, caller.Tenant, must.Sprint(check.name))
	}
	caller, err := tenancy.ForJobs(configuration(false), "closed", tenancy.Credentials{})
	must.NoError(t, err)
	must.Eq(t, "", caller.Tenant)
}

func TestPriority(t *testing.T) {
	route := &catalog.Route{Priority: 4}
	must.Eq(t, 1, tenancy.Priority(configuration(true), route, "harbour"))
	must.Eq(t, 0, tenancy.Priority(configuration(true), route, "airport"))
	must.Eq(t, 4, tenancy.Priority(configuration(true), route, "gone"))
	must.Eq(t, 4, tenancy.Priority(configuration(false), route, ""))
	must.Eq(t, 4, tenancy.Priority(nil, route, "harbour"))
}
