// Package peers caches the Twirp clients of other nodes by address.
package peers

import (
	"net/http"
	"sync"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
)

// Peer holds the clients of one node.
type Peer struct {
	Membership    controlv1.Membership
	Configuration controlv1.Configuration
	Load          controlv1.Load
	Partition     controlv1.Partition
	Steps         controlv1.Steps
	Executor      controlv1.Executor
	Claims        controlv1.Claims
}

// Directory creates the clients of a node on first use and caches them. It is safe for concurrent use.
type Directory struct {
	client *http.Client
	scheme string
	mu     sync.Mutex
	peers  map[string]*Peer
}

// NewDirectory returns an empty directory; scheme is "http" or "https".
func NewDirectory(client *http.Client, scheme string) *Directory {
	return &Directory{client: client, scheme: scheme, peers: make(map[string]*Peer)}
}

// maximumPeers bounds the cached nodes. The cache is cleared when full, which also removes nodes that have left.
const maximumPeers = 4096

// At returns the clients of the node with a control address, "host:port".
func (directory *Directory) At(address string) *Peer {
	directory.mu.Lock()
	defer directory.mu.Unlock()
	if peer, ok := directory.peers[address]; ok {
		return peer
	}
	if len(directory.peers) >= maximumPeers {
		clear(directory.peers)
	}
	base := directory.scheme + "://" + address
	peer := &Peer{
		Membership:    controlv1.NewMembershipProtobufClient(base, directory.client),
		Configuration: controlv1.NewConfigurationProtobufClient(base, directory.client),
		Load:          controlv1.NewLoadProtobufClient(base, directory.client),
		Partition:     controlv1.NewPartitionProtobufClient(base, directory.client),
		Steps:         controlv1.NewStepsProtobufClient(base, directory.client),
		Executor:      controlv1.NewExecutorProtobufClient(base, directory.client),
		Claims:        controlv1.NewClaimsProtobufClient(base, directory.client),
	}
	directory.peers[address] = peer
	return peer
}
