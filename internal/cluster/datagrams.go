package cluster

import (
	"context"
	"net"

	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

const datagramSize = 2048

// Datagrams sends and receives what nodes tell each other by UDP.
type Datagrams struct{ Conn net.PacketConn }

// Send sends a datagram to nodes. A lost one is made up for by the next, or not needed.
func (datagrams *Datagrams) Send(datagram *clusterv1.Datagram, nodes []*clusterv1.NodeRecord) {
	payload, err := proto.Marshal(datagram)
	if err != nil {
		return
	}
	for _, node := range nodes {
		address, err := net.ResolveUDPAddr("udp4", node.GetAddress())
		if err == nil {
			_, _ = datagrams.Conn.WriteTo(payload, address)
		}
	}
}

// Handlers take datagrams by their kind.
type Handlers struct {
	Heartbeat func(*clusterv1.Heartbeat)
	Beacon    func(*clusterv1.Beacon)
	JobOwner  func(*clusterv1.JobOwner)
}

// Receive hands datagrams to the handlers until the context ends or the connection is closed.
func (datagrams *Datagrams) Receive(ctx context.Context, handlers Handlers) {
	buffer := make([]byte, datagramSize)
	for ctx.Err() == nil {
		size, _, err := datagrams.Conn.ReadFrom(buffer)
		if err != nil {
			return
		}
		datagram := &clusterv1.Datagram{}
		if proto.Unmarshal(buffer[:size], datagram) != nil {
			continue
		}
		switch kind := datagram.GetKind().(type) {
		case *clusterv1.Datagram_Heartbeat:
			handlers.Heartbeat(kind.Heartbeat)
		case *clusterv1.Datagram_Beacon:
			handlers.Beacon(kind.Beacon)
		case *clusterv1.Datagram_JobOwner:
			handlers.JobOwner(kind.JobOwner)
		}
	}
}
