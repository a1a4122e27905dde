package weights

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// ErrOrderUnanswered says that an order may have been taken, or may still be taken later if its condition holds then.
var ErrOrderUnanswered = errors.New("the order was not answered")

// Order asks a replica to change the version of a model's weights. Runs in progress go on under the new version.
type Order struct {
	Model   string
	Version int64
	Holder  string
	Fence   int64
	// ExpectedOrders is the number of orders that the replica must have taken, so that an order which arrives late, after
	// another, is refused.
	ExpectedOrders int64
}

// Reply is a replica's answer to an order.
type Reply int

// Replies.
const (
	// Started is a change under way.
	Started Reply = iota
	// Held means that the replica has the version already.
	Held
	// Conflicting means that another order is in progress or that the expected number of orders is wrong.
	Conflicting
	// Rejected is any other answer: the replica did not take the order.
	Rejected
)

var replyNames = [...]string{"started", "held", "conflicting", "rejected"}

// String returns the name that logs and metrics use.
func (reply Reply) String() string { return replyNames[reply] }

// Report is what a replica tells of itself.
type Report struct {
	Models []catalog.ModelVersion
	Busy   bool
	Orders int64
}

// Replicas reaches the replicas' control calls.
type Replicas interface {
	Order(ctx context.Context, replica *catalog.Replica, order Order) (Reply, error)
	Report(ctx context.Context, replica *catalog.Replica) (Report, error)
}
