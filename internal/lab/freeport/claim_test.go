package freeport

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Two processes that are given ports, and don't listen there yet, are given none in common.
func TestProcessesShareNoPort(t *testing.T) {
	var here, there allocator
	t.Cleanup(func() {
		for _, claim := range append(here.claims, there.claims...) {
			claim.Close()
		}
	})
	taken := make(map[int]bool)
	for range 3 {
		for _, allocator := range []*allocator{&here, &there} {
			pairs, err := allocator.pairs(120)
			must.NoError(t, err)
			for _, pair := range pairs {
				must.False(t, taken[pair.Port], must.Sprint(pair.Port, " was given twice"))
				taken[pair.Port] = true
			}
		}
	}
}
