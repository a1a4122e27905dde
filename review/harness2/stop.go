package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	// sentAfterStop is when after the SIGTERM the client sends its request.
	sentAfterStop = 4 * time.Second
	// graceBound is grace-s and a second.
	graceBound = 9 * time.Second
)

// keptConnection is a connection that a client keeps for several requests.
type keptConnection struct {
	conn   net.Conn
	reader *bufio.Reader
	record *record
	name   string
}

func keep(record *record, name, address string) (*keptConnection, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &keptConnection{conn, bufio.NewReader(conn), record, name}, nil
}

// send sends a request and reads the answer. complete is true if the answer was read to its end.
func (kept *keptConnection) send(path, id, body, deadline string) (status int, content []byte, complete bool, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+hostName+path, strings.NewReader(body))
	if err != nil {
		return 0, nil, false, err
	}
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", deadline)
	if strings.HasPrefix(path, streamPath) {
		request.Header.Set("Model", modelName)
		request.Header.Set("Token-Count", "271,40")
	}
	kept.record.note("%s: sends %s to %s", kept.name, id, path)
	if err := request.Write(kept.conn); err != nil {
		kept.record.note("%s: %s was not sent: %v", kept.name, id, err)
		return 0, nil, false, err
	}
	response, err := http.ReadResponse(kept.reader, request)
	if err != nil {
		kept.record.note("%s: %s gets no answer: %v", kept.name, id, err)
		return 0, nil, false, err
	}
	defer response.Body.Close()
	content, err = io.ReadAll(response.Body)
	kept.record.note("%s: %s is answered with %d, %d bytes, error: %v, Connection: %q", kept.name, id, response.StatusCode, len(content), err, response.Header.Get("Connection"))
	return response.StatusCode, content, err == nil, err
}

// plannedStop: a front gets SIGTERM. A client sends a stream request four seconds later on a connection that it has kept.
func plannedStop(deployment *deployment, trouble bool) (int, string) {
	record := deployment.record
	front := deployment.fronts[0]
	kept, err := keep(record, "client 1", front.frontAddress())
	if err != nil {
		return couldNot, err.Error()
	}
	defer kept.conn.Close()
	busy, err := keep(record, "client 2", front.frontAddress())
	if err != nil {
		return couldNot, err.Error()
	}
	defer busy.conn.Close()
	if status, _, _, err := kept.send(callPath+"1", newID(), `{"step_ms":30}`, "1500"); status != 200 || err != nil {
		return couldNot, "the first request failed"
	}
	other := make(chan bool, 1)
	go func() {
		_, content, complete, _ := busy.send(streamPath+"2", newID(), `{"events":50,"step_ms":100}`, "10000")
		other <- complete && bytes.Count(content, []byte("id: ")) == 50
	}()
	time.Sleep(500 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		front.signal(syscall.SIGTERM)
	}
	time.Sleep(sentAfterStop)
	id := newID()
	status, content, complete, err := kept.send(streamPath+"3", id, `{"events":40,"step_ms":100}`, "10000")
	ended := time.Since(stopped)
	passedOn := len(deployment.runs.of(id)) > 0
	events := bytes.Count(content, []byte("id: "))
	record.note("client 2 got its whole answer: %v", <-other)
	switch {
	case passedOn && (!complete || status == 0) && ended < graceBound:
		return broken, fmt.Sprintf("LOST: the request was passed on to a replica, and its connection ended %.2f s after the SIGTERM after %d of 40 events: %v", ended.Seconds(), events, err)
	case passedOn && status == 200 && events == 40:
		return held, "the stream was passed on whole"
	}
	return held, fmt.Sprintf("answered with %d", status)
}
