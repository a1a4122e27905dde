package configuration

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/keyvalue"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Committer changes the configuration document by compare-and-swap.
type Committer struct {
	service  keyvalue.Client
	follower *Follower
}

// NewCommitter returns a committer that passes the documents it commits to the follower.
func NewCommitter(service keyvalue.Client, follower *Follower) *Committer {
	return &Committer{service: service, follower: follower}
}

// Commit applies a command to the current document and returns the document that includes it. It retries conflicts, rate limits, failed
// connections and lost responses until the context ends. A retry after a lost response reads the document again, and applying a command a
// second time has no effect. UnknownNotWritten means that a response was lost and no later attempt succeeded.
func (committer *Committer) Commit(ctx context.Context, envelope experiment.Envelope) (experiment.Document, error) {
	uncertain := false
	operation := func() (experiment.Document, error) {
		document, err := committer.attempt(ctx, envelope)
		switch {
		case err == nil:
			return document, nil
		case errors.Is(err, keyvalue.ErrUncertain):
			uncertain = true
			return document, err
		case errors.Is(err, keyvalue.ErrConflict), errors.Is(err, keyvalue.ErrLimited), errors.Is(err, keyvalue.ErrUnreachable):
			return document, err
		default:
			return document, backoff.Permanent(err)
		}
	}
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = 20 * time.Millisecond
	policy.MaxInterval = time.Second
	document, err := backoff.Retry(ctx, operation, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	return document, committer.classify(err, uncertain)
}

func (committer *Committer) classify(err error, uncertain bool) error {
	var failure *result.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &failure) && !uncertain:
		return failure
	case uncertain:
		return result.New(result.UnknownNotWritten, "the change was sent, and the key-value service cannot be read back: %v", err)
	default:
		return result.New(result.NotRunService, "%v", err).WithRetryAfter(time.Second)
	}
}

// attempt reads the document, applies the command and tries one compare-and-swap.
func (committer *Committer) attempt(ctx context.Context, envelope experiment.Envelope) (experiment.Document, error) {
	listing, err := committer.service.List(ctx, DocumentKey)
	if err != nil {
		return experiment.Document{}, err
	}
	current, keyRevision, err := pickDocument(listing)
	if err != nil {
		return experiment.Document{}, err
	}
	if known := committer.follower.Document().Revision; current.Revision < known {
		return experiment.Document{}, result.New(result.InternalOlder, "the service holds revision %d, revision %d is in force", current.Revision, known)
	}
	next, err := current.Apply(envelope, time.Now())
	if err != nil {
		return experiment.Document{}, err
	}
	if next.Revision == current.Revision {
		committer.follower.Offer(next)
		return next, nil
	}
	content, err := EncodeDocument(next)
	if err != nil {
		return experiment.Document{}, err
	}
	if _, err := committer.service.CompareAndSwap(ctx, keyvalue.Swap{Key: DocumentKey, Value: content, Expected: keyRevision}); err != nil {
		return experiment.Document{}, err
	}
	committer.follower.Offer(next)
	return next, nil
}

// pickDocument returns the document in a listing and the revision of its key. Both are zero if the document does not exist.
func pickDocument(listing keyvalue.Listing) (experiment.Document, uint64, error) {
	for _, item := range listing.Items {
		if item.Key == DocumentKey {
			document, err := DecodeDocument(item.Value)
			return document, item.Revision, err
		}
	}
	return experiment.Document{}, 0, nil
}
