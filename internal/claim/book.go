// Package claim makes a not-repeatable request run at most once: its identifier is claimed at one partition owner before
// any back end is asked. Book is the pure aggregate of one partition's claims.
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
	Token       string `cbor:"2,keyasint"` // names the one run that may ask a back end
	ContentHash uint64 `cbor:"3,keyasint"`
	// HolderNode and HolderLife name the process that runs the request.
	HolderNode string    `cbor:"4,keyasint"`
	HolderLife uint64    `cbor:"5,keyasint"`
	Claimed    time.Time `cbor:"6,keyasint"`
	Settled    bool      `cbor:"7,keyasint"`
	// Code and Message are the outcome once settled; Answer is the whole answer when Code is Done.
	Code    result.Code `cbor:"8,keyasint"`
	Message string      `cbor:"9,keyasint"`
	Answer  []byte      `cbor:"10,keyasint"`
}

const keyPrefix = "claim/"

// Key returns the register key of an identifier. No key is a prefix of another, since keys are removed by prefix.
func Key(requestID string) string { return keyPrefix + url.PathEscape(requestID) + "/" }

// Retention is how long a claim is kept after it was made. An identifier must not be used again later than this.
const Retention = time.Hour

// Book is the claims of one partition. Its methods decide; Apply makes a stored claim part of it. It is not safe for
// concurrent use.
type Book struct {
	claims map[string]Claim
	// historyLost is when older claims may have been lost; zero when never.
	historyLost time.Time
}

// NewBook returns a book of the claims that the registers hold.
func NewBook(registers map[string][]byte, historyLost time.Time) (*Book, error) {
	book := &Book{claims: make(map[string]Claim), historyLost: historyLost}
	for key, value := range registers {
		if !strings.HasPrefix(key, keyPrefix) {
			return nil, errors.Newf("key %q is not a claim", key)
		}
		claim, err := Decode(value)
		if err != nil {
			return nil, err
		}
		book.claims[claim.RequestID] = claim
	}
	return book, nil
}

// Decode reads a stored claim.
func Decode(content []byte) (Claim, error) {
	var claim Claim
	err := cbor.Unmarshal(content, &claim)
	return claim, errors.Wrap(err, "stored claim")
}

// Encode returns the stored form.
func (claim Claim) Encode() ([]byte, error) { return cbor.Marshal(claim) }

// Decision is the answer to a wish to run. Exactly one of Granted, Answered or Refusal is set.
type Decision struct {
	// Granted tells that the run may go on once Store is stored.
	Granted bool
	Store   *Claim
	// Answered is the claim whose stored answer is to be given again.
	Answered *Claim
	Refusal  error
}

// HolderAlive tells whether the process that runs a claim still lives.
type HolderAlive func(nodeID string, life uint64) bool

// Claim decides whether a run may ask a back end. The same token gets the same answer again.
func (book *Book) Claim(wish Claim, alive HolderAlive, now time.Time) Decision {
	if err := checkAge(wish.RequestID, now); err != nil {
		return Decision{Refusal: err}
	}
	present, exists := book.claims[wish.RequestID]
	switch {
	case exists && present.ContentHash != wish.ContentHash:
		return Decision{Refusal: result.New(result.ConflictContent, "request %q was sent before with other content", wish.RequestID)}
	case exists && present.Settled && present.Code.Class() == result.ClassNotRun:
		return grant(wish, now)
	case exists && present.Settled && present.Code.Class() == result.ClassDone:
		return Decision{Answered: &present}
	case exists && present.Settled:
		return Decision{Refusal: result.New(present.Code, "%s", present.Message)}
	case exists && present.Token == wish.Token:
		return Decision{Granted: true}
	case exists && alive(present.HolderNode, present.HolderLife):
		return Decision{Refusal: result.New(result.ConflictInProgress, "request %q is running", wish.RequestID).WithRetryAfter(time.Second)}
	case exists:
		return Decision{Refusal: result.New(result.UnknownNodeLost, "the node that ran request %q died", wish.RequestID)}
	case book.mayBeForgotten(wish.RequestID, now):
		return Decision{Refusal: result.New(result.UnknownHistory, "claims older than %s were lost, and request %q may be older", book.historyLost.Format(time.RFC3339), wish.RequestID)}
	default:
		return grant(wish, now)
	}
}

func grant(wish Claim, now time.Time) Decision {
	wish.Claimed = now
	return Decision{Granted: true, Store: &wish}
}

// clockSkew is the most that a caller's clock may differ.
const clockSkew = 30 * time.Second

// checkAge refuses identifiers that tell of their age (UUID version 7) once their claim may have been removed.
func checkAge(requestID string, now time.Time) error {
	made, ok := timeOf(requestID)
	if ok && now.Sub(made) > Retention-clockSkew {
		return result.New(result.InvalidField, "request %q is older than %s", requestID, Retention)
	}
	return nil
}

// mayBeForgotten reports whether the identifier may have been claimed before claims were lost.
func (book *Book) mayBeForgotten(requestID string, now time.Time) bool {
	if book.historyLost.IsZero() || now.Sub(book.historyLost) > Retention {
		return false
	}
	made, ok := timeOf(requestID)
	return !ok || made.Before(book.historyLost.Add(clockSkew))
}

// timeOf returns when a UUID of version 7 was made. A scope may stand before it, ended by a slash.
func timeOf(requestID string) (time.Time, bool) {
	identifier, err := uuid.Parse(requestID[strings.LastIndexByte(requestID, '/')+1:])
	if err != nil || identifier.Version() != 7 {
		return time.Time{}, false
	}
	seconds, nanoseconds := identifier.Time().UnixTime()
	return time.Unix(seconds, nanoseconds), true
}

// Settle decides on the outcome of a run. The outcome of another token is refused; a settled claim stays as it is.
func (book *Book) Settle(requestID, token string, code result.Code, message string, answer []byte) (*Claim, error) {
	present, exists := book.claims[requestID]
	if !exists || present.Token != token {
		return nil, result.New(result.ConflictContent, "request %q is not claimed by this run", requestID)
	}
	if present.Settled {
		return nil, nil
	}
	present.Settled = true
	present.Code = code
	present.Message = message
	present.Answer = answer
	return &present, nil
}

// Apply makes a stored claim part of the book.
func (book *Book) Apply(claim Claim) { book.claims[claim.RequestID] = claim }

// Expired returns the identifiers whose retention is over.
func (book *Book) Expired(now time.Time) []string {
	var expired []string
	for requestID, claim := range book.claims {
		if now.Sub(claim.Claimed) > Retention+clockSkew {
			expired = append(expired, requestID)
		}
	}
	return expired
}

// Remove forgets a claim.
func (book *Book) Remove(requestID string) { delete(book.claims, requestID) }

// Len returns the number of claims.
func (book *Book) Len() int { return len(book.claims) }
