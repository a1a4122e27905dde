package role

import (
	"net/http"
	"sync"
	"time"

	meteringv1 "github.com/thistlewalk/thistlewalk/api/metering/v1"
	"github.com/thistlewalk/thistlewalk/internal/metering"
)

// usage is what a front does to have the requests of tenants counted.
type usage struct {
	ledger *metering.Ledger
	meter  *metering.Meter
	teller *metering.Teller
}

// newUsage returns the counting of a front, by windows of a length.
func (front *Front) newUsage(window time.Duration) *usage {
	windows, clock := metering.Windows{Length: window}, metering.NewClock(front.Clock)
	ledger := metering.NewLedger(windows, clock)
	meter := metering.NewMeter(front.Node, front.Life, windows, clock, ledger)
	return &usage{ledger: ledger, meter: meter, teller: &metering.Teller{
		Meter: meter, Listeners: &listeners{front: front, clients: make(map[string]meteringv1.Collector)}, Logger: front.Logger, Metrics: front.Metrics,
	}}
}

// collectorHandler returns the handler of calls that tell tallies.
func collectorHandler(ledger *metering.Ledger) (path string, handler http.Handler) {
	server := meteringv1.NewCollectorServer(metering.Service{Ledger: ledger})
	return server.PathPrefix(), server
}

// listeners finds out to whom a front tells its tallies. It implements metering.Listeners.
type listeners struct {
	front *Front

	mu      sync.Mutex
	clients map[string]meteringv1.Collector // by address
}

// clientsMost bounds the clients that are kept: a collector and a witness change seldom.
const clientsMost = 16

func (listeners *listeners) client(address string) meteringv1.Collector {
	listeners.mu.Lock()
	defer listeners.mu.Unlock()
	if client := listeners.clients[address]; client != nil {
		return client
	}
	if len(listeners.clients) >= clientsMost {
		clear(listeners.clients)
	}
	client := meteringv1.NewCollectorProtobufClient("http://"+address, listeners.front.PeerClient)
	listeners.clients[address] = client
	return client
}

// Collector implements metering.Listeners.
func (listeners *listeners) Collector() *metering.Listener {
	collector := listeners.front.subscriber.Collector()
	if collector == nil {
		return nil
	}
	return &metering.Listener{Name: collector.Node, Epoch: collector.Term, Client: listeners.client(collector.Address)}
}

// Witness implements metering.Listeners.
func (listeners *listeners) Witness() *metering.Listener {
	record := listeners.front.Registry.RemotePeer()
	if record == nil {
		return nil
	}
	return &metering.Listener{Name: record.GetName(), Epoch: record.GetLife(), Client: listeners.client(record.GetAddress())}
}

// Runs implements metering.Listeners.
func (listeners *listeners) Runs(node string, life int64) bool {
	return listeners.front.Registry.IsRegistered(node, life)
}
