package gateway

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

func TestAHandleIsItsCallersOwn(t *testing.T) {
	given := handle{key: "k", policy: "p", replica: "engine-1"}
	text := given.text("token-a")
	read, isHandle, err := parseHandle("token-a", text)
	must.NoError(t, err)
	must.True(t, isHandle)
	must.Eq(t, given, read)
	_, _, err = parseHandle("token-b", text)
	must.Eq(t, result.InvalidNotAllowed, result.CodeOf(err))
	_, isHandle, err = parseHandle("token-b", "a key of my own")
	must.NoError(t, err)
	must.False(t, isHandle)
}

func TestTwoCallersWithOneIdentifierDoNotMeet(t *testing.T) {
	must.NotEq(t, scoped("token-a", "r"), scoped("token-b", "r"))
	must.Eq(t, scoped("token-a", "r"), scoped("token-a", "r"))
	must.Eq(t, "r", scoped("", "r"))
}

// Whatever comes as a body is read or refused with a numbered error of class invalid.
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
