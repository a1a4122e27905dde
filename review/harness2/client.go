package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// item is one item of a batch job, with its reward call.
type item struct{ id, scorer string }

// job is a batch job as its trainer knows it.
type job struct {
	id    string
	items []item
	body  []byte
}

// newJob returns a batch job whose items each ask for a stream.
func newJob(count, events, stepMS int) *job {
	created := &job{id: newID()}
	var items []any
	content := base64.StdEncoding.EncodeToString([]byte(fmt.Sprintf(`{"events":%d,"step_ms":%d}`, events, stepMS)))
	scored := base64.StdEncoding.EncodeToString([]byte(`{"step_ms":30}`))
	for index := range count {
		one := item{newID(), newID()}
		created.items = append(created.items, one)
		items = append(items, map[string]any{
			"id": one.id, "path": fmt.Sprintf("%s3/%s", jobPath, one.id), "headers": map[string]string{"Model": modelName, "Token-Count": fmt.Sprintf("271,%d", events)},
			"body": content, "tokens": 271 + events, "group": fmt.Sprintf("g%s-%d", created.id, index/4),
			"scorer": map[string]any{"id": one.scorer, "host": hostName, "path": callPath + one.scorer, "body": scored},
		})
	}
	created.body, _ = json.Marshal(map[string]any{ // plain values
		"step": 1, "model": modelName, "min-version": 1, "desired-count": max(1, count/4*9/10), "items": items,
	})
	return created
}

// reply is an answer to a client; status is zero if there was none.
type reply struct {
	status int
	body   []byte
	err    error
}

// client makes the calls of clients, each on its own new connection.
type client struct{ record *record }

func (client *client) call(address, method, path string, header map[string]string, body []byte, limit time.Duration) reply {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Host = hostName
	for name, value := range header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, content, err}
}

// submit hands a batch job in at a front.
func (client *client) submit(address string, submitted *job, limit time.Duration) reply {
	client.record.note("client: hands batch job %s with %d items in at %s", submitted.id, len(submitted.items), address)
	answered := client.call(address, http.MethodPost, jobPath+submitted.id, map[string]string{"Request-Id": submitted.id, "Content-Type": "application/json", "Deadline-Ms": "12000"}, submitted.body, limit)
	client.record.note("client: batch job %s at %s: %s", submitted.id, address, answered)
	return answered
}

// page is the answer to a read of results.
type page struct {
	Total   int `json:"total"`
	Next    int `json:"next-token"`
	Results []struct {
		ID    string `json:"id"`
		State string `json:"state"`
		Text  string `json:"text"`
	} `json:"results"`
}

// read reads the results of a batch job from a position on.
func (client *client) read(address, id string, from int) (page, reply) {
	answered := client.call(address, http.MethodGet, fmt.Sprintf("/thistlewalk/lots/%s?after-rev=%d", id, from), map[string]string{"Wait-Ms": "400"}, nil, 3*time.Second)
	read := page{}
	if answered.status == http.StatusOK {
		answered.err = json.Unmarshal(answered.body, &read)
	}
	return read, answered
}

// end ends a batch job.
func (client *client) end(address, id string, limit time.Duration) reply {
	client.record.note("client: ends batch job %s at %s", id, address)
	answered := client.call(address, http.MethodDelete, "/thistlewalk/lots/"+id, nil, nil, limit)
	client.record.note("client: end of batch job %s at %s: %s", id, address, answered)
	return answered
}

// String implements fmt.Stringer.
func (reply reply) String() string {
	if reply.status == 0 {
		return fmt.Sprint("no answer: ", reply.err)
	}
	return fmt.Sprint(reply.status)
}

// progress is what a trainer has read of a batch job.
type progress struct {
	listed map[string]string // state by item
	texts  map[string]string // text by item
	next   int
}

// follow reads a batch job twice a second until all its items are listed or the deadline has passed.
func (client *client) follow(address string, followed *job, until time.Time) *progress {
	read := &progress{listed: make(map[string]string), texts: make(map[string]string)}
	for time.Now().Before(until) && len(read.listed) < len(followed.items) {
		got, answered := client.read(address, followed.id, read.next)
		if answered.status == http.StatusOK && answered.err == nil {
			for _, result := range got.Results {
				read.listed[result.ID], read.texts[result.ID] = result.State, result.Text
			}
			read.next = max(read.next, got.Next)
		}
		client.record.note("client: read of batch job %s at %s: %s, %d of %d items are listed", followed.id, address, answered, len(read.listed), len(followed.items))
		time.Sleep(500 * time.Millisecond)
	}
	return read
}
