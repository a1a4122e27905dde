// Package freeport finds free ports for processes that need their port numbers before they start.
package freeport

import (
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// firstPort and lastPort bound a range below the system's ephemeral ports. Outgoing connections and listeners without a port number
	// therefore cannot take a port between its allocation and its use.
	firstPort = 15000
	lastPort  = 32000
	// blockSize is how many ports a process claims at once. The first two ports of a block are reserved for the claim.
	blockSize = 200
)

// allocator allocates ports from blocks that it has claimed. A claim is a listener on the first port of the block. It stays open until the process
// ends, so that no other process allocates from the block, even while its other ports are not in use.
type allocator struct {
	mu     sync.Mutex
	claims []net.Listener
	next   int // next port of the last block
	end    int // end of the last block, exclusive
}

var shared allocator

// Pairs returns loopback addresses whose port and the port after it are free for TCP and UDP. It returns no address twice, neither to this process
// nor to another that runs at the same time.
func Pairs(count int) ([]*net.TCPAddr, error) { return shared.pairs(count) }

func (allocator *allocator) pairs(count int) ([]*net.TCPAddr, error) {
	allocator.mu.Lock()
	defer allocator.mu.Unlock()
	var list []*net.TCPAddr
	for len(list) < count {
		if allocator.next >= allocator.end && !allocator.claim() {
			return nil, errors.New("no free ports")
		}
		port := allocator.next
		allocator.next += 2
		if isFree(port) && isFree(port+1) {
			list = append(list, address(port))
		}
	}
	return list, nil
}

// claim claims a block that no process has claimed, and reports whether there was one. It must be called with mu held.
func (allocator *allocator) claim() bool {
	for _, block := range rand.Perm((lastPort - firstPort) / blockSize) {
		begin := firstPort + block*blockSize
		listener, err := net.ListenTCP("tcp", address(begin))
		if err != nil {
			continue // claimed by another process
		}
		allocator.claims = append(allocator.claims, listener)
		allocator.next, allocator.end = begin+2, begin+blockSize
		return true
	}
	return false
}

func address(port int) *net.TCPAddr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port} }

func isFree(port int) bool {
	listener, err := net.ListenTCP("tcp", address(port))
	if err != nil {
		return false
	}
	defer listener.Close()
	packets, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
	if err != nil {
		return false
	}
	return packets.Close() == nil
}
