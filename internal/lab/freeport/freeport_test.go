package freeport_test

import (
	"net"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/thistlewalk/thistlewalk/internal/lab/freeport"
)

// Guards against pairs that overlap or are in use: a test can listen on both ports of all pairs at once, by TCP and UDP.
func TestPairsAreFree(t *testing.T) {
	pairs, err := freeport.Pairs(40)
	must.NoError(t, err)
	for _, pair := range pairs {
		for _, port := range []int{pair.Port, pair.Port + 1} {
			address := net.JoinHostPort(pair.IP.String(), strconv.Itoa(port))
			listener, err := net.Listen("tcp4", address)
			must.NoError(t, err)
			t.Cleanup(func() { listener.Close() })
			packets, err := net.ListenPacket("udp4", address)
			must.NoError(t, err)
			t.Cleanup(func() { packets.Close() })
		}
	}
}
