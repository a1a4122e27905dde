package gateway

import (
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
