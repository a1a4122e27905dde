package batchrun

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

func TestPauseAfterFailures(t *testing.T) {
	for failures, want := range []time.Duration{
		0, 0, 250 * time.Millisecond, 500 * time.Millisecond, time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second,
	} {
		must.Eq(t, want, backoffAfter(failures), must.Sprint(failures, " failures"))
	}
	must.Eq(t, maxFailureBackoff, backoffAfter(1_000_000))
}
