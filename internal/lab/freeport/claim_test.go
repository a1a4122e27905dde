package freeport

import (
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against two processes being given the same port before either listens on it.
func TestProcessesShareNoPort(t *testing.T) {
	var first, second allocator
	t.Cleanup(func() {
		for _, claim := range append(first.claims, second.claims...) {
			claim.Close()
		}
	})
	taken := make(map[int]bool)
	for range 3 {
		for _, allocator := range []*allocator{&first, &second} {
			pairs, err := allocator.pairs(120)
			must.NoError(t, err)
			for _, pair := range pairs {
				must.False(t, taken[pair.Port], must.Sprint(pair.Port, " was given twice"))
				taken[pair.Port] = true
			}
		}
	}
}
