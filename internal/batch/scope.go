package batch

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const (
	// ScopeSeparator stands between a tenant's scope and what lies in it. Callers' own identifiers never hold it (Validate).
	ScopeSeparator = "~"
	// scopeBytes is how much of the digest of a tenant's name is its scope: two of a million tenants share one with odds of 1 in 500
	// million, and keys of the store stay short.
	scopeBytes = 10
)

// ScopedID returns the identifier under which nodes and the store know a job. Jobs of a tenant lie in a scope of its own, so that no call
// of another tenant can name them; without a tenant it is the caller's identifier.
func ScopedID(tenant, id string) string {
	if tenant == "" {
		return id
	}
	digest := sha256.Sum256([]byte(tenant))
	return hex.EncodeToString(digest[:scopeBytes]) + ScopeSeparator + id
}

// InScopeOf returns an identifier that is unique only within a job's tenant, such as that of an item, in the scope of the job.
func InScopeOf(jobID, id string) string {
	scope, _, scoped := strings.Cut(jobID, ScopeSeparator)
	if !scoped {
		return id
	}
	return scope + ScopeSeparator + id
}
