package dissemination_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// As TestStartsBesideChangesCostTheStoreLittle, on machines that take all replicas in just less than a push may last. Relays that had begun themselves had
// nothing to pass on until then, so that the nodes behind them waited twice as long, and read the store: 1,144 to 1,180 calls.
func TestStartsOnWeakMachinesCostTheStoreLittle(t *testing.T) {
	const nodes, replicas = 600, 1000
	failure := runFleet(t, func(fleet *fleet) {
		fleet.fanOut, fleet.takes = 0, 550*time.Millisecond
		fleet.startPublisher()
		fleet.configure()
		fleet.register(replicas)
		fleet.startAll(nodes)
		time.Sleep(8 * time.Second)
		before := fleet.asked()
		fleet.restart(nodes, 2, 500*time.Millisecond)
		for range 16 {
			fleet.configure()
			time.Sleep(250 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		asked := fleet.asked() - before
		t.Logf("%d calls", asked)
		if most := int64(nodes/2*callsOfRestart + callsOfReaders); asked > most {
			fleet.fail("%d calls, %d are allowed", asked, most)
		}
	})
	must.Eq(t, "", failure)
}
