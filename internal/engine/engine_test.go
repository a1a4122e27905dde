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

func TestNotAcceptedIsOnlySaidWhereTheEngineCannotHaveBegun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	address := listener.Addr().String()
	must.NoError(t, listener.Close())
	err = client().Stream(t.Context(), address, Request{}, nil)
	must.True(t, errors.Is(err, ErrNotAccepted), must.Sprint("nobody listens"))

	cases := []struct {
		name    string
		handler http.HandlerFunc
		want    error
	}{
		{"it says so", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, `{"accepted":false,"reason":"full"}`)
		}, ErrNotAccepted},
		{"it fails without saying", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, ErrBroken},
		{"a proxy's page", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
			fmt.Fprint(w, "<html>")
		}, ErrBroken},
		{"it closes the connection after the request was written", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, ErrBroken},
		{"the stream ends in the middle", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, firstEvent) }, ErrBroken},
		{"the stream says it is done without a last chunk", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, firstEvent, "data: [DONE]\n\n") }, ErrBroken},
		{"an event is no chunk", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "data: {\n\n") }, ErrBroken},
		{"whole", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, firstEvent, lastEvent, "data: [DONE]\n\n") }, nil},
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

// The standard library repeats some requests by itself after a kept connection breaks; a request to an engine must not be.
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
	reused := client()
	each := func(rollout.Chunk) error { return nil }
	must.NoError(t, reused.Stream(context.Background(), address, Request{}, each))
	err := reused.Stream(context.Background(), address, Request{}, each)
	must.True(t, errors.Is(err, ErrBroken), must.Sprint(err))
	must.Eq(t, 2, served)
}

func FuzzDecodeChunk(f *testing.F) {
	f.Add([]byte(strings.TrimSuffix(strings.TrimPrefix(firstEvent, "data: "), "\n\n")))
	f.Fuzz(func(t *testing.T, content []byte) {
		chunk, err := DecodeChunk(content)
		if err == nil && (chunk.Position < 0 || len(chunk.TokenIDs) != len(chunk.LogProbs)) {
			t.Fatalf("%+v", chunk)
		}
	})
}
