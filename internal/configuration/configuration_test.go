package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/keyvalue"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

// fakeService is a key-value service with one key. Its calls fail with the given errors in order.
type fakeService struct {
	keyvalue.Client
	mu       sync.Mutex
	item     keyvalue.Item
	failures []error // of the next calls; ErrUncertain is returned by a swap that took effect
}

func (s *fakeService) next() error {
	if len(s.failures) == 0 {
		return nil
	}
	failure := s.failures[0]
	s.failures = s.failures[1:]
	return failure
}

func (s *fakeService) List(context.Context, string) (keyvalue.Listing, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.next(); err != nil {
		return keyvalue.Listing{}, err
	}
	listing := keyvalue.Listing{Revision: s.item.Revision}
	if s.item.Revision > 0 {
		listing.Items = []keyvalue.Item{s.item}
	}
	return listing, nil
}

func (s *fakeService) Watch(ctx context.Context, prefix string, _ uint64, _ time.Duration) (keyvalue.Listing, error) {
	return s.List(ctx, prefix)
}

func (s *fakeService) CompareAndSwap(_ context.Context, swap keyvalue.Swap) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	failure := s.next()
	if failure != nil && !errors.Is(failure, keyvalue.ErrUncertain) {
		return 0, failure
	}
	if swap.Expected != s.item.Revision {
		return 0, keyvalue.ErrConflict
	}
	s.item = keyvalue.Item{Key: swap.Key, Value: swap.Value, Revision: s.item.Revision + 1}
	return s.item.Revision, failure
}

func (s *fakeService) document(t must.T) experiment.Document {
	var document experiment.Document
	must.NoError(t, json.Unmarshal(s.item.Value, &document))
	return document
}

func add(name string) experiment.Envelope {
	return experiment.Envelope{CommandID: "add " + name, Command: experiment.AddPolicy{Name: name, Version: 1}}
}

func TestALostAnswerIsSettledByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeService{failures: []error{nil, keyvalue.ErrUncertain, keyvalue.ErrUnreachable, keyvalue.ErrLimited}}
		committer := NewCommitter(s, NewFollower())
		document, err := committer.Commit(t.Context(), add("a"))
		must.NoError(t, err)
		must.Eq(t, 1, document.Revision)
		must.Eq(t, 1, s.document(t).Revision, must.Sprint("it took effect once"))
	})
}

func TestAChangeThatCannotBeReadBackIsUnknownAndOneNeverSentIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := make([]error, 1000)
		for index := range down {
			down[index] = keyvalue.ErrUnreachable
		}
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := NewCommitter(&fakeService{failures: append([]error{nil, keyvalue.ErrUncertain}, down...)}, NewFollower()).Commit(ctx, add("a"))
		must.Eq(t, result.UnknownNotWritten, result.CodeOf(err))
		ctx, cancel = context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err = NewCommitter(&fakeService{failures: down}, NewFollower()).Commit(ctx, add("a"))
		must.Eq(t, result.NotRunService, result.CodeOf(err))
	})
}

func TestTheLaterOfTwoOperatorsHearsTheRevisionThatWon(t *testing.T) {
	s := &fakeService{}
	committer := NewCommitter(s, NewFollower())
	_, err := committer.Commit(t.Context(), add("a"))
	must.NoError(t, err)
	swap := func(id string, version uint64) error {
		_, err := committer.Commit(t.Context(), experiment.Envelope{CommandID: id, BaseRevision: 1, Command: experiment.SwapPolicy{Name: "a", Version: version}})
		return err
	}
	must.NoError(t, swap("first", 2))
	err = swap("second", 3)
	must.Eq(t, result.ConflictRevision, result.CodeOf(err))
	must.StrContains(t, err.Error(), "revision 2")
	must.NoError(t, swap("first", 2), must.Sprint("a repeated command has no further effect"))
}

func TestAnOlderServiceIsRefused(t *testing.T) {
	s := &fakeService{}
	follower := NewFollower()
	committer := NewCommitter(s, follower)
	_, err := committer.Commit(t.Context(), add("a"))
	must.NoError(t, err)
	old := s.item
	_, err = committer.Commit(t.Context(), add("b"))
	must.NoError(t, err)
	s.item.Value = old.Value
	must.ErrorIs(t, NewRelay(s, follower).Poll(t.Context(), time.Second), ErrStaleService)
	must.Eq(t, 2, follower.Document().Revision)
	_, err = committer.Commit(t.Context(), add("c"))
	must.Eq(t, result.InternalOlder, result.CodeOf(err))
}

// The document in force must have the greatest revision received, in whatever order documents arrive.
func TestFollowerNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		follower := NewFollower()
		greatest := uint64(0)
		for _, revision := range rapid.SliceOf(rapid.Uint64Range(0, 20)).Draw(draw, "revisions") {
			must.Eq(draw, revision > greatest, follower.Offer(experiment.Document{Revision: revision}))
			greatest = max(greatest, revision)
			must.Eq(draw, greatest, follower.Document().Revision)
		}
	})
}

// Concurrent commits through a service that loses responses must each take effect exactly once.
func TestRacingOperators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeService{}
		for index := range 60 {
			s.failures = append(s.failures, []error{nil, keyvalue.ErrUncertain, nil, keyvalue.ErrLimited, nil}[index%5])
		}
		var pending sync.WaitGroup
		for operator := range 8 {
			committer := NewCommitter(s, NewFollower())
			pending.Go(func() {
				for index := range 4 {
					_, err := committer.Commit(t.Context(), add(fmt.Sprintf("p%d-%d", operator, index)))
					must.NoError(t, err)
				}
			})
		}
		pending.Wait()
		must.Len(t, 32, s.document(t).Policies)
		must.Eq(t, 32, s.document(t).Revision)
	})
}

func FuzzDecodeDocument(f *testing.F) {
	f.Add([]byte(`{"revision":1,"policies":[{"name":"a"}]}`))
	f.Fuzz(func(t *testing.T, content []byte) { _, _ = DecodeDocument(content) })
}
