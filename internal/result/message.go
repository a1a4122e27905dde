package result

import (
	"time"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
)

// ToMessage returns the form of a result between nodes; nil is Done.
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

// FromMessage returns the error that an outcome carries; nil for one of class done.
func FromMessage(outcome *controlv1.Outcome) error {
	code := Code(outcome.GetCode())
	if code.Class() == ClassDone {
		return nil
	}
	wait := time.Duration(outcome.GetRetryAfterMilliseconds()) * time.Millisecond
	return New(code, "%s", outcome.GetMessage()).WithRetryAfter(wait)
}
