package batchrun

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batch"
)

// A text that was kept of an item is used by later jobs of the same tenant only.
func TestKeptTextsStayWithTheirTenant(t *testing.T) {
	kept := newKeptItems()
	first, second, other := batch.ScopedID("harbour", "step-1"), batch.ScopedID("harbour", "step-2"), batch.ScopedID("airport", "step-2")
	partial := &batchv1.Partial{ItemId: "item", Text: []byte("text of the harbour"), LastEvent: 3, Versions: []int64{1}}
	kept.put("item", textOf(first, partial, time.Now()))
	must.Nil(t, kept.take(other, "item"))
	must.Nil(t, kept.take("step-2", "item"))
	must.NotNil(t, kept.take(second, "item"))
	must.Nil(t, kept.take(second, "item"))

	kept.keepFor(first, []*batchv1.Partial{partial})
	must.Len(t, 0, kept.partialsOf(other))
	must.Len(t, 1, kept.partialsOf(first))
}
