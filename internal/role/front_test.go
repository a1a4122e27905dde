package role_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/lab/freeport"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
	"github.com/thistlewalk/thistlewalk/internal/role"
)

// discardHandler is a metadata.Handler that ignores all changes.
type discardHandler struct{}

func (discardHandler) Reset([]metadata.Item, metadata.Revision)  {}
func (discardHandler) Apply([]metadata.Event, metadata.Revision) {}

// A call that begins just before the front shuts down must be answered.
func TestStopFinishesLateCalls(t *testing.T) {
	stopUnderCalls(t, memstore.New(), 6*time.Second)
}

// silentStore is a store that stops answering writes once silent is set.
type silentStore struct {
	*memstore.Store
	silent atomic.Bool
}

func (store *silentStore) Commit(ctx context.Context, txn metadata.Txn) (metadata.Revision, error) {
	if store.silent.Load() {
		<-ctx.Done()
		return 0, metadata.ErrUncertain
	}
	return store.Store.Commit(ctx, txn)
}

// A store that does not answer must not use up the grace period and thereby cause the last calls to be cut.
func TestStopFinishesCallsWhileTheStoreIsSilent(t *testing.T) {
	store := &silentStore{Store: memstore.New()}
	time.AfterFunc(time.Second, func() { store.silent.Store(true) })
	stopUnderCalls(t, store, 7*time.Second)
}

// A takeover that waits for a store that does not answer must not use up the grace period either.
func TestStopFinishesCallsDuringATakeover(t *testing.T) {
	store := &silentStore{Store: memstore.New()}
	owner, err := proto.Marshal(&batchv1.Ownership{Node: "dead"})
	must.NoError(t, err)
	_, err = store.CommitIgnoringFaults(metadata.Txn{Puts: []metadata.Put{{Key: "owners/dead/job"}, {Key: "batch/job/owner", Value: owner}}})
	must.NoError(t, err)
	store.silent.Store(true)
	stopUnderCallsOf(t, store, 6*time.Second, func(listener net.Listener) net.Listener { return listener }, func(front *role.Front) {
		go func() {
			_ = front.Runner.TakeOverNode(context.Background(), "dead", 1, metadata.Condition{Key: "cluster/nodes/dead"}) // does not succeed
		}()
		time.Sleep(200 * time.Millisecond)
	})
}

// slowListener returns each connection some time after it was accepted, as a process does that is interrupted in between.
type slowListener struct{ net.Listener }

func (listener slowListener) Accept() (net.Conn, error) {
	connection, err := listener.Listener.Accept()
	time.Sleep(80 * time.Millisecond) // longer than the interval between two calls, so that the shutdown meets such a connection
	return connection, err
}

// A connection that is accepted while the server shuts down is not known to the server yet. It must be served all the same.
func TestStopServesConnectionsThatAreBeingAccepted(t *testing.T) {
	stopUnderCallsAt(t, memstore.New(), 6*time.Second, func(listener net.Listener) net.Listener { return slowListener{listener} })
}

// stopUnderCalls stops a front under a stream of calls and requires that every call is answered.
func stopUnderCalls(t *testing.T, store metadata.Store, grace time.Duration) {
	t.Helper()
	stopUnderCallsAt(t, store, grace, func(listener net.Listener) net.Listener { return listener })
}

func stopUnderCallsAt(t *testing.T, store metadata.Store, grace time.Duration, wrap func(net.Listener) net.Listener) {
	t.Helper()
	stopUnderCallsOf(t, store, grace, wrap, func(*role.Front) {})
}

// stopUnderCallsOf calls prepare before the front is stopped.
func stopUnderCallsOf(t *testing.T, store metadata.Store, grace time.Duration, wrap func(net.Listener) net.Listener, prepare func(*role.Front)) {
	t.Helper()
	front := role.NewFront(role.FrontOptions{
		Node: "front-1", PeerAddress: freeAddress(t), Store: store, PeerClient: http.DefaultClient, Logger: log.New(io.Discard),
		Catalog: catalog.NewTable(), ConfigurationHandler: discardHandler{}, ReplicaHandler: discardHandler{},
	})
	must.NoError(t, front.Start())
	server := &http.Server{Handler: front.CountCalls(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		time.Sleep(400 * time.Millisecond)
		_, _ = writer.Write([]byte("whole"))
	}))}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	listener = wrap(listener)
	go func() { _ = server.Serve(listener) }() // returns when the listener is closed
	prepare(front)
	stopped := make(chan struct{})
	go func() {
		front.Stop(grace, role.Server{Server: server, Listener: listener})
		server.Close() // as at the end of the process
		close(stopped)
	}()
	answers := make(chan int64, 64)
	calls := 0
	for calling := true; calling; {
		select {
		case <-stopped:
			calling = false
		case <-time.After(70 * time.Millisecond):
			connection, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				calling = false
				break
			}
			calls++
			go call(connection, answers)
		}
	}
	must.Greater(t, 5, calls)
	for range calls {
		must.NotEq(t, int64(0), <-answers, must.Sprint("a call was cut after it had begun"))
	}
}

// call sends a request and reports the length of the response, or -1 if the connection failed before any of it arrived.
func call(connection net.Conn, answers chan<- int64) {
	defer connection.Close()
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	if err != nil {
		answers <- -1
		return
	}
	content, err := io.ReadAll(connection)
	if err != nil && len(content) == 0 {
		answers <- -1
		return
	}
	answers <- int64(len(content))
}

func freeAddress(t *testing.T) string {
	pairs, err := freeport.Pairs(1)
	must.NoError(t, err)
	return pairs[0].String()
}

// Guards against cutting a call whose replica answers before the last sixth of the grace period.
func TestStopWaitsForLongCalls(t *testing.T) {
	const grace = 6 * time.Second
	front := role.NewFront(role.FrontOptions{
		Node: "front-1", PeerAddress: freeAddress(t), Store: memstore.New(), PeerClient: http.DefaultClient, Logger: log.New(io.Discard),
		Catalog: catalog.NewTable(), ConfigurationHandler: discardHandler{}, ReplicaHandler: discardHandler{},
	})
	must.NoError(t, front.Start())
	server := &http.Server{Handler: front.CountCalls(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		time.Sleep(grace*5/6 - 100*time.Millisecond)
		_, _ = writer.Write([]byte("whole"))
	}))}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(listener) }() // returns when the listener is closed
	connection, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	answers := make(chan int64, 1)
	go call(connection, answers)
	time.Sleep(50 * time.Millisecond)
	started := time.Now()
	front.Stop(grace, role.Server{Server: server, Listener: listener})
	server.Close() // as at the end of the process
	must.Less(t, grace, time.Since(started))
	must.Greater(t, int64(0), <-answers, must.Sprint("the call was cut"))
}

// Guards against a call that arrives late in a planned stop, on a connection that was idle since, and that is begun and then cut: callers
// have to put up with that for calls sent within 3 s of the stop only.
func TestStopBeginsNoCallThatItCuts(t *testing.T) {
	const grace = 6 * time.Second
	front := role.NewFront(role.FrontOptions{
		Node: "front-1", PeerAddress: freeAddress(t), Store: memstore.New(), PeerClient: http.DefaultClient, Logger: log.New(io.Discard),
		Catalog: catalog.NewTable(), ConfigurationHandler: discardHandler{}, ReplicaHandler: discardHandler{},
	})
	must.NoError(t, front.Start())
	var begun atomic.Int64
	server := &http.Server{Handler: front.CountCalls(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		begun.Add(1)
		if request.URL.Path == "/long" {
			time.Sleep(grace - 2*time.Second)
		}
		_, _ = writer.Write([]byte("whole"))
	}))}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = server.Serve(listener) }() // returns when the listener is closed
	kept, err := net.Dial("tcp", listener.Addr().String())
	must.NoError(t, err)
	defer kept.Close()
	reader := bufio.NewReader(kept)
	send := func(path string) (content []byte, err error) {
		if _, err := io.WriteString(kept, "GET "+path+" HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			return nil, err
		}
		defer response.Body.Close()
		return io.ReadAll(response.Body)
	}
	_, err = send("/short")
	must.NoError(t, err)
	busy := &http.Client{Transport: &http.Transport{}}
	go func() { // keeps the front waiting, as it does while callers use it
		response, err := busy.Get("http://" + listener.Addr().String() + "/long")
		if err == nil {
			_ = response.Body.Close()
		}
	}()
	time.Sleep(50 * time.Millisecond)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		front.Stop(grace, role.Server{Server: server, Listener: listener})
		server.Close() // as at the end of the process
	}()
	time.Sleep(3200 * time.Millisecond)
	before := begun.Load()
	content, err := send("/long")
	must.True(t, begun.Load() == before || err == nil && string(content) == "whole", must.Sprintf("a call was begun and cut: %v", err))
	<-ended
}

// A call that may outlast the process is not begun from the time on at which load balancers have noticed the stop.
func TestCallsThatMayBeCut(t *testing.T) {
	front := role.NewFront(role.FrontOptions{
		Node: "front-1", PeerAddress: freeAddress(t), Store: memstore.New(), PeerClient: http.DefaultClient, Logger: log.New(io.Discard),
		Catalog: catalog.NewTable(), ConfigurationHandler: discardHandler{}, ReplicaHandler: discardHandler{},
	})
	must.NoError(t, front.Start())
	must.False(t, front.MayBeCut(time.Hour))
	stopped := make(chan struct{})
	go func() {
		front.Stop(7 * time.Second) // calls are cut after 6 s
		close(stopped)
	}()
	time.Sleep(time.Second)
	must.False(t, front.MayBeCut(time.Hour))
	<-stopped // after 2.2 s without calls
	must.False(t, front.MayBeCut(2*time.Second))
	must.True(t, front.MayBeCut(5*time.Second))
	must.True(t, front.MayBeCut(0))
}
