package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

// A caller must not use the rollout handle of another caller.
func TestAHandleIsItsCallersOwn(t *testing.T) {
	original := handle{key: "k", policy: "p", replica: "engine-1"}
	text := original.encode("token-a")
	decoded, isHandle, err := parseHandle("token-a", text)
	must.NoError(t, err)
	must.True(t, isHandle)
	must.Eq(t, original, decoded)
	_, _, err = parseHandle("token-b", text)
	must.Eq(t, result.InvalidNotAllowed, result.CodeOf(err))
	_, isHandle, err = parseHandle("token-b", "a key of my own")
	must.NoError(t, err)
	must.False(t, isHandle)
}

// Equal request identifiers of different callers must not collide.
func TestTwoCallersWithOneIdentifierDoNotMeet(t *testing.T) {
	must.NotEq(t, scoped("token-a", "r"), scoped("token-b", "r"))
	must.Eq(t, scoped("token-a", "r"), scoped("token-a", "r"))
	must.Eq(t, "r", scoped("", "r"))
}

// Any body is either decoded or refused with an error of class invalid.
func FuzzRequests(f *testing.F) {
	f.Add([]byte(`{"model":"e","prompt":"x","max_tokens":5,"thistlewalk":{"request_id":"r","repeatable":false}}`))
	f.Add([]byte(`{"step":"s","experiment":"e","prompts":["a"],"group_size":2,"max_tokens":5}`))
	gateway := &Gateway{settings: Settings{MaximumBody: 1 << 16}}
	f.Fuzz(func(t *testing.T, content []byte) {
		for _, into := range []any{&CompletionRequest{}, &ChatRequest{}, &StepRequest{}, &FetchRequest{}, &CommandRequest{}, &PublishRequest{}} {
			request := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(content))
			if err := gateway.readJSON(httptest.NewRecorder(), request, into); err != nil {
				must.Eq(t, result.ClassInvalid, result.CodeOf(err).Class())
			}
		}
	})
}
