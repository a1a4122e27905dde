package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// restartReplica restarts a replica under its identifier at a new address, before the registry entry of its previous incarnation has expired.
func (deployment *deployment) restartReplica(id string, startedAt int64) {
	restarted := deployment.replicas[id].RestartInPlace(startedAt)
	server := httptest.NewServer(restarted)
	deployment.t.Cleanup(server.Close)
	register := func() {
		deployment.put("servers/"+id, restarted.RegistryEntry(strings.TrimPrefix(server.URL, "http://")))
	}
	restarted.OnChange = register
	deployment.replicas[id] = restarted
	register()
}

// A replica that restarts under its identifier has loaded no version and accepted no order. The orderer must start a new order count
// for the replica, which refuses orders with the count of its previous incarnation. The versions that the previous incarnation loaded must not
// count as loaded.
func TestReplicasThatStartAgainAreOrderedAnew(t *testing.T) {
	deployment := newDeployment(t)
	deployment.put("op/config", fmt.Appendf(nil, configurationDocument, 3))
	front := deployment.startFront("front-1")
	deployment.startOrderer("orderer-1")
	eventually(t, 3*time.Second, "the front is ready", func() bool { return deployment.isSettled(front) })
	halfLoaded := func(version int64) bool { // the orderer leaves the other half on the previous version
		count := 0
		for _, replica := range deployment.replicas {
			if replica.Model != "" && replica.Version() >= version {
				count++
			}
		}
		return count >= 2
	}
	for version := int64(2); version <= 5; version++ { // so that each replica has accepted two orders
		deployment.put("op/version/m", fmt.Appendf(nil, `{"model":"m","version":%d}`, version))
		eventually(t, 6*time.Second, "half of the replicas have loaded the version", func() bool { return halfLoaded(version) })
	}
	startedAt := time.Now().UnixMilli()
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		deployment.restartReplica(id, startedAt)
	}
	eventually(t, 6*time.Second, "half of the replicas have loaded the version after the restart", func() bool { return halfLoaded(5) })
	status, _, _ := deployment.call(front, http.MethodPost, "/jobs/j1", "job1", jobBody(8, 5))
	must.Eq(t, http.StatusAccepted, status)
	eventually(t, 6*time.Second, "a job that accepts no older version runs on them", func() bool {
		status, content, _ := deployment.call(front, http.MethodGet, "/thistlewalk/lots/job1?after-rev=0", "read", "")
		return status == http.StatusOK && strings.Count(content, `"completed"`) == 8
	})
}

// A registry entry that cannot be decoded must take the replica of its previous value out of use. All other replicas must remain in use.
func TestSpoiledEntriesNameNoReplica(t *testing.T) {
	deployment := newDeployment(t)
	deployment.put("op/config", fmt.Appendf(nil, configurationDocument, 3))
	front := deployment.startFront("front-1")
	eventually(t, 5*time.Second, "the front is ready", func() bool { return deployment.isSettled(front) })
	deployment.put("servers/a1", []byte("no entry"))
	eventually(t, 3*time.Second, "the front has read the entry", func() bool { return strings.Contains(deployment.logs.String(), "replica entry not usable") })
	for index := range 12 {
		id := fmt.Sprint("q", index)
		status, _, _ := deployment.call(front, http.MethodPost, "/book/1", id, "x")
		must.Eq(t, http.StatusOK, status)
		must.Zero(t, deployment.replicas["a1"].RunCount(id))
	}
	deployment.replicas["a1"].OnChange()
	eventually(t, 3*time.Second, "the next valid entry registers the replica again", func() bool { return front.front.Catalog.Replicas().FindByName("a1") != nil })
}
