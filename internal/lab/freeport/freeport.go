// Package freeport finds ports for processes of tests and trials that are told their ports in advance.
package freeport

import (
	"math/rand/v2"
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// first and last lie below the ports that the system gives to outgoing connections and to listeners that name none: one of those
	// cannot take a port between its choice and its use.
	first = 15000
	last  = 32000
	// blockPorts is how many ports a process claims at once, of which the first two stand for the claim: a soak takes some thirty.
	blockPorts = 200
)

// allocator gives out the ports of blocks that it has claimed. A claim is a listener that is never closed, so that it ends with the process:
// no other process is given a port of the block, also while nobody listens there yet.
type allocator struct {
	mu     sync.Mutex
	claims []net.Listener
	next   int // the next port of the last block
	end    int // of the last block
}

var process allocator

// Pairs returns loopback addresses at whose port and the next one nobody listens, by TCP or UDP. None is returned twice, to this process or
// another that runs now.
func Pairs(count int) ([]*net.TCPAddr, error) { return process.pairs(count) }

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

// claim takes a block that no process has. It must be called with mu held.
func (allocator *allocator) claim() bool {
	for _, block := range rand.Perm((last - first) / blockPorts) {
		begin := first + block*blockPorts
		listener, err := net.ListenTCP("tcp", address(begin))
		if err != nil {
			continue // another process has it
		}
		allocator.claims = append(allocator.claims, listener)
		allocator.next, allocator.end = begin+2, begin+blockPorts
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
