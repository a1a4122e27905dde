package weights

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// ErrOrderUnanswered is returned if no answer arrived. The replica may have accepted the order, or may still accept it later if
// ExpectedOrders matches then.
var ErrOrderUnanswered = errors.New("the order was not answered")

// Order asks a replica to load a version of a model's weights. Runs in progress continue with the new version.
type Order struct {
	Model   string
	Version int64
	Holder  string
	Fence   int64
	// ExpectedOrders is the number of orders that the replica must have accepted before. It makes the replica refuse an order that
	// arrives after a later one.
	ExpectedOrders int64
}

// Reply is a replica's answer to an order.
type Reply int

// Replies of a replica.
const (
	// Started means that the replica has begun to load the version.
	Started Reply = iota
	// AlreadyLoaded means that the replica already has the version.
	AlreadyLoaded
	// Conflicting means that another order is in progress or that ExpectedOrders does not match.
	Conflicting
	// Rejected is any other answer; the replica has not accepted the order.
	Rejected
)

var replyNames = [...]string{"started", "held", "conflicting", "rejected"}

// String returns the name of the reply in logs and metrics.
func (reply Reply) String() string { return replyNames[reply] }

// Report is the state of a replica: its models, whether an order is in progress, and the number of orders accepted.
type Report struct {
	Models []catalog.ModelVersion
	Busy   bool
	Orders int64
}

// Replicas calls the control interface of replicas.
type Replicas interface {
	Order(ctx context.Context, replica *catalog.Replica, order Order) (Reply, error)
	Report(ctx context.Context, replica *catalog.Replica) (Report, error)
}
