package cluster

import (
	"context"
	"net"
	"net/netip"

	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

// datagramSize is the receive buffer's size; a larger datagram would be truncated.
const datagramSize = 2048

// Datagrams sends and receives the cluster's UDP messages.
type Datagrams struct{ Conn net.PacketConn }

// Send sends a datagram to nodes. Delivery is best effort: the protocol tolerates lost datagrams.
func (datagrams *Datagrams) Send(datagram *clusterv1.Datagram, nodes []*clusterv1.NodeRecord) {
	payload, err := proto.Marshal(datagram)
	if err != nil {
		return
	}
	for _, node := range nodes {
		address, err := netip.ParseAddrPort(node.GetAddress())
		if err == nil {
			_, _ = datagrams.Conn.WriteTo(payload, net.UDPAddrFromAddrPort(address))
		}
	}
}

func (datagrams *Datagrams) SendTo(datagram *clusterv1.Datagram, address net.Addr) {
	if payload, err := proto.Marshal(datagram); err == nil {
		_, _ = datagrams.Conn.WriteTo(payload, address)
	}
}

// Handlers holds a callback for each kind of datagram. Datagrams without a callback are ignored.
type Handlers struct {
	// Any is called for every datagram, before the callback of its kind.
	Any       func()
	Heartbeat func(*clusterv1.Heartbeat)
	Beacon    func(beacon *clusterv1.Beacon, from net.Addr)
	JobOwner  func(*clusterv1.JobOwner)
	Demand    func(*clusterv1.Demand)
	Loads     func(*clusterv1.Loads)
	// StoreAnswers is called when another node announces that the metadata store answers again.
	StoreAnswers func(*clusterv1.StoreAnswers)
	Suspicions   func(*clusterv1.Suspicions)
	RelayReport  func(*clusterv1.RelayReport)
	// ServiceReport and ServiceTotals also receive the address of the sender.
	ServiceReport func(report *clusterv1.ServiceReport, from net.Addr)
	ServiceTotals func(totals *clusterv1.ServiceTotals, from net.Addr)
}

// Receive dispatches datagrams to the handlers until the context ends or the connection is closed.
func (datagrams *Datagrams) Receive(ctx context.Context, handlers Handlers) {
	buffer := make([]byte, datagramSize)
	for ctx.Err() == nil {
		size, from, err := datagrams.Conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		datagram := &clusterv1.Datagram{}
		if proto.Unmarshal(buffer[:size], datagram) != nil {
			continue
		}
		handlers.dispatch(datagram, from)
	}
}

func (handlers *Handlers) dispatch(datagram *clusterv1.Datagram, from net.Addr) {
	if handlers.Any != nil {
		handlers.Any()
	}
	switch kind := datagram.GetKind().(type) {
	case *clusterv1.Datagram_Heartbeat:
		if handlers.Heartbeat != nil {
			handlers.Heartbeat(kind.Heartbeat)
		}
	case *clusterv1.Datagram_Beacon:
		if handlers.Beacon != nil {
			handlers.Beacon(kind.Beacon, from)
		}
	case *clusterv1.Datagram_JobOwner:
		if handlers.JobOwner != nil {
			handlers.JobOwner(kind.JobOwner)
		}
	case *clusterv1.Datagram_Demand:
		if handlers.Demand != nil {
			handlers.Demand(kind.Demand)
		}
	case *clusterv1.Datagram_Loads:
		if handlers.Loads != nil {
			handlers.Loads(kind.Loads)
		}
	case *clusterv1.Datagram_StoreAnswers:
		if handlers.StoreAnswers != nil {
			handlers.StoreAnswers(kind.StoreAnswers)
		}
	case *clusterv1.Datagram_Suspicions:
		if handlers.Suspicions != nil {
			handlers.Suspicions(kind.Suspicions)
		}
	case *clusterv1.Datagram_RelayReport:
		if handlers.RelayReport != nil {
			handlers.RelayReport(kind.RelayReport)
		}
	case *clusterv1.Datagram_ServiceReport:
		if handlers.ServiceReport != nil {
			handlers.ServiceReport(kind.ServiceReport, from)
		}
	case *clusterv1.Datagram_ServiceTotals:
		if handlers.ServiceTotals != nil {
			handlers.ServiceTotals(kind.ServiceTotals, from)
		}
	}
}
