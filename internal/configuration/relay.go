package configuration

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/keyvalue"
	"github.com/thistlewalk/thistlewalk/internal/partition"
)

// Prefixes of the keys that relays watch.
const (
	// WatchedPrefix covers all keys of this system; it is empty of anything that changes often.
	WatchedPrefix = ""
	// PartitionPrefix holds one partition.Assignment a key.
	PartitionPrefix = "partitions/"
	// LeasePrefix holds one key a live owner, attached to the owner's lease.
	LeasePrefix = "owners/"
)

// ErrOlder means that the service holds an older revision than the one in force; it is refused.
var ErrOlder = errors.New("the key-value service holds an older revision")

// Relay reads the service for its zone.
type Relay struct {
	service  keyvalue.Client
	follower *Follower
	seen     uint64
}

// NewRelay returns a relay that has seen nothing.
func NewRelay(service keyvalue.Client, follower *Follower) *Relay {
	return &Relay{service: service, follower: follower}
}

// Poll waits up to wait for a change in the service and offers it to the follower. It returns ErrOlder when the service
// came back with an older document, which a second reading confirms: a watch that was answered before this node's own
// change is older too, and no fault.
func (relay *Relay) Poll(ctx context.Context, wait time.Duration) error {
	listing, err := relay.service.Watch(ctx, WatchedPrefix, relay.seen, wait)
	if err != nil {
		return err
	}
	relay.seen = listing.Revision
	if err := relay.Take(listing); !errors.Is(err, ErrOlder) {
		return err
	}
	if listing, err = relay.service.List(ctx, WatchedPrefix); err != nil {
		return err
	}
	relay.seen = listing.Revision
	return relay.Take(listing)
}

// Take offers a listing of all keys to the follower.
func (relay *Relay) Take(listing keyvalue.Listing) error {
	document, _, err := pickDocument(listing)
	if err != nil {
		return err
	}
	table, err := readTable(listing)
	if err != nil {
		return err
	}
	relay.follower.OfferTable(table)
	if known := relay.follower.Document().Revision; document.Revision < known {
		return errors.Wrapf(ErrOlder, "it holds %d, %d is in force", document.Revision, known)
	}
	relay.follower.Offer(document)
	return nil
}

func readTable(listing keyvalue.Listing) (partition.Table, error) {
	table := partition.Table{Revision: listing.Revision}
	for _, item := range listing.Items {
		if node, ok := strings.CutPrefix(item.Key, LeasePrefix); ok {
			table.Leases = append(table.Leases, node)
		}
		if !strings.HasPrefix(item.Key, PartitionPrefix) {
			continue
		}
		var assignment partition.Assignment
		if err := json.Unmarshal(item.Value, &assignment); err != nil {
			return table, errors.Wrapf(err, "key %q", item.Key)
		}
		assignment.ServiceRevision = item.Revision
		table.Assignments = append(table.Assignments, assignment)
	}
	return table, nil
}
