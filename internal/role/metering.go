package role

import (
	"net/http"
	"sync"
	"time"

	meteringv1 "github.com/thistlewalk/thistlewalk/api/metering/v1"
	"github.com/thistlewalk/thistlewalk/internal/metering"
)

// usage holds the components that count the requests of tenants.
type usage struct {
	ledger      *metering.Ledger
	meter       *metering.Meter
	tallySender *metering.TallySender
}

// newUsage returns the usage components of a front for windows of the given length.
func (front *Front) newUsage(window time.Duration) *usage {
	windows, clock := metering.Windows{Length: window}, metering.NewClock(front.Clock)
	ledger := metering.NewLedger(windows, clock)
	meter := metering.NewMeter(front.Node, front.Incarnation, windows, clock, ledger)
	return &usage{ledger: ledger, meter: meter, tallySender: &metering.TallySender{
		Meter: meter, Recipients: &recipients{front: front, clients: make(map[string]meteringv1.Collector)}, Logger: front.Logger, Metrics: front.Metrics,
	}}
}

// collectorHandler returns the handler of the calls that deliver tallies.
func collectorHandler(ledger *metering.Ledger) (path string, handler http.Handler) {
	server := meteringv1.NewCollectorServer(metering.Service{Ledger: ledger})
	return server.PathPrefix(), server
}

// recipients selects the nodes that receive a front's tallies. It implements metering.Recipients.
type recipients struct {
	front *Front

	mu      sync.Mutex
	clients map[string]meteringv1.Collector // by address
}

// maxClients bounds the number of cached clients; a full cache is cleared.
const maxClients = 16

func (recipients *recipients) client(address string) meteringv1.Collector {
	recipients.mu.Lock()
	defer recipients.mu.Unlock()
	if client := recipients.clients[address]; client != nil {
		return client
	}
	if len(recipients.clients) >= maxClients {
		clear(recipients.clients)
	}
	client := meteringv1.NewCollectorProtobufClient("http://"+address, recipients.front.PeerClient)
	recipients.clients[address] = client
	return client
}

// Collector implements metering.Recipients.
func (recipients *recipients) Collector() *metering.Recipient {
	collector := recipients.front.subscriber.Collector()
	if collector == nil {
		return nil
	}
	return &metering.Recipient{Name: collector.Node, Epoch: collector.Term, Client: recipients.client(collector.Address)}
}

// Witness implements metering.Recipients.
func (recipients *recipients) Witness() *metering.Recipient {
	record := recipients.front.Registry.RemotePeer()
	if record == nil {
		return nil
	}
	return &metering.Recipient{Name: record.GetName(), Epoch: record.GetLife(), Client: recipients.client(record.GetAddress())}
}

// IsRunning implements metering.Recipients.
func (recipients *recipients) IsRunning(node string, incarnation int64) bool {
	return recipients.front.Registry.IsRegistered(node, incarnation)
}
