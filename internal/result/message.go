package result

import (
	"time"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
)

// ToMessage converts a result to the message that nodes exchange. A nil error becomes Done.
func ToMessage(err error) *controlv1.Outcome {
	if err == nil {
		return &controlv1.Outcome{Code: uint32(Done)}
	}
	failure := From(err)
	return &controlv1.Outcome{
		Code:                   uint32(failure.Code),
		Message:                failure.Message,
		RetryAfterMilliseconds: uint32(failure.RetryAfter.Milliseconds()),
	}
}

// FromMessage converts a message to an error. It returns nil if the code is of ClassDone.
func FromMessage(outcome *controlv1.Outcome) error {
	code := Code(outcome.GetCode())
	if code.Class() == ClassDone {
		return nil
	}
	wait := time.Duration(outcome.GetRetryAfterMilliseconds()) * time.Millisecond
	return New(code, "%s", outcome.GetMessage()).WithRetryAfter(wait)
}
