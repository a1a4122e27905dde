package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// tenantsDocument is a format for a configuration with two tenants. Its arguments are the version and the API keys of the first tenant. The
// route for scoring calls is public.
const tenantsDocument = `{"version":%d,"routes":[
 {"name":"r1","host":"a.example","path-prefix":"/book/","kind":"safe","timeout-ms":1500,"slo-ms":150,"service":"app","max-attempts":2},
 {"name":"r2","host":"a.example","path-prefix":"/score/","kind":"safe","timeout-ms":1500,"slo-ms":150,"service":"app","max-attempts":4,"public":true},
 {"name":"r3","host":"a.example","path-prefix":"/jobs/","kind":"rollout","timeout-ms":10000,"slo-ms":400,"run-slo-ms":7500,"max-queue-s":40,"service":"lm","max-attempts":3}],
 "services":[{"name":"app","health-path":"/health"},{"name":"lm","health-path":"/health","engine":{"slots":8,"models":[{"name":"m"}]}}],
 "tenants":[{"name":"harbour","api-keys":[%s],"priority":1},{"name":"airport","api-keys":["secret-airport"],"priority":0}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// newTenantsDeployment returns a deployment with tenants, two settled fronts and an orderer.
func newTenantsDeployment(t *testing.T) (created *deployment, first, second *runningFront) {
	t.Helper()
	created = newDeployment(t)
	created.put("op/config", fmt.Appendf(nil, tenantsDocument, 3, `"secret-1","secret-2"`))
	first, second = created.startFront("front-1"), created.startFront("front-2")
	created.startOrderer("orderer-1")
	eventually(t, 3*time.Second, "fronts are ready", func() bool { return created.isSettled(first) && created.isSettled(second) })
	return created, first, second
}

// callerSeenByReplica returns the tenant and the Authorization header that reached the replica which ran a request.
func (deployment *deployment) callerSeenByReplica(id string) (tenant, authorization string) {
	for _, replica := range deployment.replicas {
		if replica.RunCount(id) > 0 {
			caller := replica.CallerOf(id)
			return caller.Tenant, caller.Authorization
		}
	}
	deployment.t.Fatalf("%s ran nowhere", id)
	return "", ""
}

// Replicas must receive the tenant of the API key, whatever tenant the caller claims. No key may leave the front, neither to a replica nor in a log
// line or a stored job.
func TestTenantsOfRequests(t *testing.T) {
	deployment, first, second := newTenantsDeployment(t)
	forged := bearer("secret-2")
	forged.Set("Tenant", "airport")
	for index, check := range []struct {
		target string
		header http.Header
		status int
		tenant string
	}{
		{"/book/1", bearer("secret-1"), http.StatusOK, "harbour"},
		{"/book/1", forged, http.StatusOK, "harbour"},
		{"/book/1", bearer("secret-airport"), http.StatusOK, "airport"},
		{"/book/1", nil, http.StatusUnauthorized, ""},
		{"/book/1", bearer("secret-3"), http.StatusUnauthorized, ""},
		{"/book/1", http.Header{"Authorization": {"Basic secret-1"}}, http.StatusUnauthorized, ""},
		{"/book/1", http.Header{"Authorization": {"Bearer secret-1", "Bearer secret-1"}}, http.StatusUnauthorized, ""},
		{"/score/1", nil, http.StatusOK, ""},
		{"/score/1", forged, http.StatusOK, ""},
		{"/none/1", bearer("secret-1"), http.StatusNotFound, ""},
	} {
		id := fmt.Sprint("q", index)
		status, _, header := deployment.callWith(first, http.MethodPost, check.target, id, "x", check.header)
		must.Eq(t, check.status, status, must.Sprint(id))
		if status == http.StatusUnauthorized {
			must.Eq(t, "Bearer", header.Get("Www-Authenticate"))
		}
		if status != http.StatusOK {
			continue
		}
		tenant, authorization := deployment.callerSeenByReplica(id)
		must.Eq(t, check.tenant, tenant, must.Sprint(id))
		must.Eq(t, "", authorization, must.Sprint(id))
	}

	job := strings.Replace(jobBody(4, 1), `"Model":"m"`, `"Model":"m","Authorization":"Bearer secret-1","Tenant":"airport"`, 1)
	status, _, _ := deployment.callWith(first, http.MethodPost, "/jobs/j1", "job1", job, bearer("secret-1"))
	must.Eq(t, http.StatusAccepted, status)
	read := func(front *runningFront, key string) (int, string) {
		status, content, _ := deployment.callWith(front, http.MethodGet, "/thistlewalk/lots/job1?after-rev=0", "read", "", bearer(key))
		return status, content
	}
	eventually(t, 8*time.Second, "another key of the tenant reads the job at another node", func() bool {
		status, content := read(second, "secret-2")
		return status == http.StatusOK && strings.Count(content, `"completed"`) == 4
	})
	for index := range 4 {
		id := fmt.Sprintf("item%s%d", strings.Repeat("y", index%3), index)
		tenant, authorization := deployment.callerSeenByReplica(id)
		must.Eq(t, "harbour", tenant)
		must.Eq(t, "", authorization)
		tenant, _ = deployment.callerSeenByReplica("s" + id)
		must.Eq(t, "", tenant, must.Sprint("scoring calls name no tenant"))
	}
	for _, front := range []*runningFront{first, second} {
		status, _ := read(front, "secret-airport")
		must.Eq(t, http.StatusNotFound, status)
		status, _ = read(front, "secret-3")
		must.Eq(t, http.StatusUnauthorized, status)
		status, _, _ = deployment.callWith(front, http.MethodDelete, "/thistlewalk/lots/job1", "d", "", bearer("secret-airport"))
		must.Eq(t, http.StatusNotFound, status)
	}
	listing, err := deployment.store.List(t.Context(), "")
	must.NoError(t, err)
	for _, item := range listing.Items {
		must.True(t, item.Key == "op/config" || !strings.Contains(string(item.Value), "secret"), must.Sprint(item.Key))
	}
	must.StrNotContains(t, deployment.logs.String(), "secret")
}

// A key that the operator removes must be refused by all nodes, and an added key must be accepted. Jobs of the tenant must remain readable.
func TestKeysChange(t *testing.T) {
	deployment, first, second := newTenantsDeployment(t)
	status, _, _ := deployment.callWith(first, http.MethodPost, "/jobs/j1", "job1", jobBody(4, 1), bearer("secret-1"))
	must.Eq(t, http.StatusAccepted, status)
	status, _, _ = deployment.callWith(second, http.MethodPost, "/book/1", "before", "x", bearer("secret-4"))
	must.Eq(t, http.StatusUnauthorized, status)
	deployment.put("op/config", fmt.Appendf(nil, tenantsDocument, 4, `"secret-2","secret-4"`))
	for _, front := range []*runningFront{first, second} {
		number := 0
		eventually(t, 3*time.Second, "the key is refused", func() bool {
			number++
			status, _, _ := deployment.callWith(front, http.MethodPost, "/book/1", fmt.Sprint(front.address, number), "x", bearer("secret-1"))
			return status == http.StatusUnauthorized
		})
		status, _, _ = deployment.callWith(front, http.MethodPost, "/book/1", "after"+front.address, "x", bearer("secret-4"))
		must.Eq(t, http.StatusOK, status)
		status, _, _ = deployment.callWith(front, http.MethodGet, "/thistlewalk/lots/job1?after-rev=0", "read", "", bearer("secret-4"))
		must.Eq(t, http.StatusOK, status)
	}
}
