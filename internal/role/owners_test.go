package role

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A node counts as running jobs until ownerTTL after its last announcement.
func TestOwners(t *testing.T) {
	owners, now := newOwners(), time.Now()
	owners.record("a", now)
	owners.record("b", now.Add(-8*time.Second))
	must.Eq(t, map[string]bool{"a": true, "b": true}, owners.recent(now))
	must.Eq(t, map[string]bool{"a": true}, owners.recent(now.Add(5*time.Second)))
	owners.record("a", now.Add(9*time.Second))
	must.Eq(t, map[string]bool{"a": true}, owners.recent(now.Add(18*time.Second)))
	must.MapEmpty(t, owners.recent(now.Add(20*time.Second)))
}
