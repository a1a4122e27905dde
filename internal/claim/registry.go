// Package claim ensures that a request that is not repeatable runs at most once: a node claims the request's identifier at the owner of one
// partition before it sends the request to a replica. Registry holds the claims of one partition and does no I/O.
package claim

import (
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Claim is the stored state of one identifier.
type Claim struct {
	RequestID   string `cbor:"1,keyasint"`
	Token       string `cbor:"2,keyasint"` // identifies the only run that may send the request to a replica
	ContentHash uint64 `cbor:"3,keyasint"`
	// HolderNode and HolderIncarnation identify the process that runs the request.
	HolderNode        string    `cbor:"4,keyasint"`
	HolderIncarnation uint64    `cbor:"5,keyasint"`
	Claimed           time.Time `cbor:"6,keyasint"`
	Settled           bool      `cbor:"7,keyasint"`
	// Code and Message are the outcome of a settled claim; Answer is the whole answer if Code is Done.
	Code    result.Code `cbor:"8,keyasint"`
	Message string      `cbor:"9,keyasint"`
	Answer  []byte      `cbor:"10,keyasint"`
}

const keyPrefix = "claim/"

// Key returns the register key of an identifier. No key is a prefix of another, because keys are removed by prefix.
func Key(requestID string) string { return keyPrefix + url.PathEscape(requestID) + "/" }

// Retention is how long a claim is kept. A caller must not reuse an identifier that is older.
const Retention = time.Hour

// Registry holds the claims of one partition. Claim and Settle return claims to be stored; Apply adds a claim after it was stored. A
// Registry is not safe for concurrent use.
type Registry struct {
	claims map[string]Claim
	// historyLost is the time before which claims may have been lost; zero if none were.
	historyLost time.Time
}

// NewRegistry returns a registry of the claims in the registers.
func NewRegistry(registers map[string][]byte, historyLost time.Time) (*Registry, error) {
	registry := &Registry{claims: make(map[string]Claim), historyLost: historyLost}
	for key, value := range registers {
		if !strings.HasPrefix(key, keyPrefix) {
			return nil, errors.Newf("key %q is not a claim", key)
		}
		claim, err := Decode(value)
		if err != nil {
			return nil, err
		}
		registry.claims[claim.RequestID] = claim
	}
	return registry, nil
}

// Decode decodes a stored claim.
func Decode(content []byte) (Claim, error) {
	var claim Claim
	err := cbor.Unmarshal(content, &claim)
	return claim, errors.Wrap(err, "decode stored claim")
}

// Encode returns the claim as it is stored.
func (claim Claim) Encode() ([]byte, error) { return cbor.Marshal(claim) }

// Decision is the response to a claim. Exactly one of Granted, Answered and Refusal is set.
type Decision struct {
	// Granted is true if the request may run after Store, if not nil, is stored.
	Granted bool
	Store   *Claim
	// Answered is the settled claim whose stored answer is to be sent.
	Answered *Claim
	Refusal  error
}

// HolderAlive reports whether the process that holds a claim is still running.
type HolderAlive func(nodeID string, incarnation uint64) bool

// Claim decides whether a run may send the request to a replica. Until the claim is settled, a retry with the same token is granted again.
func (registry *Registry) Claim(claim Claim, alive HolderAlive, now time.Time) Decision {
	if err := checkAge(claim.RequestID, now); err != nil {
		return Decision{Refusal: err}
	}
	existing, exists := registry.claims[claim.RequestID]
	switch {
	case exists && existing.ContentHash != claim.ContentHash:
		return Decision{Refusal: result.New(result.ConflictContent, "request %q was sent before with other content", claim.RequestID)}
	case exists && existing.Settled && existing.Code.Class() == result.ClassNotRun:
		return grant(claim, now)
	case exists && existing.Settled && existing.Code.Class() == result.ClassDone:
		return Decision{Answered: &existing}
	case exists && existing.Settled:
		return Decision{Refusal: result.New(existing.Code, "%s", existing.Message)}
	case exists && existing.Token == claim.Token:
		return Decision{Granted: true}
	case exists && alive(existing.HolderNode, existing.HolderIncarnation):
		return Decision{Refusal: result.New(result.ConflictInProgress, "request %q is running", claim.RequestID).WithRetryAfter(time.Second)}
	case exists:
		return Decision{Refusal: result.New(result.UnknownNodeLost, "the node that ran request %q died", claim.RequestID)}
	case registry.mayHaveLost(claim.RequestID, now):
		return Decision{Refusal: result.New(result.UnknownHistory, "claims older than %s were lost, and request %q may be older", registry.historyLost.Format(time.RFC3339), claim.RequestID)}
	default:
		return grant(claim, now)
	}
}

func grant(claim Claim, now time.Time) Decision {
	claim.Claimed = now
	return Decision{Granted: true, Store: &claim}
}

// clockSkew is the greatest clock skew of a caller that is tolerated.
const clockSkew = 30 * time.Second

// checkAge refuses an identifier that contains its creation time if a claim on it may have expired.
func checkAge(requestID string, now time.Time) error {
	created, ok := creationTime(requestID)
	if ok && now.Sub(created) > Retention-clockSkew {
		return result.New(result.InvalidField, "request %q is older than %s", requestID, Retention)
	}
	return nil
}

// mayHaveLost reports whether the lost claims may include one on the identifier.
func (registry *Registry) mayHaveLost(requestID string, now time.Time) bool {
	if registry.historyLost.IsZero() || now.Sub(registry.historyLost) > Retention {
		return false
	}
	created, ok := creationTime(requestID)
	return !ok || created.Before(registry.historyLost.Add(clockSkew))
}

// creationTime returns the creation time of an identifier that is a UUID of version 7, with or without the scope and slash that a gateway
// prefixes; false for other identifiers.
func creationTime(requestID string) (time.Time, bool) {
	identifier, err := uuid.Parse(requestID[strings.LastIndexByte(requestID, '/')+1:])
	if err != nil || identifier.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := identifier.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}

// Settle returns the claim with the outcome of its run, to be stored; nil if the claim is already settled. It refuses a token that does not
// hold the claim.
func (registry *Registry) Settle(requestID, token string, code result.Code, message string, answer []byte) (*Claim, error) {
	existing, exists := registry.claims[requestID]
	if !exists || existing.Token != token {
		return nil, result.New(result.ConflictContent, "request %q is not claimed by this run", requestID)
	}
	if existing.Settled {
		return nil, nil
	}
	existing.Settled = true
	existing.Code = code
	existing.Message = message
	existing.Answer = answer
	return &existing, nil
}

// Apply adds or replaces a claim that was stored.
func (registry *Registry) Apply(claim Claim) { registry.claims[claim.RequestID] = claim }

// Expired returns the identifiers of the claims that are older than the retention.
func (registry *Registry) Expired(now time.Time) []string {
	var expired []string
	for requestID, claim := range registry.claims {
		if now.Sub(claim.Claimed) > Retention+clockSkew {
			expired = append(expired, requestID)
		}
	}
	return expired
}

func (registry *Registry) Remove(requestID string) { delete(registry.claims, requestID) }

// Len returns the number of claims.
func (registry *Registry) Len() int { return len(registry.claims) }
