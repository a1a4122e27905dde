package metering

import (
	"context"

	meteringv1 "github.com/thistlewalk/thistlewalk/api/metering/v1"
)

// Service receives the tallies of other nodes. It implements meteringv1.Collector.
type Service struct{ Ledger *Ledger }

// Tell implements meteringv1.Collector.
func (service Service) Tell(_ context.Context, request *meteringv1.TellRequest) (*meteringv1.TellResponse, error) {
	service.Ledger.Merge(request.GetTallies()...)
	return &meteringv1.TellResponse{}, nil
}
