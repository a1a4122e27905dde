package claim

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

var now = time.Now()

func alive(string, uint64) bool { return true }
func dead(string, uint64) bool  { return false }

// In any order of claims, settlements and lost nodes, a second run of a request is granted only after the first was settled as not run.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		registry, err := NewRegistry(nil, time.Time{})
		must.NoError(draw, err)
		mayRun := make(map[string]map[string]bool)
		for action := range rapid.IntRange(1, 30).Draw(draw, "actions") {
			requestID := fmt.Sprint("request-", rapid.IntRange(0, 2).Draw(draw, "request"))
			token := fmt.Sprint("token-", rapid.IntRange(0, 3).Draw(draw, "token"))
			holderAlive := HolderAlive(alive)
			if rapid.Bool().Draw(draw, "dead") {
				holderAlive = dead
			}
			if rapid.Bool().Draw(draw, "settle") {
				code := rapid.SampledFrom([]result.Code{result.Done, result.NotRunRefused, result.UnknownBroken}).Draw(draw, "code")
				settled, err := registry.Settle(requestID, token, code, "", nil)
				if err == nil && settled != nil {
					registry.Apply(*settled)
					if code.Class() == result.ClassNotRun {
						delete(mayRun[requestID], token)
					}
				}
				continue
			}
			decision := registry.Claim(Claim{RequestID: requestID, Token: token}, holderAlive, now.Add(time.Duration(action)*time.Second))
			if decision.Store != nil {
				registry.Apply(*decision.Store)
			}
			if decision.Granted {
				if mayRun[requestID] == nil {
					mayRun[requestID] = make(map[string]bool)
				}
				mayRun[requestID][token] = true
			}
			must.LessEq(draw, 1, len(mayRun[requestID]), must.Sprintf("runs of %s: %v", requestID, mayRun[requestID]))
		}
	})
}

// A second request with a claimed identifier must get the outcome of the first, and never a second run.
func TestOutcomesOfASecondSending(t *testing.T) {
	registry, err := NewRegistry(nil, time.Time{})
	must.NoError(t, err)
	first := registry.Claim(Claim{RequestID: "r", Token: "a", ContentHash: 1}, alive, now)
	must.True(t, first.Granted)
	registry.Apply(*first.Store)
	second := func(holderAlive HolderAlive, hash uint64) error {
		return registry.Claim(Claim{RequestID: "r", Token: "b", ContentHash: hash}, holderAlive, now).Refusal
	}
	must.Eq(t, result.ConflictInProgress, result.CodeOf(second(alive, 1)))
	must.Eq(t, result.UnknownNodeLost, result.CodeOf(second(dead, 1)))
	must.Eq(t, result.ConflictContent, result.CodeOf(second(alive, 2)))
	settled, err := registry.Settle("r", "a", result.Done, "", []byte("answer"))
	must.NoError(t, err)
	registry.Apply(*settled)
	again := registry.Claim(Claim{RequestID: "r", Token: "b", ContentHash: 1}, dead, now)
	must.Eq(t, "answer", string(again.Answered.Answer))
	_, err = registry.Settle("r", "b", result.Done, "", nil)
	must.Error(t, err)
}

// After a loss of claims, an identifier that may have been claimed before must not be granted.
func TestLostHistoryIsUnknownForOldIdentifiersOnly(t *testing.T) {
	lost := now.Add(-time.Minute)
	registry, err := NewRegistry(nil, lost)
	must.NoError(t, err)
	claim := func(requestID string, at time.Time) result.Code {
		return result.CodeOf(registry.Claim(Claim{RequestID: requestID}, alive, at).Refusal)
	}
	must.Eq(t, result.UnknownHistory, claim("not-a-uuid", now))
	must.Eq(t, result.Done, claim("not-a-uuid", now.Add(Retention)), must.Sprint("lost claims have expired"))
	fresh, err := uuid.NewV7()
	must.NoError(t, err)
	must.Eq(t, result.Done, claim(fresh.String(), now))
	must.Eq(t, result.InvalidField, claim(fresh.String(), now.Add(Retention)), must.Sprint("the claim may have expired"))
}

func FuzzDecode(f *testing.F) {
	encoded, err := Claim{RequestID: "r"}.Encode()
	must.NoError(f, err)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, content []byte) { _, _ = Decode(content) })
}
