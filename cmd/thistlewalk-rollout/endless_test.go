package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
)

// endlessAnswer is what a broken replica writes in place of an answer: a head, and a piece again and again until its peer closes the
// connection. %s in the head stands for the identifier of the request.
type endlessAnswer struct {
	head, piece string
	interval    time.Duration
}

// addEndless registers a replica that writes an endless answer to each request, and returns the number of requests that it got.
func (deployment *deployment) addEndless(id, service, model string, answer endlessAnswer) *atomic.Int64 {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(deployment.t, err)
	deployment.t.Cleanup(func() { listener.Close() })
	requests := &atomic.Int64{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answer.serve(conn, requests)
		}
	}()
	deployment.put("servers/"+id, site.NewReplica(id, service, model).RegistryEntry(listener.Addr().String()))
	return requests
}

func (answer endlessAnswer) serve(conn net.Conn, requests *atomic.Int64) {
	defer conn.Close()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	requests.Add(1)
	_, err = io.WriteString(conn, strings.ReplaceAll(answer.head, "%s", request.Header.Get("Request-Id")))
	for err == nil {
		_, err = io.WriteString(conn, answer.piece)
		time.Sleep(answer.interval)
	}
}

// Guards against jobs and calls that wait for a replica which writes bytes without end, and against a process that keeps these bytes.
func TestReplicaThatWritesWithoutEndHoldsUpNobody(t *testing.T) {
	t.Parallel()
	const head, stream = "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n", "Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n\r\n"
	const slowly = 20 * time.Millisecond
	for name, answer := range map[string]endlessAnswer{
		"head":                  {head: "HTTP/1.1 ", piece: strings.Repeat("x", 4<<10)},
		"head, slowly":          {head: head, piece: "X-More: y\r\n", interval: slowly},
		"informational, slowly": {piece: "HTTP/1.1 103 Early Hints\r\n\r\n", interval: slowly},
		"comments":              {head: head + stream, piece: strings.Repeat(": nothing\n", 400)},
		"comments, slowly":      {head: head + stream, piece: ": nothing\n", interval: slowly},
		"one event":             {head: head + stream, piece: strings.Repeat("data: x\n", 400)},
		"after an event":        {head: head + stream + "id: 1\ndata: x\n\n", piece: "\n", interval: slowly},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			deployment := newDeployment(t)
			deployment.put("op/config", fmt.Appendf(nil, configurationDocument, 3))
			engine := deployment.addEndless("e9", "lm", "m", answer)
			application := deployment.addEndless("a9", "app", "", answer)
			deployment.startOrderer("orderer-1")
			front := deployment.startFront("front-1")
			eventually(t, 5*time.Second, "the front is ready", func() bool { return deployment.isSettled(front) })

			status, _, _ := deployment.call(front, http.MethodPost, "/jobs/j", "job", jobBody(96, 1))
			must.Eq(t, http.StatusAccepted, status)
			eventually(t, 8*time.Second, "all items are listed", func() bool { return len(deployment.results(front, "job").Results) == 96 })
			must.Positive(t, engine.Load(), must.Sprint("no item reached the replica"))
			if strings.HasPrefix(answer.head, head+stream) {
				return // such an answer to a call has a head, and goes to the caller
			}
			statuses := deployment.sendCalls(3*time.Second, 50*time.Millisecond, longTimeout, numbered("q"), numbered("call "))
			must.Positive(t, application.Load(), must.Sprint("no call reached the replica"))
			for _, status := range statuses {
				must.Eq(t, http.StatusOK, status)
			}
		})
	}
}
