package leadership_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/leadership"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// expiringTerm is a term whose lease expires at a time.
type expiringTerm struct{ until time.Time }

func (term *expiringTerm) Valid(margin time.Duration) bool { return term.Remaining() > margin }

func (term *expiringTerm) Remaining() time.Duration { return time.Until(term.until) }

func (term *expiringTerm) Condition() metadata.Condition { return metadata.Condition{} }

// Guards against calls that go on after the lease and the grace, and against calls that end although the lease is renewed.
func TestCallEndsWithTheTerm(t *testing.T) {
	for _, test := range []struct {
		name                string
		lease, renewedUntil time.Duration
		want                time.Duration
	}{
		{"the lease expires", time.Second, 0, 1200 * time.Millisecond},
		{"the lease is renewed", time.Second, 1500 * time.Millisecond, 1700 * time.Millisecond},
		{"the call times out", time.Minute, 0, 2 * time.Second},
		{"the lease has expired", -time.Second, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				term := &expiringTerm{until: began.Add(test.lease)}
				ctx, cancel := leadership.CallContext(t.Context(), term, 2*time.Second, 200*time.Millisecond)
				defer cancel()
				if test.renewedUntil > 0 {
					term.until = began.Add(test.renewedUntil)
				}
				<-ctx.Done()
				must.Eq(t, test.want, time.Since(began))
			})
		})
	}
}
