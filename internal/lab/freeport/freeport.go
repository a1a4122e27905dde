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
)

var (
	mu sync.Mutex
	// given are the ports that were returned to this process, which may not listen yet.
	given = make(map[int]bool)
)

// Pairs returns loopback addresses at whose port and the next one nobody listens, by TCP or UDP. None is returned twice to a process.
func Pairs(count int) ([]*net.TCPAddr, error) {
	mu.Lock()
	defer mu.Unlock()
	var list []*net.TCPAddr
	for tries := 0; len(list) < count && tries < last-first; tries++ {
		port := first + 2*rand.IntN((last-first)/2)
		if given[port] || !isFree(port) || !isFree(port+1) {
			continue
		}
		given[port] = true
		list = append(list, &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
	}
	if len(list) < count {
		return nil, errors.New("no free ports")
	}
	return list, nil
}

func isFree(port int) bool {
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
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
