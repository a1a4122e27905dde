package batch

import (
	"crypto/sha256"
	"encoding/hex"
)

const (
	// ScopeSeparator stands between a tenant's scope and what lies in it. Callers' own identifiers never hold it (Validate).
	ScopeSeparator = "~"
	// scopeBytes is how much of the digest of a tenant's name is its scope: two of a million tenants share one with odds of 1 in 500
	// million, and keys of the store stay short.
	scopeBytes = 10
)

// ScopedID returns the identifier under which a tenant's job lies when another tenant's lies under the one that its caller gave.
func ScopedID(tenant, id string) string {
	digest := sha256.Sum256([]byte(tenant))
	return hex.EncodeToString(digest[:scopeBytes]) + ScopeSeparator + id
}

// MayUse reports whether callers of a tenant, empty for none, may use a job of another or the same. A job of none, as those are that were accepted
// before the deployment had tenants or by a build that knows none, is open to all.
func MayUse(caller, owner string) bool { return owner == "" || owner == caller }
