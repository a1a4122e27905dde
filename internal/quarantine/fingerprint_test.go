package quarantine_test

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/backend"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// Retries of a request must have the same fingerprint, and a change of any field that affects a replica must give another.
func TestFingerprint(t *testing.T) {
	made := func(change func(*backend.Request)) quarantine.Fingerprint {
		request := &backend.Request{ID: "q1", Method: http.MethodPost, Host: "a.example", Target: "/book/1?a=b", Body: []byte("body"), Tenant: "harbour"}
		change(request)
		return quarantine.FingerprintOf("app", request)
	}
	first := made(func(*backend.Request) {})
	must.Eq(t, first, made(func(request *backend.Request) {
		request.ID, request.Deadline, request.ResumeAfter, request.Priority = "q2", 700, 4, 1
	}))
	for name, change := range map[string]func(*backend.Request){
		"method": func(request *backend.Request) { request.Method = http.MethodPut },
		"host":   func(request *backend.Request) { request.Host = "b.example" },
		"query":  func(request *backend.Request) { request.Target = "/book/1?a=c" },
		"tenant": func(request *backend.Request) { request.Tenant = "airport" },
		"body":   func(request *backend.Request) { request.Body = []byte("bodY") },
		"border": func(request *backend.Request) { request.Host, request.Target = "a.example/", "book/1?a=b" },
	} {
		must.NotEq(t, first, made(change), must.Sprint(name))
	}
	must.NotEq(t, first, quarantine.FingerprintOf("other", &backend.Request{Method: http.MethodPost, Host: "a.example", Target: "/book/1?a=b", Body: []byte("body"), Tenant: "harbour"}))
	must.Eq(t, 48, len(first.String()))
}
