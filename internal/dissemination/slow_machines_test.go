package dissemination_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against restarted processes on slow machines that are chosen as relays before they have loaded all replicas, so that the nodes
// behind them read the store.
func TestStartsOnWeakMachinesCostTheStoreLittle(t *testing.T) {
	const nodes, replicas = 600, 1000
	failure := runFleet(t, func(fleet *fleet) {
		fleet.fanOut, fleet.loadTime = 0, 550*time.Millisecond
		fleet.startPublisher()
		fleet.configure()
		fleet.registerReplicas(replicas)
		fleet.startAll(nodes)
		time.Sleep(8 * time.Second)
		before := fleet.storeCalls()
		fleet.restartEach(nodes, 2, 500*time.Millisecond)
		for range 16 {
			fleet.configure()
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		calls := fleet.storeCalls() - before
		t.Logf("%d calls", calls)
		if limit := int64(nodes/2*callsPerRestart + callsOfZoneReaders); calls > limit {
			fleet.fail("%d calls, %d are allowed", calls, limit)
		}
	})
	must.Eq(t, "", failure)
}
