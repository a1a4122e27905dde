package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// job is the batch job of a step.
type job struct {
	id     string
	items  []string
	groups map[string]string // group by item
	wanted int
}

func newJob(id string, groups, size, wanted int) *job {
	created := &job{id: id, groups: make(map[string]string), wanted: wanted}
	for group := range groups {
		for number := range size {
			item := fmt.Sprintf("%s%02d%02d", id, group, number)
			created.items = append(created.items, item)
			created.groups[item] = fmt.Sprint("g", group)
		}
	}
	return created
}

func (sent *job) document() []byte {
	var items []map[string]any
	for _, id := range sent.items {
		items = append(items, map[string]any{
			"id": id, "path": jobPrefix + "3/" + id, "headers": map[string]string{"Model": modelName, "Token-Count": "271,90", "Prompt-Prefix": sent.groups[id] + ":255," + id + ":16"},
			"body": base64.StdEncoding.EncodeToString([]byte("body of " + id)), "tokens": 361, "group": sent.groups[id],
			"scorer": map[string]any{"id": "s" + id, "host": hostName, "path": scorePrefix + id, "body": base64.StdEncoding.EncodeToString([]byte("score"))},
		})
	}
	content, _ := json.Marshal(map[string]any{"step": 0, "model": modelName, "min-version": 1, "desired-count": sent.wanted, "items": items})
	return content
}

// result is an entry of a page of results.
type result struct {
	ID       string  `json:"id"`
	State    string  `json:"state"`
	Text     string  `json:"text"`
	Versions []int64 `json:"versions"`
	Score    string  `json:"score"`
}

type page struct {
	Total   int      `json:"total"`
	Next    int      `json:"next-token"`
	Results []result `json:"results"`
}

// callTimeout is how long a client waits for an answer to a call for a batch job.
const callTimeout = 2500 * time.Millisecond

// call makes a call for a batch job on a connection of its own. A status of zero stands for no answer.
func (all *deployment) call(at *node, method, path, id string, body []byte, header ...string) (status int, content []byte) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	request, err := http.NewRequest(method, "http://"+at.address(all.ports.front)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Host = hostName
	request.Header.Set("Request-Id", id)
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	for index := 0; index+1 < len(header); index += 2 {
		request.Header.Set(header[index], header[index+1])
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	content, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, content
}

func (all *deployment) submit(at *node, sent *job) int {
	status, _ := all.call(at, http.MethodPost, jobPrefix+sent.id, sent.id, sent.document())
	all.records.note("job %s sent to %s: %d", sent.id, at.name, status)
	return status
}

func (all *deployment) read(at *node, sent *job, from int) (int, page) {
	status, content := all.call(at, http.MethodGet, fmt.Sprintf("/thistlewalk/lots/%s?after-rev=%d", sent.id, from), "read-"+sent.id, nil)
	got := page{}
	if status == http.StatusOK && json.Unmarshal(content, &got) != nil {
		status = 0
	}
	return status, got
}

func (all *deployment) endJob(at *node, sent *job) int {
	status, _ := all.call(at, http.MethodDelete, "/thistlewalk/lots/"+sent.id, "end-"+sent.id, nil)
	all.records.note("end of job %s asked at %s: %d", sent.id, at.name, status)
	return status
}

// wholeGroups counts the groups all of whose items are among the results.
func (sent *job) wholeGroups(results []result) int {
	missing := make(map[string]int)
	for _, id := range sent.items {
		missing[sent.groups[id]]++
	}
	for _, entry := range results {
		missing[sent.groups[entry.ID]]--
	}
	whole := 0
	for _, count := range missing {
		if count == 0 {
			whole++
		}
	}
	return whole
}
