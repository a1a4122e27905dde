package batch

import (
	"crypto/sha256"
	"encoding/hex"
)

const (
	// ScopeSeparator separates the scope of a tenant from the identifier in a scoped identifier. Validate rejects it in the
	// identifiers of callers.
	ScopeSeparator = "~"
	// scopeDigestBytes is the number of bytes of the digest of the name of a tenant that form its scope. It keeps the keys of
	// the store short and makes collisions between tenants negligible. Two of a million tenants share a scope with odds of 1 in 500
	// million.
	scopeDigestBytes = 10
)

// ScopedID returns the identifier used for the job of a tenant if a job of another tenant has the identifier that the caller
// chose.
func ScopedID(tenant, id string) string {
	digest := sha256.Sum256([]byte(tenant))
	return hex.EncodeToString(digest[:scopeDigestBytes]) + ScopeSeparator + id
}

// MayUse reports whether callers of one tenant may use a job of another; an empty name stands for no tenant. Every caller may
// use a job without a tenant, which was accepted before the deployment had tenants or by a version without tenants.
func MayUse(caller, owner string) bool { return owner == "" || owner == caller }
