package gateway

import (
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/result"
)

// ErrorBody is the JSON of every failure. Its shape is the one that OpenAI clients read.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail names the result.
type ErrorDetail struct {
	Message string `json:"message"`
	// Type is the class of the code.
	Type string `json:"type"`
	// Code is the code's name, Number its number.
	Code                   string `json:"code"`
	Number                 int    `json:"number"`
	RetryAfterMilliseconds int64  `json:"retry_after_ms,omitempty"`
}

func detailOf(err error) ErrorDetail {
	failure := result.From(err)
	return ErrorDetail{
		Message: failure.Message, Type: failure.Code.Class().String(), Code: failure.Code.String(), Number: int(failure.Code),
		RetryAfterMilliseconds: failure.RetryAfter.Milliseconds(),
	}
}

// writeError answers with a failure.
func writeError(writer http.ResponseWriter, err error) {
	failure := result.From(err)
	if failure.RetryAfter > 0 {
		seconds := (failure.RetryAfter + time.Second - 1) / time.Second
		writer.Header().Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	if failure.Code == result.NotRunStopping {
		writer.Header().Set("Connection", "close")
	}
	// The OpenAI clients repeat failed requests by themselves unless told not to.
	if failure.Code.Class() != result.ClassNotRun {
		writer.Header().Set("X-Should-Retry", "false")
	}
	writeJSON(writer, failure.Code.Describe().HTTP, ErrorBody{Error: detailOf(err)})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // the client is gone when this fails
}

// readJSON decodes a body strictly: unknown fields, trailing content and bodies over the limit are refused.
func (gateway *Gateway) readJSON(writer http.ResponseWriter, request *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, gateway.settings.MaximumBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return bodyError(err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return result.New(result.InvalidBody, "content after the JSON value")
	}
	return nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge):
		return result.New(result.InvalidTooLarge, "the body is over %d bytes", tooLarge.Limit)
	case errors.As(err, &wrongType):
		return result.New(result.InvalidField, "field %q: want %s, got %s", wrongType.Field, wrongType.Type, wrongType.Value)
	case strings.HasPrefix(err.Error(), "json: unknown field"):
		return result.New(result.InvalidField, "%s", strings.TrimPrefix(err.Error(), "json: "))
	default:
		return result.New(result.InvalidBody, "%v", err)
	}
}

// handler is a call that answers by itself or returns a failure.
type handler func(writer http.ResponseWriter, request *http.Request) error

// caller guards a call of callers and trainers.
func (gateway *Gateway) caller(next handler) http.HandlerFunc {
	return gateway.guard(next, func(token string) bool {
		return len(gateway.settings.CallerTokens) == 0 || known(gateway.settings.CallerTokens, token) || known(gateway.settings.OperatorTokens, token)
	})
}

// operator guards a call of operators.
func (gateway *Gateway) operator(next handler) http.HandlerFunc {
	return gateway.guard(next, func(token string) bool {
		return len(gateway.settings.OperatorTokens) == 0 || known(gateway.settings.OperatorTokens, token)
	})
}

func known(tokens []string, token string) bool {
	found := false
	for _, candidate := range tokens {
		if subtle.ConstantTimeCompare([]byte(candidate), []byte(token)) == 1 {
			found = true
		}
	}
	return found
}

func (gateway *Gateway) guard(next handler, allowed func(token string) bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		token := callerToken(request)
		var err error
		if allowed(token) {
			err = next(writer, request)
		} else {
			err = result.New(result.InvalidNotAllowed, "the token does not allow %s %s", request.Method, request.URL.Path)
		}
		gateway.metrics.count(request.Pattern, result.CodeOf(err))
		if err != nil {
			writeError(writer, err)
		}
	}
}

func (gateway *Gateway) unknownCall(writer http.ResponseWriter, request *http.Request) {
	writeError(writer, result.New(result.InvalidNotFound, "no call %s %s", request.Method, request.URL.Path))
}
