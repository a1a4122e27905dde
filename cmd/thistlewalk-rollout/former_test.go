package main

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

// While a fleet is upgraded, a trainer reads its job at any node. Nodes of the build in production know no tenants, and look for a job under the
// identifier that its caller gave: one that lay under another was answered with 404 there, and run a second time when it was submitted again. While 71
// machines were upgraded, 80 reads were answered as if the job had never been, and 495 items were delivered twice.
func TestJobsOfTenantsAreKnownToFormerBuilds(t *testing.T) {
	deployment, first, second := newTenantsDeployment(t)
	status, _, _ := deployment.callWith(first, http.MethodPost, "/jobs/j1", "job1", jobBody(4, 1), bearer("secret-1"))
	must.Eq(t, http.StatusAccepted, status)
	_, stored, err := deployment.store.Get(t.Context(), "batch/job1/owner")
	must.NoError(t, err)
	must.True(t, stored, must.Sprint("the job lies under another identifier"))

	// A front of the build in production asks the owner by that identifier, and tells no tenant.
	read := func(owner *runningFront) bool {
		asked := batchv1.NewBatchesProtobufClient("http://"+owner.front.PeerAddress, http.DefaultClient)
		response, err := asked.Read(t.Context(), &batchv1.ReadRequest{JobId: "job1"})
		return err == nil && response.GetOwned() && len(response.GetResults()) == 4
	}
	eventually(t, 8*time.Second, "the job is read as a front of the build in production does", func() bool { return read(first) || read(second) })
}
