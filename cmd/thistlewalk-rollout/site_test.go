package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/lab/freeport"
	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/role"
)

// deployment runs fronts and orderers against a simulated platform on the loopback address.
type deployment struct {
	t        *testing.T
	store    *memstore.Store
	server   *httptest.Server
	replicas map[string]*site.Replica
	fronts   []*runningFront
	// logs holds the log lines of all nodes.
	logs lockedBuffer
}

// lockedBuffer is a buffer that is safe for concurrent use.
type lockedBuffer struct {
	mu      sync.Mutex
	content strings.Builder
}

// Write implements io.Writer.
func (buffer *lockedBuffer) Write(content []byte) (int, error) {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.content.Write(content)
}

func (buffer *lockedBuffer) String() string {
	buffer.mu.Lock()
	defer buffer.mu.Unlock()
	return buffer.content.String()
}

type runningFront struct {
	front        *role.Front
	callerServer role.Server
	address      string
	ready        string
}

const configurationDocument = `{"version":%d,"routes":[
 {"name":"r1","host":"a.example","path-prefix":"/book/","kind":"safe","timeout-ms":1500,"slo-ms":150,"service":"app","max-attempts":2},
 {"name":"r2","host":"a.example","path-prefix":"/score/","kind":"safe","timeout-ms":1500,"slo-ms":150,"service":"app","max-attempts":4},
 {"name":"r3","host":"a.example","path-prefix":"/jobs/","kind":"rollout","timeout-ms":10000,"slo-ms":400,"run-slo-ms":7500,"max-queue-s":40,"service":"lm","max-attempts":3}],
 "services":[{"name":"app","health-path":"/health"},{"name":"lm","health-path":"/health","engine":{"slots":8,"models":[{"name":"m"}]}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":1048576,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	store := memstore.New()
	created := &deployment{t: t, store: store, server: httptest.NewServer(&site.StoreServer{Store: store}), replicas: make(map[string]*site.Replica)}
	t.Cleanup(func() {
		created.server.CloseClientConnections() // Close alone would wait for open watches.
		created.server.Close()
	})
	for _, id := range []string{"e1", "e2", "e3", "e4"} {
		created.addReplica(site.NewReplica(id, "lm", "m"))
	}
	for _, id := range []string{"a1", "a2"} {
		created.addReplica(site.NewReplica(id, "app", ""))
	}
	return created
}

// put writes to the metadata store, as the operator and replicas do. It does not use the test's context, because a replica may write after that
// context has been canceled.
func (deployment *deployment) put(key string, value []byte) {
	_, err := deployment.store.Commit(context.Background(), metadata.Txn{Puts: []metadata.Put{{Key: key, Value: value}}})
	must.NoError(deployment.t, err)
}

func (deployment *deployment) addReplica(replica *site.Replica) {
	server := httptest.NewServer(replica)
	deployment.t.Cleanup(server.Close)
	register := func() {
		deployment.put("servers/"+replica.ID, replica.RegistryEntry(strings.TrimPrefix(server.URL, "http://")))
	}
	replica.OnChange = register
	deployment.replicas[replica.ID] = replica
	register()
}

// settings writes the settings file of a node, and returns its path and the addresses at which the node listens.
func (deployment *deployment) settings(name string) (path string, listen map[string]string) {
	peer := freePort(deployment.t)
	listen = map[string]string{"front": fmt.Sprint("127.0.0.1:", freePort(deployment.t)), "ready": fmt.Sprint("127.0.0.1:", freePort(deployment.t))}
	content, err := json.Marshal(map[string]any{
		"node-name": name, "role": "role", "ip": "127.0.0.1", "zone": "z", "listen": listen, "internal-ports": []int{peer, peer + 1},
		"limits": map[string]int{"memory-mb": 200}, "bounds": map[string]any{"grace-s": 8, "lease-ms": 300},
		"platform-api": map[string]any{"address": strings.TrimPrefix(deployment.server.URL, "http://"), "ttl_min_ms": 1000},
	})
	must.NoError(deployment.t, err)
	path = filepath.Join(deployment.t.TempDir(), "node.json")
	must.NoError(deployment.t, os.WriteFile(path, content, 0o600))
	return path, listen
}

// freePort returns a free port whose successor is free too.
func freePort(t *testing.T) int {
	pairs, err := freeport.Pairs(1)
	must.NoError(t, err)
	return pairs[0].Port
}

func (deployment *deployment) startFront(name string) *runningFront {
	path, listen := deployment.settings(name)
	process, err := newProcess(path, &deployment.logs, "info")
	must.NoError(deployment.t, err)
	front, callerServer, err := startFront(process)
	must.NoError(deployment.t, err)
	started := &runningFront{front: front, callerServer: callerServer, address: listen["front"], ready: listen["ready"]}
	deployment.fronts = append(deployment.fronts, started)
	return started
}

func (deployment *deployment) startOrderer(name string) {
	path, _ := deployment.settings(name)
	process, err := newProcess(path, &deployment.logs, "info")
	must.NoError(deployment.t, err)
	orderer, err := startOrderer(process, 0)
	must.NoError(deployment.t, err)
	deployment.t.Cleanup(orderer.Stop)
}

// call sends a request to a front and returns the status, body and headers of the response.
func (deployment *deployment) call(front *runningFront, method, target, id, body string) (int, string, http.Header) {
	return deployment.callWith(front, method, target, id, body, nil)
}

// callWith is like call, with additional request headers.
func (deployment *deployment) callWith(front *runningFront, method, target, id, body string, header http.Header) (int, string, http.Header) {
	request, err := http.NewRequestWithContext(deployment.t.Context(), method, "http://"+front.address+target, strings.NewReader(body))
	must.NoError(deployment.t, err)
	request.Host = "a.example"
	maps.Copy(request.Header, header)
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "1500")
	response, err := http.DefaultClient.Do(request)
	must.NoError(deployment.t, err)
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	must.NoError(deployment.t, err)
	return response.StatusCode, string(content), response.Header
}

func eventually(t *testing.T, limit time.Duration, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatalf("not within %s: %s", limit, description)
}

// isSettled reports whether a front is ready and its configuration is known to be up to date.
func (deployment *deployment) isSettled(front *runningFront) bool {
	return deployment.isReady(front) && front.front.UpToDate()
}

func (deployment *deployment) isReady(front *runningFront) bool {
	response, err := http.Get("http://" + front.ready + "/thistlewalk/ready")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func jobBody(items int, minimum int64) string {
	list := make([]map[string]any, 0, items)
	for index := range items {
		id := fmt.Sprintf("item%s%d", strings.Repeat("y", index%3), index)
		list = append(list, map[string]any{
			"id": id, "path": "/jobs/item", "headers": map[string]string{"Model": "m", "Token-Count": "9,90"}, "group": fmt.Sprint("g", index/2),
			"body":   base64.StdEncoding.EncodeToString([]byte("body of " + id)),
			"scorer": map[string]any{"id": "s" + id, "host": "a.example", "path": "/score/x", "body": ""},
		})
	}
	content, _ := json.Marshal(map[string]any{"step": 1, "model": "m", "min-version": minimum, "desired-count": items / 2, "items": list})
	return string(content)
}

type resultPage struct {
	Total   int `json:"total"`
	Next    int `json:"next-token"`
	Results []struct {
		ID, State, Text, Score string
		Versions               []int64
	} `json:"results"`
}

// results reads the results of a job from the beginning.
func (deployment *deployment) results(front *runningFront, job string) resultPage {
	status, content, _ := deployment.call(front, http.MethodGet, "/thistlewalk/lots/"+job+"?after-rev=0", "read", "")
	page := resultPage{}
	if status == http.StatusOK {
		must.NoError(deployment.t, json.Unmarshal([]byte(content), &page))
	}
	return page
}

// TestSite runs requests, a batch job, a new version and a planned stop through the real platform adapter against the simulated platform.
func TestSite(t *testing.T) {
	deployment := newDeployment(t)
	first := deployment.startFront("front-1")
	status, _, header := deployment.call(first, http.MethodPost, "/book/1", "q0", "x")
	must.Eq(t, http.StatusServiceUnavailable, status, must.Sprint("a node without a configuration"))
	must.NotEq(t, "", header.Get("Retry-After"))
	must.False(t, deployment.isReady(first))

	deployment.put("op/config", fmt.Appendf(nil, configurationDocument, 3))
	second := deployment.startFront("front-2")
	deployment.startOrderer("orderer-1")
	deployment.startOrderer("orderer-2")
	eventually(t, 3*time.Second, "fronts are ready", func() bool { return deployment.isSettled(first) && deployment.isSettled(second) })

	status, body, header := deployment.call(first, http.MethodPost, "/book/1?a=b", "q1", "x")
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "answer to q1", body)
	must.StrHasSuffix(t, ".q1", header.Get("Server-Stamp"))
	status, _, _ = deployment.call(first, http.MethodPost, "/none/1", "q2", "x")
	must.Eq(t, http.StatusNotFound, status)
	status, _, _ = deployment.call(first, http.MethodPost, "/book/1", "q3", strings.Repeat("x", 2<<20))
	must.Eq(t, http.StatusRequestEntityTooLarge, status)

	runBatchJob(t, deployment, first, second)
	stopOwner(t, deployment, first, second)
}

func runBatchJob(t *testing.T, deployment *deployment, first, second *runningFront) {
	t.Helper()
	deployment.replicas["e1"].SetFaults(site.ReplicaFaults{BreakAfterEvent: 2})
	deployment.replicas["e2"].SetFaults(site.ReplicaFaults{RejectRequests: true})
	status, _, _ := deployment.call(first, http.MethodPost, "/jobs/j1", "job1", `{"items":[]}`)
	must.Eq(t, http.StatusBadRequest, status)
	for _, front := range []*runningFront{first, second} { // submitted again at another node, the job must run only once
		status, _, _ = deployment.call(front, http.MethodPost, "/jobs/j1", "job1", jobBody(12, 1))
		must.Eq(t, http.StatusAccepted, status)
	}
	eventually(t, 8*time.Second, "all items are listed at both fronts", func() bool {
		return len(deployment.results(first, "job1").Results) == 12 && len(deployment.results(second, "job1").Results) == 12
	})
	must.Eq(t, deployment.results(first, "job1"), deployment.results(second, "job1"))
	for _, result := range deployment.results(second, "job1").Results {
		var texts []string
		for event := int64(1); event <= site.EventCount(result.ID); event++ {
			texts = append(texts, site.EventData(result.ID, event))
		}
		must.Eq(t, "completed", result.State)
		must.Eq(t, strings.Join(texts, "\n"), result.Text)
		must.Eq(t, []int64{1}, result.Versions)
		must.StrHasSuffix(t, ".s"+result.ID, result.Score)
	}
	status, _, _ = deployment.call(second, http.MethodGet, "/thistlewalk/lots/none", "r", "")
	must.Eq(t, http.StatusNotFound, status)
	for range 2 {
		status, _, _ = deployment.call(second, http.MethodDelete, "/thistlewalk/lots/job1", "d", "")
		must.Eq(t, http.StatusOK, status)
	}
	must.Eq(t, 12, len(deployment.results(first, "job1").Results))
}

// stopOwner publishes a version, submits a job that requires it, and stops the front that runs the job. The other front must finish the job.
func stopOwner(t *testing.T, deployment *deployment, first, second *runningFront) {
	t.Helper()
	deployment.put("op/version/m", []byte(`{"model":"m","version":2}`))
	status, _, _ := deployment.call(first, http.MethodPost, "/jobs/j2", "job2", jobBody(20, 2))
	must.Eq(t, http.StatusAccepted, status)
	eventually(t, 5*time.Second, "a replica loads the version", func() bool {
		return deployment.replicas["e3"].Version() == 2 || deployment.replicas["e4"].Version() == 2
	})
	owner, other := first, second
	if second.front.Runner.OpenJobs() > 0 {
		owner, other = second, first
	}
	must.Eq(t, 1, owner.front.Runner.OpenJobs())
	owner.front.Stop(6*time.Second, owner.callerServer)
	eventually(t, 8*time.Second, "the other front finishes the job", func() bool { return len(deployment.results(other, "job2").Results) == 20 })
	for _, result := range deployment.results(other, "job2").Results {
		must.Eq(t, []int64{2}, result.Versions)
	}
	for _, replica := range deployment.replicas {
		for _, holder := range replica.OrderHolders() {
			must.StrContains(t, holder, "orderer-")
		}
	}
}

func TestSettingsAreChecked(t *testing.T) {
	for content, message := range map[string]string{
		`{`:                          "settings file",
		`{}`:                         "node-name is missing",
		`{"node-name":"a","ip":"x"}`: "ip is \"x\"",
		`{"node-name":"a","ip":"127.0.0.1","internal-ports":[1]}`:                                                           "internal-ports is [1]",
		`{"node-name":"a","ip":"127.0.0.1","internal-ports":[1,2]}`:                                                         "platform-api.address is missing",
		`{"node-name":"a","ip":"127.0.0.1","internal-ports":[1,2],"platform-api":{"address":"b:1"},"listen":{"front":"z"}}`: "listen.front is \"z\"",
	} {
		path := filepath.Join(t.TempDir(), "node.json")
		must.NoError(t, os.WriteFile(path, []byte(content), 0o600))
		_, err := newProcess(path, io.Discard, "info")
		must.ErrorContains(t, err, message)
		must.ErrorContains(t, err, path)
	}
}

// rawCall writes bytes to a front and returns the status line of the response, or an empty string if the front closes the connection without one.
func rawCall(t *testing.T, front *runningFront, content string) string {
	t.Helper()
	connection, err := net.Dial("tcp", front.address)
	must.NoError(t, err)
	defer connection.Close()
	must.NoError(t, connection.SetDeadline(time.Now().Add(8*time.Second)))
	_, err = io.WriteString(connection, content)
	must.NoError(t, err)
	answer, _ := io.ReadAll(connection) // the front may reset the connection after the response
	line, _, _ := strings.Cut(string(answer), "\r\n")
	return line
}

// Invalid requests must be rejected by the front, and must not run on any replica.
func TestBadInput(t *testing.T) {
	deployment := newDeployment(t)
	deployment.put("op/config", fmt.Appendf(nil, configurationDocument, 3))
	front := deployment.startFront("front-1")
	eventually(t, 3*time.Second, "the front is ready", func() bool { return deployment.isSettled(front) })
	head := "POST /book/1 HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
	for name, c := range map[string]struct{ content, status string }{
		"no protocol":            {"nonsense\r\n\r\n", "HTTP/1.1 400 Bad Request"},
		"malformed header":       {head + "Request-Id q\r\n\r\n", "HTTP/1.1 400 Bad Request"},
		"two lengths":            {head + "Request-Id: q\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", "HTTP/1.1 400 Bad Request"},
		"length and chunks":      {head + "Request-Id: q\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n", "HTTP/1.1 400 Bad Request"},
		"malformed chunk":        {head + "Request-Id: q\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n", "HTTP/1.1 400 Bad Request"},
		"oversized head":         {head + "X: " + strings.Repeat("x", 40000) + "\r\n\r\n", "HTTP/1.1 431 Request Header Fields Too Large"},
		"announced oversized":    {head + "Request-Id: q\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 413 Request Entity Too Large"},
		"no identifier":          {head + "Content-Length: 0\r\n\r\n", "HTTP/1.1 400 Bad Request"},
		"a head that never ends": {"POST /book/1 HTTP/1.1\r\nHost: a.exa", ""},
	} {
		t.Run(name, func(t *testing.T) { must.Eq(t, c.status, rawCall(t, front, c.content)) })
	}
	for name, body := range map[string]string{
		"not JSON":   `{`,
		"no items":   `{"items":[]}`,
		"item twice": `{"items":[{"id":"i","path":"/jobs/x"},{"id":"i","path":"/jobs/x"}]}`,
		"no path":    `{"items":[{"id":"i"}]}`,
		"bad body":   `{"items":[{"id":"i","path":"/jobs/x","body":"***"}]}`,
	} {
		status, _, _ := deployment.call(front, http.MethodPost, "/jobs/j", "job", body)
		must.Eq(t, http.StatusBadRequest, status, must.Sprint(name))
	}
	for _, replica := range deployment.replicas {
		must.Eq(t, 0, replica.RunCount("q")+replica.RunCount("i")+replica.RunCount(""))
	}
}

// When no orderer is running, a front must take over the role of the orderer.
func TestFrontOrdersWhenNobodyElseDoes(t *testing.T) {
	deployment := newDeployment(t)
	deployment.put("op/config", fmt.Appendf(nil, configurationDocument, 3))
	first := deployment.startFront("front-1")
	second := deployment.startFront("front-2")
	eventually(t, 3*time.Second, "fronts are ready", func() bool { return deployment.isSettled(first) && deployment.isSettled(second) })
	deployment.put("op/version/m", []byte(`{"model":"m","version":2}`))
	status, _, _ := deployment.call(first, http.MethodPost, "/jobs/j1", "job1", jobBody(6, 2))
	must.Eq(t, http.StatusAccepted, status)
	eventually(t, 16*time.Second, "the job is complete", func() bool { return len(deployment.results(second, "job1").Results) == 6 })
	holders := make(map[string]bool)
	for _, replica := range deployment.replicas {
		for _, holder := range replica.OrderHolders() {
			holders[strings.Fields(holder)[0]] = true
		}
	}
	must.MapLen(t, 1, holders)
}
