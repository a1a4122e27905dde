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

// ErrorBody is the JSON body of every failure, in the format of OpenAI.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes a failure.
type ErrorDetail struct {
	Message string `json:"message"`
	// Type is the class of the code.
	Type string `json:"type"`
	// Code is the name of the result code, Number its value.
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
	// OpenAI clients retry failed requests unless this header forbids it.
	if failure.Code.Class() != result.ClassNotRun {
		writer.Header().Set("X-Should-Retry", "false")
	}
	writeJSON(writer, failure.Code.Describe().HTTP, ErrorBody{Error: detailOf(err)})
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // fails only if the client has disconnected
}

// readJSON decodes a body strictly. It refuses unknown fields, trailing content and bodies over the limit.
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

// handler serves a call. It either sends the answer or returns a failure.
type handler func(writer http.ResponseWriter, request *http.Request) error

// requireCaller restricts a call to callers and trainers; operators may make it too.
func (gateway *Gateway) requireCaller(next handler) http.HandlerFunc {
	return gateway.authorize(next, func(token string) bool {
		return len(gateway.settings.CallerTokens) == 0 || matchesToken(gateway.settings.CallerTokens, token) || matchesToken(gateway.settings.OperatorTokens, token)
	})
}

// requireOperator restricts a call to operators.
func (gateway *Gateway) requireOperator(next handler) http.HandlerFunc {
	return gateway.authorize(next, func(token string) bool {
		return len(gateway.settings.OperatorTokens) == 0 || matchesToken(gateway.settings.OperatorTokens, token)
	})
}

// matchesToken reports whether token is one of tokens. Its time does not depend on how much of a token matches.
func matchesToken(tokens []string, token string) bool {
	matched := false
	for _, candidate := range tokens {
		if subtle.ConstantTimeCompare([]byte(candidate), []byte(token)) == 1 {
			matched = true
		}
	}
	return matched
}

func (gateway *Gateway) authorize(next handler, allowed func(token string) bool) http.HandlerFunc {
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

func (gateway *Gateway) notFound(writer http.ResponseWriter, request *http.Request) {
	writeError(writer, result.New(result.InvalidNotFound, "no call %s %s", request.Method, request.URL.Path))
}
