package engine

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/network"
	"github.com/thistlewalk/thistlewalk/internal/rollout"
)

func client() *HTTP {
	return NewHTTP(network.NewClient(network.NewTCP(time.Second), time.Minute, network.Connections{PerHost: 4}))
}

// stream runs a request against a handler and returns the chunks and the error.
func stream(t *testing.T, handler http.HandlerFunc) ([]rollout.Chunk, error) {
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	var chunks []rollout.Chunk
	err := client().Stream(t.Context(), strings.TrimPrefix(server.URL, "http://"), Request{RequestID: "r"}, func(chunk rollout.Chunk) error {
		chunks = append(chunks, chunk)
		return nil
	})
	return chunks, err
}

const (
	firstEvent = `data: {"request_id":"r","position":0,"token_ids":[1],"logprobs":[0],"version":1}` + "\n\n"
	lastEvent  = `data: {"request_id":"r","position":1,"token_ids":[],"logprobs":[],"version":1,"finish_reason":"stop"}` + "\n\n"
)

// ErrNotAccepted, which allows a retry elsewhere, must not be returned if the engine may have started the request.
func TestNotAcceptedIsOnlySaidWhereTheEngineCannotHaveBegun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	err = client().Stream(t.Context(), address, Request{}, nil)
	must.True(t, errors.Is(err, ErrNotAccepted), must.Sprint("connection refused"))

	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"refused by the engine", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"accepted":false,"reason":"full"}`)
		}, ErrNotAccepted},
		{"error without a body", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, ErrBroken},
		{"error page of a proxy", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, "<html>")
		}, ErrBroken},
		{"connection closed after the request was written", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrBroken},
		{"truncated stream", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, firstEvent) }, ErrBroken},
		{"end of stream without a finish reason", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, firstEvent, "data: [DONE]\n\n") }, ErrBroken},
		{"malformed event", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "data: {\n\n") }, ErrBroken},
		{"complete stream", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, firstEvent, lastEvent, "data: [DONE]\n\n") }, nil},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			_, err := stream(t, test.handler)
			if test.want == nil {
				must.NoError(t, err)
				return
			}
			must.True(t, errors.Is(err, test.want), must.Sprint(err))
		})
	}
}

// net/http retries some requests after a reused connection breaks. It must not retry a request to an engine, which may have started it.
func TestARequestOnABrokenKeptConnectionIsNotRepeated(t *testing.T) {
	served := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		served++
		if served == 2 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, firstEvent, lastEvent, "data: [DONE]\n\n")
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	engineClient := client()
	onChunk := func(rollout.Chunk) error { return nil }
	must.NoError(t, engineClient.Stream(context.Background(), address, Request{}, onChunk))
	err := engineClient.Stream(context.Background(), address, Request{}, onChunk)
	must.True(t, errors.Is(err, ErrBroken), must.Sprint(err))
	must.Eq(t, 2, served)
}

// DecodeChunk accepts only chunks with a valid position and one log-probability for each token.
func FuzzDecodeChunk(f *testing.F) {
	f.Add([]byte(strings.TrimSuffix(strings.TrimPrefix(firstEvent, "data: "), "\n\n")))
	f.Fuzz(func(t *testing.T, content []byte) {
		chunk, err := DecodeChunk(content)
		if err == nil && (chunk.Position < 0 || len(chunk.TokenIDs) != len(chunk.LogProbs)) {
			t.Fatalf("%+v", chunk)
		}
	})
}
