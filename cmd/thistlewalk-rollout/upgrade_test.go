package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

// Nodes of the build in production know no tenants, and look for a job under the identifier that its caller gave. A job stored under another
// identifier would not be found there during an upgrade, and would run a second time when it is submitted again.
func TestJobsOfTenantsAreKnownToFormerBuilds(t *testing.T) {
	deployment, first, second := newTenantsDeployment(t)
	status, _, _ := deployment.callWith(first, http.MethodPost, "/jobs/j1", "job1", jobBody(4, 1), bearer("secret-1"))
	must.Eq(t, http.StatusAccepted, status)
	_, stored, err := deployment.store.Get(t.Context(), "batch/job1/owner")
	must.NoError(t, err)
	must.True(t, stored, must.Sprint("the job is stored under another identifier"))

	// A front of the build in production reads the job from its owner by that identifier, and names no tenant.
	read := func(owner *runningFront) bool {
		client := batchv1.NewBatchesProtobufClient("http://"+owner.front.PeerAddress, http.DefaultClient)
		response, err := client.Read(t.Context(), &batchv1.ReadRequest{JobId: "job1"})
		return err == nil && response.GetOwned() && len(response.GetResults()) == 4
	}
	eventually(t, 8*time.Second, "a read request without a tenant, as the build in production sends it, returns the job", func() bool { return read(first) || read(second) })
}
