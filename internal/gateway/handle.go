package gateway

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

// handle identifies a rollout across turns. Its encoded form is signed with the caller's token, so that no other caller can use it.
type handle struct {
	key     string
	policy  string
	replica string
}

const (
	handleSeparator = "~"
	handleParts     = 4
	signatureLength = 16 // bytes
	scopeLength     = 6  // bytes of the hash of the token
)

func callerToken(request *http.Request) string {
	return strings.TrimPrefix(request.Header.Get("Authorization"), "Bearer ")
}

func sign(token, content string) string {
	signer := hmac.New(sha256.New, []byte(token))
	_, _ = signer.Write([]byte(content))
	return hex.EncodeToString(signer.Sum(nil)[:signatureLength])
}

// encode returns the signed text of the handle for a caller.
func (rollout handle) encode(token string) string {
	content := strings.Join([]string{rollout.key, rollout.policy, rollout.replica}, handleSeparator)
	return content + handleSeparator + sign(token, content)
}

// parseHandle decodes a handle and verifies its signature. It returns false without an error if text is a key chosen by the caller.
func parseHandle(token, text string) (handle, bool, error) {
	parts := strings.Split(text, handleSeparator)
	if len(parts) == 1 {
		return handle{}, false, nil
	}
	if len(parts) != handleParts {
		return handle{}, false, result.New(result.InvalidField, "rollout: a key holds no %q", handleSeparator)
	}
	content := strings.Join(parts[:handleParts-1], handleSeparator)
	if !hmac.Equal([]byte(parts[handleParts-1]), []byte(sign(token, content))) {
		return handle{}, false, result.New(result.InvalidNotAllowed, "rollout: the handle was not given to this caller")
	}
	return handle{key: parts[0], policy: parts[1], replica: parts[2]}, true, nil
}

// scoped prefixes a request identifier with a hash of the caller's token, so that identifiers of different callers do not collide.
func scoped(token, requestID string) string {
	if token == "" {
		return requestID
	}
	digest := sha256.Sum256([]byte(token))
	return hex.EncodeToString(digest[:scopeLength]) + "/" + requestID
}
