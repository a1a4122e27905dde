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

// Runs with their own tokens wish for the same identifiers in any order, and settle as not run or as done. The oracle
// counts, for each identifier, the tokens that may have asked a back end: at most one that was not settled as not run.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		book, err := NewBook(nil, time.Time{})
		must.NoError(draw, err)
		mayRun := make(map[string]map[string]bool)
		for action := range rapid.IntRange(1, 30).Draw(draw, "actions") {
			requestID := fmt.Sprint("request-", rapid.IntRange(0, 2).Draw(draw, "request"))
			token := fmt.Sprint("token-", rapid.IntRange(0, 3).Draw(draw, "token"))
			holders := HolderAlive(alive)
			if rapid.Bool().Draw(draw, "dead") {
				holders = dead
			}
			if rapid.Bool().Draw(draw, "settle") {
				code := rapid.SampledFrom([]result.Code{result.Done, result.NotRunRefused, result.UnknownBroken}).Draw(draw, "code")
				settled, err := book.Settle(requestID, token, code, "", nil)
				if err == nil && settled != nil {
					book.Apply(*settled)
					if code.Class() == result.ClassNotRun {
						delete(mayRun[requestID], token)
					}
				}
				continue
			}
			decision := book.Claim(Claim{RequestID: requestID, Token: token}, holders, now.Add(time.Duration(action)*time.Second))
			if decision.Store != nil {
				book.Apply(*decision.Store)
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

func TestOutcomesOfASecondSending(t *testing.T) {
	book, err := NewBook(nil, time.Time{})
	must.NoError(t, err)
	first := book.Claim(Claim{RequestID: "r", Token: "a", ContentHash: 1}, alive, now)
	must.True(t, first.Granted)
	book.Apply(*first.Store)
	second := func(holders HolderAlive, hash uint64) error {
		return book.Claim(Claim{RequestID: "r", Token: "b", ContentHash: hash}, holders, now).Refusal
	}
	must.Eq(t, result.ConflictInProgress, result.CodeOf(second(alive, 1)))
	must.Eq(t, result.UnknownNodeLost, result.CodeOf(second(dead, 1)))
	must.Eq(t, result.ConflictContent, result.CodeOf(second(alive, 2)))
	settled, err := book.Settle("r", "a", result.Done, "", []byte("answer"))
	must.NoError(t, err)
	book.Apply(*settled)
	again := book.Claim(Claim{RequestID: "r", Token: "b", ContentHash: 1}, dead, now)
	must.Eq(t, "answer", string(again.Answered.Answer))
	_, err = book.Settle("r", "b", result.Done, "", nil)
	must.Error(t, err)
}

func TestLostHistoryIsUnknownForOldIdentifiersOnly(t *testing.T) {
	lost := now.Add(-time.Minute)
	book, err := NewBook(nil, lost)
	must.NoError(t, err)
	claim := func(requestID string, at time.Time) result.Code {
		return result.CodeOf(book.Claim(Claim{RequestID: requestID}, alive, at).Refusal)
	}
	must.Eq(t, result.UnknownHistory, claim("no time in it", now))
	must.Eq(t, result.Done, claim("no time in it", now.Add(Retention)), must.Sprint("nobody asks again after the retention"))
	fresh, err := uuid.NewV7()
	must.NoError(t, err)
	must.Eq(t, result.Done, claim(fresh.String(), now))
	must.Eq(t, result.InvalidField, claim(fresh.String(), now.Add(Retention)), must.Sprint("its claim may have been removed"))
}

func FuzzDecode(f *testing.F) {
	encoded, err := Claim{RequestID: "r"}.Encode()
	must.NoError(f, err)
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, content []byte) { _, _ = Decode(content) })
}
