package provisioning_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/provisioning"
)

// Guards against a service of engines whose need is never known, because its items are not requests that nodes report: the owners of jobs tell
// how long items take, and models whose items take longer need more room.
func TestNeedFollowsTheTimesOfItems(t *testing.T) {
	const span, bootTime = 7500 * time.Millisecond, 4 * time.Second
	now := time.Unix(1000, 0)
	service := provisioning.Service{Slots: 8, BatchOnly: true, Scaling: catalog.Scaling{BootTime: bootTime}}
	loads := provisioning.NewLoads()
	record := func(job, model string, itemTime time.Duration) {
		loads.RecordDemand(&clusterv1.Demand{JobId: job, Model: model, Items: 160, ItemTimeUs: itemTime.Microseconds()}, now)
	}
	need := func() float64 {
		return service.Measure(loads.Read("engine", []string{"short", "long"}, span, bootTime, now), 384).Slots()
	}
	record("a", "short", 0)
	must.Eq(t, 0, need(), must.Sprint("a need without known times"))
	record("a", "short", 300*time.Millisecond)
	short := need()
	must.Between(t, 10, short, 15)
	record("b", "long", 1200*time.Millisecond)
	must.Between(t, 4*short, need()-short, 4.01*short)
	loads.RecordDemand(&clusterv1.Demand{JobId: "a", Model: "short", Items: 160, RemainingItems: proto.Int32(40)}, now)
	must.Between(t, short/4-0.1, need()-4*short, short/4+0.1, must.Sprint("only what is left needs room"))
	record("a", "short", 300*time.Millisecond)
	record("b", "long", 0) // an owner that has run none yet
	must.Between(t, 4*short, need()-short, 4.01*short)
}
