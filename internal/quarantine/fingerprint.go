// Package quarantine keeps requests from replicas that end whenever they run them. A request that comes again has a new identifier each
// time, so requests are told apart by what a replica is asked to do.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/thistlewalk/thistlewalk/internal/backend"
)

// fingerprintBytes is how much of the digest is kept: with 128 bits nobody can make a request whose fingerprint is another caller's.
const fingerprintBytes = 16

// Fingerprint identifies what a service is asked to do and for whom. Requests with the same fingerprint differ in nothing that a replica
// acts upon but their identifiers and deadlines.
type Fingerprint [fingerprintBytes]byte

// String returns the fingerprint as logs and keys name it.
func (fingerprint Fingerprint) String() string { return hex.EncodeToString(fingerprint[:]) }

// FingerprintOf returns the fingerprint of a request to a service. It reads the whole body, and so is asked for only where
// something went wrong. The service belongs to it: a request that ends the replicas of one may be sound at another, which a route shares
// its requests with.
func FingerprintOf(service string, request *backend.Request) Fingerprint {
	digest := sha256.New()
	for _, part := range []string{service, request.Tenant, request.Method, request.Host, request.Target} {
		writeLength(digest, len(part))
		digest.Write([]byte(part))
	}
	digest.Write(request.Body)
	var fingerprint Fingerprint
	copy(fingerprint[:], digest.Sum(nil))
	return fingerprint
}

// writeLength keeps the end of one part from being taken for the beginning of the next.
func writeLength(digest hash.Hash, length int) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(length))
	digest.Write(encoded[:])
}
