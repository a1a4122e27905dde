package provisioning_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/provisioning"
)

// Guards against load that waits while replicas are ordered in a zone that does not exist: one that a spoiled entry of a
// replica names, or none.
func TestUnknownZonesAreOrderedLast(t *testing.T) {
	unpriced := interactive
	unpriced.Scaling = catalog.Scaling{Minimum: 1, Maximum: 8, BootTime: 4 * time.Second}
	raised := interactive
	raised.Scaling.Minimum = 2
	for _, check := range []struct {
		name    string
		service provisioning.Service
		zone    string
		lost    int // replicas of the unknown zone that were ordered and are gone
		pools   []provisioning.Pool
		need    provisioning.Need
		want    string
	}{
		{"an invented zone with the fewest", interactive, "nowhere", 0, settled(3, 3, 3), reported(90), "a4 b4 c4 load"},
		{"no zone", interactive, "", 0, settled(3, 3, 3), reported(90), "a4 b4 c4 load"},
		{"no zone, and no prices", unpriced, "", 0, settled(3, 3, 3), reported(90), "a4 b4 c4 load"},
		{"the known zones are full", interactive, "nowhere", 0, settled(8, 8, 8), reported(500), "nowhere8 load"},
		{"the minimum", raised, "nowhere", 0, settled(2, 2, 2), reported(10), ""},
		{"replicas that were lost there", interactive, "nowhere", 3, settled(3, 3, 3), reported(90), "a4 b4 c4 load"},
	} {
		pools := append(check.pools, provisioning.Pool{Zone: check.zone, Age: time.Hour, Ordered: 1 + check.lost, Expected: 1})
		changes := provisioning.Decide(provisioning.Situation{Service: check.service, Pools: pools, Need: check.need})
		must.Eq(t, check.want, describe(changes), must.Sprint(check.name))
	}
}
