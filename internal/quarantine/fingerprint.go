// Package quarantine withholds requests that crash the replicas that run them. Retries of a request have new identifiers,
// so requests are identified by a fingerprint of their content.
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
	// headBytes is the size of the head, which is computed without the content of the body. Bodies are hashed only for
	// requests whose head is suspected.
	headBytes = 8
	// digestBytes is the size of the truncated digest of the whole request. At 128 bits a caller cannot construct a
	// request with the fingerprint of another caller's.
	digestBytes = 16
)

// head is the first part of a fingerprint. Requests that differ only in their bodies can share a head.
type head [headBytes]byte

// Fingerprint identifies the content of a request, its tenant and the service that it is sent to. Requests with the same
// fingerprint differ only in fields that do not affect a replica, such as identifiers and deadlines.
type Fingerprint [headBytes + digestBytes]byte

// String returns the fingerprint in hexadecimal, as in logs and keys.
func (fingerprint Fingerprint) String() string { return hex.EncodeToString(fingerprint[:]) }

func (fingerprint Fingerprint) head() head { return head(fingerprint[:headBytes]) }

// FingerprintOf returns the fingerprint of a request to a service. It reads the whole body. The service is part of the
// fingerprint because a request that crashes the replicas of one service may be harmless at another that shares a route
// with it.
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

func headOf(service string, request *backend.Request) head {
	digest := xxhash.New()
	writeParts(digest, service, request)
	return head(digest.Sum(nil))
}

// writeParts writes everything of a request but the content of its body. Each part is prefixed with its length, so that
// different splits into parts do not collide.
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
