// Package quarantine keeps requests from replicas that end whenever they run them. A request that comes again has a new identifier each
// time, so requests are told apart by what a replica is asked to do.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"

	"github.com/cespare/xxhash/v2"

	"github.com/thistlewalk/thistlewalk/internal/backend"
)

const (
	// headBytes is the part of a fingerprint that is found without reading the body: bodies are read only of requests whose head is suspected.
	headBytes = 8
	// digestBytes is how much of a digest of the whole request is kept: with 128 bits nobody can make one that is taken for another caller's.
	digestBytes = 16
)

// head is the beginning of a fingerprint. Requests that differ in their bodies alone may share it.
type head [headBytes]byte

// Fingerprint identifies what a service is asked to do and for whom. Requests with the same fingerprint differ in nothing that a replica
// acts upon but their identifiers and deadlines.
type Fingerprint [headBytes + digestBytes]byte

// String returns the fingerprint as logs and keys name it.
func (fingerprint Fingerprint) String() string { return hex.EncodeToString(fingerprint[:]) }

func (fingerprint Fingerprint) head() head { return head(fingerprint[:headBytes]) }

// FingerprintOf returns the fingerprint of a request to a service. It reads the whole body. The service belongs to it: a request that ends
// the replicas of one may be sound at another, which a route shares its requests with.
func FingerprintOf(service string, request *backend.Request) Fingerprint {
	digest := sha256.New()
	writeParts(digest, service, request)
	digest.Write(request.Body)
	var fingerprint Fingerprint
	found := headOf(service, request)
	copy(fingerprint[:], found[:])
	copy(fingerprint[headBytes:], digest.Sum(nil))
	return fingerprint
}

// headOf returns the beginning of a request's fingerprint.
func headOf(service string, request *backend.Request) head {
	digest := xxhash.New()
	writeParts(digest, service, request)
	return head(digest.Sum(nil))
}

// writeParts writes all of a request but its body, each part behind its length: the end of one is not taken for the beginning of the next.
func writeParts(digest hash.Hash, service string, request *backend.Request) {
	for _, part := range [...]string{service, request.Tenant, request.Method, request.Host, request.Target} {
		writeLength(digest, len(part))
		digest.Write([]byte(part))
	}
	writeLength(digest, len(request.Body))
}

func writeLength(digest hash.Hash, length int) {
	var encoded [8]byte
	binary.BigEndian.PutUint64(encoded[:], uint64(length))
	digest.Write(encoded[:])
}
