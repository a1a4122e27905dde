package claim

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/lock"
	"github.com/thistlewalk/thistlewalk/internal/partition"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

// PartitionOf returns the index of the partition that an identifier belongs to.
func PartitionOf(requestID string) uint32 {
	return uint32(xxhash.Sum64String(requestID) % partition.Count)
}

// Service serves the claims partitions that this node owns. It implements ownership.Handler and the Twirp service Claims.
type Service struct {
	alive HolderAlive
	mu    sync.Mutex
	owned map[partition.Name]*ownedPartition
}

type ownedPartition struct {
	writeLock lock.Lock // guards registry; held while a change is stored
	registry  *Registry
	log       *partition.Log
}

// NewService returns a service without partitions. alive reports whether the process that holds a claim is still running.
func NewService(alive HolderAlive) *Service {
	return &Service{alive: alive, owned: make(map[partition.Name]*ownedPartition)}
}

// Serve implements ownership.Handler.
func (service *Service) Serve(name partition.Name, log *partition.Log, registers map[string]partition.Register, assignment partition.Assignment) error {
	values := make(map[string][]byte, len(registers))
	for key, register := range registers {
		values[key] = register.Value
	}
	registry, err := NewRegistry(values, assignment.HistoryLost)
	if err != nil {
		return err
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	service.owned[name] = &ownedPartition{writeLock: lock.New(), registry: registry, log: log}
	return nil
}

// Stop implements ownership.Handler.
func (service *Service) Stop(name partition.Name) {
	service.mu.Lock()
	defer service.mu.Unlock()
	delete(service.owned, name)
}

func (service *Service) find(index uint32) (*ownedPartition, error) {
	service.mu.Lock()
	defer service.mu.Unlock()
	owned, ok := service.owned[partition.Name{Kind: partition.KindClaims, Index: index}]
	if !ok {
		return nil, result.New(result.NotRunNoOwner, "this node does not own claims partition %d", index).WithRetryAfter(time.Second)
	}
	return owned, nil
}

// Claim implements the Twirp service. A failure is reported in the response's outcome, not as an error.
func (service *Service) Claim(ctx context.Context, request *controlv1.ClaimRequest) (*controlv1.ClaimResponse, error) {
	owned, err := service.find(request.GetPartition())
	if err != nil {
		return &controlv1.ClaimResponse{Outcome: result.ToMessage(err)}, nil
	}
	candidate := Claim{RequestID: request.GetRequestId(), Token: request.GetToken(), ContentHash: request.GetContentHash(),
		HolderNode: request.GetHolderNode(), HolderIncarnation: request.GetHolderLife()}
	decision, err := owned.claim(ctx, candidate, service.alive)
	if err != nil {
		return &controlv1.ClaimResponse{Outcome: result.ToMessage(err)}, nil
	}
	response := &controlv1.ClaimResponse{Outcome: result.ToMessage(decision.Refusal), Granted: decision.Granted}
	if decision.Answered != nil {
		response.Answer = decision.Answered.Answer
		response.Outcome = &controlv1.Outcome{Code: uint32(result.DoneAlready)}
	}
	return response, nil
}

// claim returns the registry's decision. Unless that is a refusal, it first stores the claim or confirms the epoch at a write quorum, so
// that a fenced owner grants and answers nothing.
func (owned *ownedPartition) claim(ctx context.Context, candidate Claim, alive HolderAlive) (Decision, error) {
	if err := owned.writeLock.Acquire(ctx); err != nil {
		return Decision{}, busy(err)
	}
	defer owned.writeLock.Release()
	decision := owned.registry.Claim(candidate, alive, time.Now())
	if decision.Refusal != nil {
		return decision, nil
	}
	if decision.Store == nil {
		return decision, owned.store(ctx, nil)
	}
	if err := owned.store(ctx, decision.Store); err != nil {
		return Decision{}, err
	}
	return decision, nil
}

// store appends a claim to the log and adds it to the registry; a nil claim only confirms the epoch. The caller holds writeLock.
func (owned *ownedPartition) store(ctx context.Context, claim *Claim) error {
	var values []partition.Value
	if claim != nil {
		content, err := claim.Encode()
		if err != nil {
			return err
		}
		values = append(values, partition.Value{Key: Key(claim.RequestID), Value: content})
	}
	if err := owned.log.Append(ctx, values, nil); err != nil {
		return result.New(result.NotRunNoOwner, "claims are not stored: %v", err).WithRetryAfter(time.Second)
	}
	if claim != nil {
		owned.registry.Apply(*claim)
	}
	return nil
}

// busy returns a retryable error for a call that could not acquire the lock in time.
func busy(cause error) error {
	return result.New(result.NotRunNoOwner, "claims are being stored: %v", cause).WithRetryAfter(time.Second)
}

// Settle implements the Twirp service.
func (service *Service) Settle(ctx context.Context, request *controlv1.SettleRequest) (*controlv1.SettleResponse, error) {
	owned, err := service.find(request.GetPartition())
	if err == nil {
		err = owned.settle(ctx, request)
	}
	return &controlv1.SettleResponse{Outcome: result.ToMessage(err)}, nil
}

func (owned *ownedPartition) settle(ctx context.Context, request *controlv1.SettleRequest) error {
	if err := owned.writeLock.Acquire(ctx); err != nil {
		return busy(err)
	}
	defer owned.writeLock.Release()
	outcome := request.GetOutcome()
	claim, err := owned.registry.Settle(request.GetRequestId(), request.GetToken(), result.Code(outcome.GetCode()), outcome.GetMessage(), request.GetAnswer())
	if err != nil || claim == nil {
		return err
	}
	return owned.store(ctx, claim)
}

// Tick removes the claims that are older than the retention.
func (service *Service) Tick(ctx context.Context) {
	service.mu.Lock()
	all := make([]*ownedPartition, 0, len(service.owned))
	for _, owned := range service.owned {
		all = append(all, owned)
	}
	service.mu.Unlock()
	for _, owned := range all {
		owned.expire(ctx)
	}
}

func (owned *ownedPartition) expire(ctx context.Context) {
	if owned.writeLock.Acquire(ctx) != nil {
		return
	}
	defer owned.writeLock.Release()
	expired := owned.registry.Expired(time.Now())
	if len(expired) == 0 {
		return
	}
	keys := make([]string, 0, len(expired))
	for _, requestID := range expired {
		keys = append(keys, Key(requestID))
	}
	if owned.log.Append(ctx, nil, keys) != nil {
		return
	}
	for _, requestID := range expired {
		owned.registry.Remove(requestID)
	}
}
