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
	// claimWait bounds the time to make a claim, with all retries.
	claimWait = 5 * time.Second
	// settleWait bounds the time to store an outcome, with all retries. A claim that stays unsettled is reported as in progress, or as
	// unknown once its node is lost.
	settleWait = 30 * time.Second
	// claimTimeout bounds each call to the owner.
	claimTimeout = 2 * time.Second
	// maximumStoredAnswer bounds the size in bytes of an answer that is stored with its claim.
	maximumStoredAnswer = 256 << 10
)

// runOnce claims the identifier of a request that is not repeatable and runs the request. If the request has run before, runOnce sends the
// stored answer.
func (gateway *Gateway) runOnce(ctx context.Context, prepared turn, responder *responder) error {
	token := uuid.NewString()
	answer, err := gateway.claim(ctx, prepared, token)
	if err != nil {
		return err
	}
	if !answer.GetGranted() {
		return gateway.replayAnswer(answer.GetAnswer(), responder)
	}
	outcome, err := gateway.runner.Run(ctx, prepared.execution, responder.sendChunk)
	gateway.settle(prepared.execution.RequestID, token, outcome, err)
	return responder.finish(outcome, err)
}

// claim claims the identifier of a request at the partition's owner, with retries; a retry with the same token is safe. Without a grant,
// nothing runs under the token. If the owner may have stored the claim without answering, it is settled as not run.
func (gateway *Gateway) claim(ctx context.Context, prepared turn, token string) (*controlv1.ClaimResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, claimWait)
	defer cancel()
	nodeID, incarnation := gateway.cluster.Holder()
	request := &controlv1.ClaimRequest{
		Partition: claim.PartitionOf(prepared.execution.RequestID), RequestId: prepared.execution.RequestID, Token: token,
		ContentHash: contentHash(prepared), HolderNode: nodeID, HolderLife: incarnation,
	}
	sent := false
	answer, err := backoff.Retry(ctx, func() (*controlv1.ClaimResponse, error) {
		owner, err := gateway.cluster.Claims(request.GetPartition())
		if err != nil {
			return nil, err
		}
		sent = true
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
	}, backoff.WithBackOff(shortBackOff()), backoff.WithMaxElapsedTime(0))
	if err == nil {
		return answer, nil
	}
	if failure := result.From(err); failure.Code.Class() != result.ClassInternal && failure.Code != result.NotRunNoOwner {
		return nil, failure
	}
	failure := result.New(result.NotRunNoOwner, "the claim was not granted: %v", err).WithRetryAfter(time.Second)
	if sent {
		go gateway.settle(prepared.execution.RequestID, token, execution.Outcome{}, failure)
	}
	return nil, failure
}

func shortBackOff() *backoff.ExponentialBackOff {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 20 * time.Millisecond
	policy.MaxInterval = 500 * time.Millisecond
	return policy
}

// settle stores the outcome of a run for later requests with the same identifier.
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
	}, backoff.WithBackOff(shortBackOff()), backoff.WithMaxElapsedTime(0))
	if err != nil {
		gateway.logger.Warn("outcome not stored", "request", requestID, "code", result.CodeOf(failure), "error", err)
	}
}

// replayAnswer sends the stored answer of a request that has run before.
func (gateway *Gateway) replayAnswer(stored []byte, responder *responder) error {
	responder.code = result.DoneAlready
	if len(stored) == 0 {
		return result.New(result.UnknownHistory, "the request ran, and its answer was too long to keep")
	}
	var outcome execution.Outcome
	if err := cbor.Unmarshal(stored, &outcome); err != nil {
		return result.New(result.InternalFault, "stored answer: %v", err)
	}
	return responder.sendWhole(outcome)
}
