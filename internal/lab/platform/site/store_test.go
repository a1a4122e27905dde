package site_test

import (
	"fmt"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/lab/platform/site"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// Guards against calls that keep running after their connection has broken inside the body: if the store does not respond,
// such calls block the shutdown of the server.
func TestCallsThatBreakOffEnd(t *testing.T) {
	for _, call := range []struct{ path, body string }{
		{"kv-lease", "{"}, {"kv-txn", "{"}, // cut inside the JSON value
		{"kv-lease", `{"ttl_ms":1000}`}, {"kv-txn", "{}"}, // cut after the JSON value
	} {
		store := memstore.New()
		store.SetFaults(memstore.Faults{Hang: true})
		server := httptest.NewServer(&site.StoreServer{Store: store})
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		must.NoError(t, err)
		_, err = fmt.Fprintf(conn, "POST /thistlewalk/%s HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n%s", call.path, call.body)
		must.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
		must.NoError(t, conn.Close())
		closed := make(chan struct{})
		go func() {
			server.CloseClientConnections()
			server.Close()
			close(closed)
		}()
		select {
		case <-closed:
		case <-time.After(4 * time.Second):
			t.Fatal("the server did not shut down within 4 s after a broken call: ", call)
		}
	}
}
