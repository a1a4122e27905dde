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

// itemsOfPage is how many items a call of a listing brings.
const itemsOfPage = 200

// nodeStore refuses its node what the node's faults say.
type nodeStore struct {
	*memstore.Store
	node *node
}

// refused counts a call, and refuses it as the node's faults say.
func (store nodeStore) refused() error {
	store.node.sent.asked.Add(1)
	return store.refusal()
}

func (store nodeStore) refusal() error {
	store.node.mu.Lock()
	defer store.node.mu.Unlock()
	if store.node.refused {
		return metadata.ErrUnavailable
	}
	return nil
}

func (store nodeStore) Probe(ctx context.Context) error {
	store.node.sent.probes.Add(1)
	return errors.CombineErrors(store.refusal(), store.Store.Probe(ctx))
}

func (store nodeStore) List(ctx context.Context, prefix string) (metadata.Listing, error) {
	if err := store.refused(); err != nil {
		return metadata.Listing{}, err
	}
	listing, err := store.Store.List(ctx, prefix)
	store.node.sent.asked.Add(int64(len(listing.Items) / itemsOfPage))
	return listing, err
}

func (store nodeStore) Watch(ctx context.Context, prefix string, after metadata.Revision, wait time.Duration) (metadata.Changes, error) {
	if err := store.refused(); err != nil {
		return metadata.Changes{}, err
	}
	return store.Store.Watch(ctx, prefix, after, wait)
}

func (store nodeStore) Commit(ctx context.Context, txn metadata.Txn) (metadata.Revision, error) {
	if err := store.refused(); err != nil {
		return 0, err
	}
	return store.Store.Commit(ctx, txn)
}

// link carries what one node sends to others, by datagrams and calls, unless either is deaf.
type link struct {
	net.PacketConn
	from *node
}

func (link link) WriteTo(payload []byte, address net.Addr) (int, error) {
	link.from.sent.datagrams.Add(1)
	to := link.from.fleet.at(address.String())
	if to == nil || to.isDeaf() || link.from.isDeaf() {
		return len(payload), nil
	}
	datagram := &clusterv1.Datagram{}
	if err := proto.Unmarshal(payload, datagram); err != nil {
		return 0, err
	}
	from := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(link.from.address))
	if to.former {
		return len(payload), to.hearAsFormer(datagram, from)
	}
	if beacon := datagram.GetBeacon(); beacon != nil && to.subscriber != nil {
		if to.subscriber.Heard(beacon, from) {
			to.relays.Heard(beacon, from)
		}
	}
	if report := datagram.GetRelayReport(); report != nil {
		to.heardReport(report)
	}
	return len(payload), nil
}

// largePush is less bytes than a push of all replicas, and more than one of changes.
const largePush = 4 << 10

func (link link) RoundTrip(request *http.Request) (*http.Response, error) {
	link.from.sent.calls.Add(1)
	link.from.sent.bytes.Add(request.ContentLength)
	to := link.from.fleet.at(request.URL.Host)
	if to == nil || to.handler == nil {
		return nil, errors.New("refused")
	}
	if to.isDeaf() || link.from.isDeaf() {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	if request.ContentLength > largePush {
		time.Sleep(link.from.fleet.takes)
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
