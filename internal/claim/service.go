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

// Service owns claims partitions: it is their ownership.Handler and the Twirp service Claims.
type Service struct {
	alive  HolderAlive
	mu     sync.Mutex
	served map[partition.Name]*served
}

type served struct {
	changing lock.Lock // guards book; held while a change is stored
	book     *Book
	log      *partition.Log
}

// NewService returns a service that owns nothing yet. alive tells whether the process that made a claim still lives.
func NewService(alive HolderAlive) *Service {
	return &Service{alive: alive, served: make(map[partition.Name]*served)}
}

// Serve implements ownership.Handler.
func (service *Service) Serve(name partition.Name, log *partition.Log, registers map[string]partition.Register, assignment partition.Assignment) error {
	values := make(map[string][]byte, len(registers))
	for key, register := range registers {
		values[key] = register.Value
	}
	book, err := NewBook(values, assignment.HistoryLost)
	if err != nil {
		return err
	}
	service.mu.Lock()
	defer service.mu.Unlock()
	service.served[name] = &served{changing: lock.New(), book: book, log: log}
	return nil
}

// Stop implements ownership.Handler.
func (service *Service) Stop(name partition.Name) {
	service.mu.Lock()
	defer service.mu.Unlock()
	delete(service.served, name)
}

func (service *Service) find(index uint32) (*served, error) {
	service.mu.Lock()
	defer service.mu.Unlock()
	found, ok := service.served[partition.Name{Kind: partition.KindClaims, Index: index}]
	if !ok {
		return nil, result.New(result.NotRunNoOwner, "this node does not own claims partition %d", index).WithRetryAfter(time.Second)
	}
	return found, nil
}

// Claim implements the Twirp service. Failures are in the answer's outcome.
func (service *Service) Claim(ctx context.Context, request *controlv1.ClaimRequest) (*controlv1.ClaimResponse, error) {
	found, err := service.find(request.GetPartition())
	if err != nil {
		return &controlv1.ClaimResponse{Outcome: result.ToMessage(err)}, nil
	}
	wish := Claim{RequestID: request.GetRequestId(), Token: request.GetToken(), ContentHash: request.GetContentHash(),
		HolderNode: request.GetHolderNode(), HolderLife: request.GetHolderLife()}
	decision, err := found.claim(ctx, wish, service.alive)
	if err != nil {
		return &controlv1.ClaimResponse{Outcome: result.ToMessage(err)}, nil
	}
	answer := &controlv1.ClaimResponse{Outcome: result.ToMessage(decision.Refusal), Granted: decision.Granted}
	if decision.Answered != nil {
		answer.Answer = decision.Answered.Answer
		answer.Outcome = &controlv1.Outcome{Code: uint32(result.DoneAlready)}
	}
	return answer, nil
}

// claim decides, and confirms the epoch at a write quorum before anything but a refusal leaves.
func (served *served) claim(ctx context.Context, wish Claim, alive HolderAlive) (Decision, error) {
	if err := served.changing.Acquire(ctx); err != nil {
		return Decision{}, busy(err)
	}
	defer served.changing.Release()
	decision := served.book.Claim(wish, alive, time.Now())
	if decision.Refusal != nil {
		return decision, nil
	}
	if decision.Store == nil {
		return decision, served.store(ctx, nil)
	}
	if err := served.store(ctx, decision.Store); err != nil {
		return Decision{}, err
	}
	return decision, nil
}

// store appends a claim and makes it part of the book; nil only confirms the epoch. Must hold changing.
func (served *served) store(ctx context.Context, claim *Claim) error {
	var values []partition.Value
	if claim != nil {
		content, err := claim.Encode()
		if err != nil {
			return err
		}
		values = append(values, partition.Value{Key: Key(claim.RequestID), Value: content})
	}
	if err := served.log.Append(ctx, values, nil); err != nil {
		return result.New(result.NotRunNoOwner, "claims are not stored: %v", err).WithRetryAfter(time.Second)
	}
	if claim != nil {
		served.book.Apply(*claim)
	}
	return nil
}

// busy says that the call can be made again.
func busy(cause error) error {
	return result.New(result.NotRunNoOwner, "claims are being stored: %v", cause).WithRetryAfter(time.Second)
}

// Settle implements the Twirp service.
func (service *Service) Settle(ctx context.Context, request *controlv1.SettleRequest) (*controlv1.SettleResponse, error) {
	found, err := service.find(request.GetPartition())
	if err == nil {
		err = found.settle(ctx, request)
	}
	return &controlv1.SettleResponse{Outcome: result.ToMessage(err)}, nil
}

func (served *served) settle(ctx context.Context, request *controlv1.SettleRequest) error {
	if err := served.changing.Acquire(ctx); err != nil {
		return busy(err)
	}
	defer served.changing.Release()
	outcome := request.GetOutcome()
	claim, err := served.book.Settle(request.GetRequestId(), request.GetToken(), result.Code(outcome.GetCode()), outcome.GetMessage(), request.GetAnswer())
	if err != nil || claim == nil {
		return err
	}
	return served.store(ctx, claim)
}

// Tick removes claims whose retention is over.
func (service *Service) Tick(ctx context.Context) {
	service.mu.Lock()
	all := make([]*served, 0, len(service.served))
	for _, found := range service.served {
		all = append(all, found)
	}
	service.mu.Unlock()
	for _, found := range all {
		found.expire(ctx)
	}
}

func (served *served) expire(ctx context.Context) {
	if served.changing.Acquire(ctx) != nil {
		return
	}
	defer served.changing.Release()
	expired := served.book.Expired(time.Now())
	if len(expired) == 0 {
		return
	}
	keys := make([]string, 0, len(expired))
	for _, requestID := range expired {
		keys = append(keys, Key(requestID))
	}
	if served.log.Append(ctx, nil, keys) != nil {
		return
	}
	for _, requestID := range expired {
		served.book.Remove(requestID)
	}
}
