package forwarding_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/forwarding"
)

// Large bodies are refused while others fill the memory set aside for them.
func TestBodiesAreBounded(t *testing.T) {
	bodies := forwarding.NewBodies()
	const size = 32 << 20
	for range 3 {
		must.True(t, bodies.Reserve(size))
	}
	must.False(t, bodies.Reserve(forwarding.SmallBody))
	bodies.Release(size)
	must.True(t, bodies.Reserve(size))
}
