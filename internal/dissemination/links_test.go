package dissemination_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// itemsPerPage is the number of items in one call of a listing.
const itemsPerPage = 200

// nodeStore is the store as one node reaches it, subject to the node's faults.
type nodeStore struct {
	*memstore.Store
	node *node
}

// countCall counts a call and returns the error of the node's faults, if any.
func (store nodeStore) countCall() error {
	store.node.sent.storeCalls.Add(1)
	return store.faultError()
}

func (store nodeStore) faultError() error {
	store.node.mu.Lock()
	defer store.node.mu.Unlock()
	if store.node.storeRefused {
		return metadata.ErrUnavailable
	}
	return nil
}

func (store nodeStore) Probe(ctx context.Context) error {
	store.node.sent.probes.Add(1)
	return errors.CombineErrors(store.faultError(), store.Store.Probe(ctx))
}

func (store nodeStore) List(ctx context.Context, prefix string) (metadata.Listing, error) {
	if err := store.countCall(); err != nil {
		return metadata.Listing{}, err
	}
	listing, err := store.Store.List(ctx, prefix)
	store.node.sent.storeCalls.Add(int64(len(listing.Items) / itemsPerPage))
	return listing, err
}

func (store nodeStore) Watch(ctx context.Context, prefix string, after metadata.Revision, wait time.Duration) (metadata.Changes, error) {
	if err := store.countCall(); err != nil {
		return metadata.Changes{}, err
	}
	return store.Store.Watch(ctx, prefix, after, wait)
}

func (store nodeStore) Commit(ctx context.Context, txn metadata.Txn) (metadata.Revision, error) {
	if err := store.countCall(); err != nil {
		return 0, err
	}
	return store.Store.Commit(ctx, txn)
}

// link carries datagrams and calls from one node to others, unless either is isolated.
type link struct {
	net.PacketConn
	from *node
}

func (link link) WriteTo(payload []byte, address net.Addr) (int, error) {
	link.from.sent.datagrams.Add(1)
	to := link.from.fleet.nodeAt(address.String())
	if to == nil || to.isIsolated() || link.from.isIsolated() {
		return len(payload), nil
	}
	datagram := &clusterv1.Datagram{}
	if err := proto.Unmarshal(payload, datagram); err != nil {
		return 0, err
	}
	from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(link.from.address))
	if to.former {
		return len(payload), to.receiveAsFormer(datagram, from)
	}
	if beacon := datagram.GetBeacon(); beacon != nil && to.subscriber != nil {
		if to.subscriber.HandleBeacon(beacon, from) {
			to.relays.HandleBeacon(beacon, from)
		}
	}
	if report := datagram.GetRelayReport(); report != nil {
		to.handleReport(report)
	}
	return len(payload), nil
}

// snapshotPushBytes separates pushes of all replicas, which are larger, from pushes of changes.
const snapshotPushBytes = 4 << 10

func (link link) RoundTrip(request *http.Request) (*http.Response, error) {
	link.from.sent.calls.Add(1)
	link.from.sent.bytes.Add(request.ContentLength)
	to := link.from.fleet.nodeAt(request.URL.Host)
	if to == nil || to.handler == nil {
		return nil, errors.New("refused")
	}
	if to.isIsolated() || link.from.isIsolated() {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if request.ContentLength > snapshotPushBytes {
		time.Sleep(link.from.fleet.loadTime)
	}
	if link.from.former {
		if err := sendAsFormer(request); err != nil {
			return nil, err
		}
	}
	recorder := httptest.NewRecorder()
	to.handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}
