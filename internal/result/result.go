// Package result defines the numbered result codes that callers, trainers, operators and nodes see.
//
// The hundreds digit of a code is its class. The class determines whether the request may have run and whether it is safe to send it again.
// docs/RESULT_CODES.md holds the same table; a test compares the two.
package result

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Class groups codes by what a caller can conclude from them.
type Class int

// The classes of result codes.
const (
	ClassDone     Class = 1 // the request was carried out
	ClassNotRun   Class = 2 // the request did not run; it is safe to send it again
	ClassUnknown  Class = 3 // the request may have run
	ClassInvalid  Class = 4 // the request can never be carried out unchanged; it did not run
	ClassConflict Class = 5 // the request conflicts with the current state; it did not run
	ClassInternal Class = 6 // a fault of a node outside the request path
)

// String returns the name of the class in JSON responses.
func (class Class) String() string {
	switch class {
	case ClassDone:
		return "done"
	case ClassNotRun:
		return "not_run"
	case ClassUnknown:
		return "unknown"
	case ClassInvalid:
		return "invalid"
	case ClassConflict:
		return "conflict"
	default:
		return "internal"
	}
}

// Code is a numbered result.
type Code uint32

// The result codes. Numbers must never be reused.
const (
	Done            Code = 100
	DoneAlready     Code = 101
	DoneDuplicate   Code = 102
	NotRunOverload  Code = 200
	NotRunNoReplica Code = 201
	NotRunPaused    Code = 202
	NotRunStopping  Code = 203
	NotRunDeadline  Code = 204
	NotRunNoOwner   Code = 205
	NotRunLimit     Code = 206
	NotRunRefused   Code = 207
	NotRunService   Code = 208

	UnknownBroken     Code = 300
	UnknownTimeout    Code = 301
	UnknownHistory    Code = 302
	UnknownNodeLost   Code = 303
	UnknownTruncated  Code = 304
	UnknownNotWritten Code = 305

	InvalidBody       Code = 400
	InvalidField      Code = 401
	InvalidTooLarge   Code = 402
	InvalidSyntax     Code = 403
	InvalidShares     Code = 404
	InvalidVersion    Code = 405
	InvalidNotFound   Code = 406
	InvalidNotAllowed Code = 407
	InvalidState      Code = 408

	ConflictRevision   Code = 500
	ConflictContent    Code = 501
	ConflictInProgress Code = 502
	ConflictFetch      Code = 503
	ConflictEpoch      Code = 504
	ConflictExists     Code = 505

	InternalStorage  Code = 600
	InternalFault    Code = 601
	InternalOlder    Code = 602
	InternalNotReady Code = 603
)

// Description is one row of the table of result codes.
type Description struct {
	Code    Code
	Name    string
	HTTP    int
	Meaning string
}

var descriptions = []Description{
	{Done, "done", http.StatusOK, "carried out"},
	{DoneAlready, "done_already", http.StatusOK, "carried out before under the same identifier; the stored answer is returned"},
	{DoneDuplicate, "done_duplicate", http.StatusOK, "a sample for a filled slot; acknowledged and dropped"},
	{NotRunOverload, "not_run_overload", http.StatusTooManyRequests, "the node's queue is full; come back after the time given"},
	{NotRunNoReplica, "not_run_no_replica", http.StatusServiceUnavailable, "no healthy replica holds an allowed version of the policy"},
	{NotRunPaused, "not_run_paused", http.StatusServiceUnavailable, "the policy is paused or retired"},
	{NotRunStopping, "not_run_stopping", http.StatusServiceUnavailable, "the node is stopping as planned; ask another node"},
	{NotRunDeadline, "not_run_deadline", http.StatusServiceUnavailable, "the deadline passed before a replica was asked"},
	{NotRunNoOwner, "not_run_no_owner", http.StatusServiceUnavailable, "the partition has no reachable owner at the moment"},
	{NotRunLimit, "not_run_limit", http.StatusTooManyRequests, "the caller's own rate limit is reached"},
	{NotRunRefused, "not_run_refused", http.StatusServiceUnavailable, "every replica asked refused the request before beginning it"},
	{NotRunService, "not_run_service", http.StatusServiceUnavailable, "the key-value service cannot be reached, and nothing was changed"},
	{UnknownBroken, "unknown_broken", http.StatusBadGateway, "the replica failed after the request was written to it"},
	{UnknownTimeout, "unknown_timeout", http.StatusGatewayTimeout, "the deadline passed while the replica was working"},
	{UnknownHistory, "unknown_history", http.StatusBadGateway, "the claim history was lost, and the identifier may be older than the loss"},
	{UnknownNodeLost, "unknown_node_lost", http.StatusBadGateway, "the node that ran the request died before it told the outcome"},
	{UnknownTruncated, "unknown_truncated", http.StatusBadGateway, "the stream ended without its last chunk"},
	{UnknownNotWritten, "unknown_not_confirmed", http.StatusBadGateway, "a change was sent and neither its success nor its failure could be confirmed"},
	{InvalidBody, "invalid_body", http.StatusBadRequest, "the body is not the JSON that the call takes"},
	{InvalidField, "invalid_field", http.StatusBadRequest, "a field is unknown or out of its range"},
	{InvalidTooLarge, "invalid_too_large", http.StatusRequestEntityTooLarge, "the body is larger than the limit"},
	{InvalidSyntax, "invalid_syntax", http.StatusBadRequest, "the command language cannot read the text; the column and what was expected are named"},
	{InvalidShares, "invalid_shares", http.StatusBadRequest, "shares are negative, zero or do not add up to 100"},
	{InvalidVersion, "invalid_version", http.StatusBadRequest, "the experiment does not allow the policy that version"},
	{InvalidNotFound, "invalid_not_found", http.StatusNotFound, "no such experiment, policy, step or call"},
	{InvalidNotAllowed, "invalid_not_allowed", http.StatusForbidden, "the token does not carry the right for this call"},
	{InvalidState, "invalid_state", http.StatusUnprocessableEntity, "the state of the named thing does not permit the command"},
	{ConflictRevision, "conflict_revision", http.StatusConflict, "another change won; the message names its revision"},
	{ConflictContent, "conflict_content", http.StatusConflict, "the identifier was used before with other content"},
	{ConflictInProgress, "conflict_in_progress", http.StatusConflict, "the same request is running now; ask again later"},
	{ConflictFetch, "conflict_fetch", http.StatusConflict, "the fetch number is not greater than one already answered, or the cursor is not the next one"},
	{ConflictEpoch, "conflict_epoch", http.StatusConflict, "a greater epoch owns the partition"},
	{ConflictExists, "conflict_exists", http.StatusConflict, "a policy or experiment of that name exists"},
	{InternalStorage, "internal_storage", http.StatusInternalServerError, "the data folder cannot be read or written"},
	{InternalFault, "internal_fault", http.StatusInternalServerError, "a fault of the node; its log has the details"},
	{InternalOlder, "internal_older", http.StatusInternalServerError, "the key-value service came back with an older revision, which is refused"},
	{InternalNotReady, "internal_not_ready", http.StatusServiceUnavailable, "the node has not learned a configuration yet"},
}

var byCode = func() map[Code]Description {
	index := make(map[Code]Description, len(descriptions))
	for _, description := range descriptions {
		index[description.Code] = description
	}
	return index
}()

// Descriptions returns the whole table, ordered by code.
func Descriptions() []Description { return descriptions }

// Describe returns the row of a code, or the row of InternalFault if the code is unknown.
func (code Code) Describe() Description {
	if description, ok := byCode[code]; ok {
		return description
	}
	return byCode[InternalFault]
}

// Class returns the class that the code belongs to.
func (code Code) Class() Class { return Class(code / 100) }

// String returns the code's name.
func (code Code) String() string { return code.Describe().Name }

// Error is a result of any class but ClassDone.
type Error struct {
	Code       Code
	Message    string
	RetryAfter time.Duration // the time after which the client may send the request again; zero if none is given
}

// Error implements error.
func (failure *Error) Error() string {
	return fmt.Sprintf("%d %s: %s", failure.Code, failure.Code, failure.Message)
}

// New returns an Error with a formatted message.
func New(code Code, format string, arguments ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// WithRetryAfter sets the time after which the client may retry and returns the same error.
func (failure *Error) WithRetryAfter(wait time.Duration) *Error {
	failure.RetryAfter = wait
	return failure
}

// From returns the first Error in the chain of err, or an InternalFault with the text of err if there is none. It returns nil for nil.
func From(err error) *Error {
	if err == nil {
		return nil
	}
	var failure *Error
	if errors.As(err, &failure) {
		return failure
	}
	return New(InternalFault, "%v", err)
}

// CodeOf returns the result code of err, which is Done for nil.
func CodeOf(err error) Code {
	if err == nil {
		return Done
	}
	return From(err).Code
}
