package role

import "net"

// Network opens the sockets on which other nodes reach a node, by UDP and TCP at one address.
type Network interface {
	ListenPacket(address string) (net.PacketConn, error)
	Listen(address string) (net.Listener, error)
}

// machineNetwork is the network of the machine.
type machineNetwork struct{}

// ListenPacket implements Network.
func (machineNetwork) ListenPacket(address string) (net.PacketConn, error) {
	return net.ListenPacket("udp4", address)
}

// Listen implements Network.
func (machineNetwork) Listen(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// orMachine returns the given network, or that of the machine for nil.
func orMachine(network Network) Network {
	if network == nil {
		return machineNetwork{}
	}
	return network
}
