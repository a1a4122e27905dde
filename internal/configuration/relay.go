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
	// AllKeysPrefix covers all keys of this system, none of which changes often.
	AllKeysPrefix = ""
	// PartitionPrefix is the prefix of the keys that hold one partition.Assignment each.
	PartitionPrefix = "partitions/"
	// LeasePrefix is the prefix of the keys of live owners. Each key is attached to its owner's lease.
	LeasePrefix = "owners/"
)

// ErrStaleService means that the service holds an older revision than the one in force. The older document is rejected.
var ErrStaleService = errors.New("the key-value service holds an older revision")

// Relay watches the key-value service and passes changes to a follower.
type Relay struct {
	service  keyvalue.Client
	follower *Follower
	revision uint64
}

// NewRelay returns a relay that starts watching at revision zero.
func NewRelay(service keyvalue.Client, follower *Follower) *Relay {
	return &Relay{service: service, follower: follower}
}

// Poll waits for a change in the service, for at most the given time, and passes it to the follower. It returns ErrStaleService if the
// service has lost changes and holds an older document. A second read confirms this, since the watch may have been answered before this
// node's own latest change.
func (relay *Relay) Poll(ctx context.Context, wait time.Duration) error {
	listing, err := relay.service.Watch(ctx, AllKeysPrefix, relay.revision, wait)
	if err != nil {
		return err
	}
	relay.revision = listing.Revision
	if err := relay.offerListing(listing); !errors.Is(err, ErrStaleService) {
		return err
	}
	if listing, err = relay.service.List(ctx, AllKeysPrefix); err != nil {
		return err
	}
	relay.revision = listing.Revision
	return relay.offerListing(listing)
}

// offerListing passes the partition table and the document in a listing of all keys to the follower.
func (relay *Relay) offerListing(listing keyvalue.Listing) error {
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
		return errors.Wrapf(ErrStaleService, "it holds %d, %d is in force", document.Revision, known)
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
