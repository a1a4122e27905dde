package role

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/weights"
)

// RetireReporter tells the operator that a machine holds nothing any more.
type RetireReporter interface {
	PutRetired(ctx context.Context, node string) error
}

// OrdererOptions are what a candidate for giving orders is made of.
type OrdererOptions struct {
	Node     string
	Store    metadata.Store
	Replicas weights.Replicas
	Retire   RetireReporter
	Logger   *log.Logger
	Catalog  *catalog.Table
	// OperatorPrefix and ReplicaPrefix are the keys that the handlers follow.
	OperatorPrefix, ReplicaPrefix string
	ReplicaHandler                metadata.Handler
	Election                      weights.ElectionSettings
}

// Orderer is a candidate for bringing replicas to the versions that trainers name. It keeps nothing on its machine: a
// request to empty the machine is answered at once.
type Orderer struct {
	OrdererOptions
	Weights *weights.Orderer
	health  *metadata.Health
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// loadsAtOnce is how many replicas of a service load weights at the same time without slowing each other.
const loadsAtOnce = 2

// ordererReplicaPace is how often the orderer looks at changes of replicas at most.
const ordererReplicaPace = 150 * time.Millisecond

// NewOrderer returns a candidate that does not work yet.
func NewOrderer(options OrdererOptions) *Orderer {
	ctx, cancel := context.WithCancel(context.Background())
	return &Orderer{
		OrdererOptions: options, ctx: ctx, cancel: cancel, health: metadata.NewHealth(options.Store, options.Logger),
		Weights: weights.NewOrderer(options.Node, options.Catalog, options.Replicas, loadsAtOnce, options.Logger),
	}
}

// Start begins to follow the deployment and to stand for election. The operator's keys go to the handler.
func (orderer *Orderer) Start(operator metadata.Handler) {
	go orderer.health.Run(orderer.ctx)
	orderer.follow(orderer.OperatorPrefix, operator, 0)
	orderer.follow(orderer.ReplicaPrefix, orderer.ReplicaHandler, ordererReplicaPace)
	election := weights.NewElection(orderer.Store, orderer.health, orderer.Node, orderer.Election, orderer.Logger)
	orderer.done.Add(1)
	go func() {
		defer orderer.done.Done()
		election.Run(orderer.ctx, orderer.Weights.Lead)
	}()
}

func (orderer *Orderer) follow(prefix string, handler metadata.Handler, pace time.Duration) {
	follower := &metadata.Follower{Store: orderer.Store, Prefix: prefix, Handler: handler, Logger: orderer.Logger, Pace: pace, Health: orderer.health}
	go follower.Run(orderer.ctx)
}

const retireRetry = 300 * time.Millisecond

// Retired answers a request to empty this machine.
func (orderer *Orderer) Retired(node string) {
	if node != orderer.Node {
		return
	}
	go func() {
		for orderer.ctx.Err() == nil {
			err := orderer.Retire.PutRetired(orderer.ctx, node)
			orderer.Logger.Info("retire", "node", node, "error", err)
			if err == nil {
				return
			}
			time.Sleep(retireRetry)
		}
	}()
}

// Stop gives the lease up.
func (orderer *Orderer) Stop() {
	orderer.cancel()
	orderer.done.Wait()
	orderer.Logger.Info("stopped")
}
