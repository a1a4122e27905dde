package gateway

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/claim"
	"github.com/thistlewalk/thistlewalk/internal/execution"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

const (
	// claimWait bounds the wait for a claim's answer, over all tries.
	claimWait = 5 * time.Second
	// settleWait bounds the tries to store an outcome; a claim that stays unsettled is answered as unknown.
	settleWait   = 30 * time.Second
	claimTimeout = 2 * time.Second
	// maximumStoredAnswer bounds the answer that is kept for a repeated request, in bytes.
	maximumStoredAnswer = 256 << 10
)

// runOnce runs a not-repeatable request under a claim, or gives the stored answer of its one run.
func (gateway *Gateway) runOnce(ctx context.Context, prepared turn, responder *responder) error {
	token := uuid.NewString()
	answer, err := gateway.claim(ctx, prepared, token)
	if err != nil {
		return err
	}
	if !answer.GetGranted() {
		return gateway.repeatAnswer(answer.GetAnswer(), responder)
	}
	outcome, err := gateway.runner.Run(ctx, prepared.execution, responder.chunk)
	gateway.settle(prepared.execution.RequestID, token, outcome, err)
	return responder.finish(outcome, err)
}

// claim asks the owner until it answers. Asking again with the same token is safe; giving up is not run, since no back
// end was asked under this token and the claim is settled as not run.
func (gateway *Gateway) claim(ctx context.Context, prepared turn, token string) (*controlv1.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	nodeID, life := gateway.cluster.Holder()
	request := &controlv1.ClaimRequest{
		Partition: claim.PartitionOf(prepared.execution.RequestID), RequestId: prepared.execution.RequestID, Token: token,
		ContentHash: contentHash(prepared), HolderNode: nodeID, HolderLife: life,
	}
	asked := false
	answer, err := backoff.Retry(ctx, func() (*controlv1.ClaimResponse, error) {
		owner, err := gateway.cluster.Claims(request.GetPartition())
		if err != nil {
			return nil, err
		}
		asked = true
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		answer, err := owner.Claim(callCtx, request)
		if err != nil {
			return nil, err
		}
		failure := result.FromMessage(answer.GetOutcome())
		if failure != nil && result.CodeOf(failure) != result.NotRunNoOwner {
			return nil, backoff.Permanent(failure)
		}
		return answer, failure
	}, backoff.WithBackOff(quickBackOff()), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return answer, nil
	}
	if failure := result.From(err); failure.Code.Class() != result.ClassInternal && failure.Code != result.NotRunNoOwner {
		return nil, failure
	}
	failure := result.New(result.NotRunNoOwner, "the claim was not granted: %v", err).WithRetryAfter(time.Second)
	if asked {
		go gateway.settle(prepared.execution.RequestID, token, execution.Outcome{}, failure)
	}
	return nil, failure
}

func quickBackOff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 20 * time.Millisecond
	policy.MaxInterval = 500 * time.Millisecond
	return policy
}

// settle stores the outcome of a run, so that the same request sent again gets it.
func (gateway *Gateway) settle(requestID, token string, outcome execution.Outcome, failure error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleWait)
	defer cancel()
	request := &controlv1.SettleRequest{Partition: claim.PartitionOf(requestID), RequestId: requestID, Token: token, Outcome: result.ToMessage(failure)}
	if failure == nil {
		encoded, err := cbor.Marshal(outcome)
		if err == nil && len(encoded) <= maximumStoredAnswer {
			request.Answer = encoded
		}
	}
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		owner, err := gateway.cluster.Claims(request.GetPartition())
		if err != nil {
			return struct{}{}, err
		}
		callCtx, cancel := context.WithTimeout(ctx, claimTimeout)
		defer cancel()
		answer, err := owner.Settle(callCtx, request)
		if err != nil {
			return struct{}{}, err
		}
		failure := result.FromMessage(answer.GetOutcome())
		if failure != nil && result.CodeOf(failure).Class() != result.ClassNotRun {
			return struct{}{}, backoff.Permanent(failure)
		}
		return struct{}{}, failure
	}, backoff.WithBackOff(quickBackOff()), backoff.WithMaxElapsedTime(0))
	if err != nil {
		gateway.logger.Warn("outcome not stored", "request", requestID, "code", result.CodeOf(failure), "error", err)
	}
}

// repeatAnswer gives the stored answer of a request that ran before.
func (gateway *Gateway) repeatAnswer(stored []byte, responder *responder) error {
	responder.code = result.DoneAlready
	if len(stored) == 0 {
		return result.New(result.UnknownHistory, "the request ran, and its answer was too long to keep")
	}
	var outcome execution.Outcome
	if err := cbor.Unmarshal(stored, &outcome); err != nil {
		return result.New(result.InternalFault, "stored answer: %v", err)
	}
	return responder.whole(outcome)
}
