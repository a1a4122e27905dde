package batchrun

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
)

// Guards against using a kept text for a job of another tenant.
func TestKeptTextsStayWithTheirTenant(t *testing.T) {
	kept := newKeptItems()
	jobOf := func(tenant, id string) *job {
		return newJob(t.Context(), &batchv1.Job{Id: id, Tenant: tenant}, time.Second)
	}
	first, second, other, none := jobOf("harbour", "step-1"), jobOf("harbour", "step-2"), jobOf("airport", "step-1"), jobOf("", "step-1")
	partial := &batchv1.Partial{ItemId: "item", Text: []byte("text of the harbour"), LastEvent: 3, Versions: []int64{1}}
	kept.put("item", newKeptText(first.id(), "harbour", partial, time.Now()))
	must.Nil(t, kept.take(other, "item"))
	must.Nil(t, kept.take(none, "item"))
	must.NotNil(t, kept.take(second, "item"))
	must.Nil(t, kept.take(second, "item"))

	kept.putForJob(first.id(), "harbour", []*batchv1.Partial{partial})
	must.Len(t, 0, kept.forJob(second.id()))
	must.Len(t, 1, kept.forJob(first.id()))
	must.Nil(t, kept.take(other, "item"))
	must.NotNil(t, kept.take(first, "item"))
}

// Guards against using a text that an older build stored without a tenant for any job but its own.
func TestKeptTextsOfFormerBuilds(t *testing.T) {
	kept := newKeptItems()
	partial := &batchv1.Partial{ItemId: "item", Text: []byte("text"), LastEvent: 3, Versions: []int64{1}}
	kept.putForJob("step-1", "", []*batchv1.Partial{partial})
	must.Len(t, 1, kept.forJob("step-1"))
	must.Nil(t, kept.take(newJob(t.Context(), &batchv1.Job{Id: "step-2", Tenant: "airport"}, time.Second), "item"))
	must.NotNil(t, kept.take(newJob(t.Context(), &batchv1.Job{Id: "step-1", Tenant: "harbour"}, time.Second), "item"))
}
