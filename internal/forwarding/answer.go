package forwarding

import (
	"net/http"
)

// unauthorized refuses a call whose API key was revoked before the request ran.
func (run *run) unauthorized() Result {
	return Result{Status: http.StatusUnauthorized, Local: true, Reason: "key_revoked"}
}

// giveUp returns the final result after the last attempt has failed and no further attempt is allowed.
func (run *run) giveUp() Result {
	if run.failure != nil {
		return run.deliver(*run.failure)
	}
	if run.mayHaveRun {
		return Result{Status: http.StatusBadGateway, Local: true, Reason: "outcome_unknown"}
	}
	if run.revoked() {
		return run.unauthorized()
	}
	if run.held != nil {
		refused := run.refuse("held")
		refused.RetryAfter = run.held.RetryAfter
		return refused
	}
	if run.refusal != nil {
		return run.refuseNoRoom()
	}
	refused := run.refuse("not_executed")
	if controller := run.forwarder.Admission; controller != nil {
		refused.RetryAfter = controller.RetryAfter(run.service, RetryAfter, run.remaining())
	}
	return refused
}

// deliver turns a replica's answer into the result of the call.
func (run *run) deliver(result attemptResult) Result {
	length := int64(len(result.body))
	if result.rest != nil {
		length = result.response.Length
	}
	return Result{Status: result.response.Status, Header: result.response.Header, Body: result.body, Length: length, Rest: result.rest, Reason: "replica"}
}

// refuse returns a 503 result for a request that has not run and may be retried after RetryAfter.
func (run *run) refuse(reason string) Result {
	return Result{Status: http.StatusServiceUnavailable, Local: true, Reason: reason, RetryAfter: RetryAfter}
}

// timedOut returns the final result after the deadline has passed or the caller has disconnected.
func (run *run) timedOut() Result {
	if run.failure != nil {
		return run.deliver(*run.failure)
	}
	return Result{Status: http.StatusGatewayTimeout, Local: true, Reason: "deadline"}
}
