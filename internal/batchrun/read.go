package batchrun

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
)

const (
	// pageLimit bounds the size of the texts on one page in bytes. A page has at least one result.
	pageLimit        = 900 << 10
	peerCallMargin   = 600 * time.Millisecond
	storeReadTimeout = 2 * time.Second
	maxReadWait      = 5 * time.Second
	// uncertainAfter is the duration of a metadata store outage after which the owner of a job cannot rule out that more results are
	// listed.
	uncertainAfter = time.Second
)

// Page is a range of a job's results.
type Page struct {
	Total   int
	Results []*batchv1.Result
}

// extend returns the page with the following results appended, up to pageLimit.
func (page Page) extend(total int, results []*batchv1.Result) Page {
	return cutPage(total, slices.Concat(page.Results, results), 0, pageLimit)
}

// Read returns the results of a job from position from on. It waits up to wait if there are none yet. The tenant is empty in
// deployments without tenants. Read returns ErrNotFound if the tenant has no such job and ErrUncertain if that cannot be
// determined at the moment.
func (runner *Runner) Read(ctx context.Context, tenant, job string, from int, wait time.Duration) (page Page, err error) {
	err = runner.inScope(ctx, tenant, job, func(id string) error {
		page, err = runner.read(ctx, id, from, wait)
		return err
	})
	return page, err
}

func (runner *Runner) read(ctx context.Context, id string, from int, wait time.Duration) (Page, error) {
	wait = min(wait, maxReadWait)
	if page, ok := runner.readLocal(ctx, id, from, wait, pageLimit); ok {
		return page, nil
	}
	page, served, err := runner.readFromOwner(ctx, id, from, wait)
	if served || err != nil {
		return page, err
	}
	record, err := runner.load(ctx, id)
	if err != nil {
		return Page{}, err
	}
	return cutPage(len(record.Job.GetItems()), record.Results, from, pageLimit), nil
}

// readFromOwner returns the results that this node has cached, extended by those that the owner of the job returns. Listed results
// never change, so cached ones stay valid and are returned also if the owner is unreachable.
func (runner *Runner) readFromOwner(ctx context.Context, id string, from int, wait time.Duration) (page Page, served bool, err error) {
	known := runner.resultCache.page(id, from)
	if len(known.Results) > 0 {
		wait = 0
	}
	next := from + len(known.Results)
	allowance := runner.resultCache.allowance(id, from)
	served, err = runner.askOwnerNamed(ctx, id, wait+peerCallMargin, func(ctx context.Context, name string, owner batchv1.Batches) (bool, error) {
		request := &batchv1.ReadRequest{JobId: id, From: int64(next), WaitMs: wait.Milliseconds()}
		if !runner.Peers.SameZone(name) {
			request.MaxBytes = allowance
		}
		response, err := owner.Read(ctx, request)
		if err != nil || !response.GetOwned() {
			return false, err
		}
		page = known.extend(int(response.GetTotal()), response.GetResults())
		runner.resultCache.put(id, page.Total, next, response.GetResults())
		return true, nil
	})
	if err != nil && len(known.Results) > 0 {
		page, served, err = known, true, nil
	}
	if served {
		runner.resultCache.recordRead(id, from, from+len(page.Results))
	}
	return page, served, err
}

// readLocal reads a job that runs at this node or is cached here as ended, with texts of up to limit bytes. A reader that
// continues in a running job gets a full page. The result is false if this node cannot answer. That includes an empty page while
// more results may be listed: the job is ending, an append is in doubt, or the metadata store is unreachable.
func (runner *Runner) readLocal(ctx context.Context, id string, from int, wait time.Duration, limit int) (Page, bool) {
	if owned := runner.find(id); owned != nil && owned.isAccepted() && !owned.isLeaving() {
		if from > 0 {
			limit = pageLimit
		}
		page := owned.read(ctx, from, wait, limit)
		uncertain := owned.isEnding() || owned.ownership.InDoubt() || runner.Log.Health.LostFor() >= uncertainAfter
		return page, len(page.Results) > 0 || from >= page.Total || !uncertain
	}
	if ended := runner.ended.get(id); ended != nil {
		return cutPage(ended.total, ended.results, from, limit), true
	}
	return Page{}, false
}

func (owned *job) read(ctx context.Context, from int, wait time.Duration, limit int) Page {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		owned.mu.Lock()
		listed, changed, over := owned.listed, owned.changed, owned.ending
		owned.mu.Unlock()
		if len(listed) > from || len(listed) == len(owned.items) || wait <= 0 || over {
			return cutPage(len(owned.items), listed, from, limit)
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-ctx.Done():
			wait = 0
		case <-owned.ctx.Done():
			wait = 0
		}
	}
}

// cutPage returns the results from a position on whose texts take up to limit bytes, but at least one.
func cutPage(total int, results []*batchv1.Result, from, limit int) Page {
	page := Page{Total: total}
	if from < 0 || from >= len(results) {
		return page
	}
	size, end := 0, from
	for end < len(results) {
		size += len(results[end].GetText()) + resultOverhead
		if end > from && size > limit {
			break
		}
		end++
	}
	page.Results = results[from:end]
	return page
}

// askOwner calls the node that owns a job. served is false if no owner answered and the job has to be read from the log. err is
// set if the owner cannot be determined.
func (runner *Runner) askOwner(ctx context.Context, id string, limit time.Duration, call func(context.Context, batchv1.Batches) (bool, error)) (served bool, err error) {
	return runner.askOwnerNamed(ctx, id, limit, func(ctx context.Context, _ string, owner batchv1.Batches) (bool, error) { return call(ctx, owner) })
}

// askOwnerNamed is askOwner for calls that depend on the owner's name.
func (runner *Runner) askOwnerNamed(ctx context.Context, id string, limit time.Duration, call func(context.Context, string, batchv1.Batches) (bool, error)) (served bool, err error) {
	callNamed := func(name string) bool {
		return runner.callPeer(ctx, name, limit, func(ctx context.Context, owner batchv1.Batches) (bool, error) { return call(ctx, name, owner) })
	}
	runner.mu.Lock()
	name := runner.owners[id]
	runner.mu.Unlock()
	if name != "" && callNamed(name) {
		return true, nil
	}
	runner.forgetOwner(id)
	if runner.callThroughDirectory(ctx, id, callNamed) {
		return true, nil
	}
	if !runner.Log.Health.Good() {
		return false, errors.Mark(errNotServed, ErrUncertain)
	}
	lookup, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	owner, _, err := runner.Log.Owner(lookup, id)
	switch {
	case errors.Is(err, batchlog.ErrNotOwner):
		return false, nil
	case err != nil:
		return false, errors.Mark(err, ErrUncertain)
	case owner.GetNode() == name || owner.GetNode() == runner.Node:
		return false, nil
	}
	if !callNamed(owner.GetNode()) {
		return false, nil
	}
	runner.RememberOwner(id, owner.GetNode())
	return true, nil
}

func (runner *Runner) callPeer(ctx context.Context, name string, limit time.Duration, call func(context.Context, batchv1.Batches) (bool, error)) bool {
	client := runner.Peers.Client(name)
	if client == nil || name == runner.Node {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	served, err := call(callCtx, client)
	return served && err == nil
}

// load reads a job from the log and caches it if it has ended.
func (runner *Runner) load(ctx context.Context, id string) (*batchlog.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	record, err := runner.Log.Load(ctx, id)
	switch {
	case errors.Is(err, batchlog.ErrNotFound):
		return nil, ErrNotFound
	case err != nil:
		return nil, errors.Mark(err, ErrUncertain)
	}
	runner.RememberTenant(id, record.Job.GetTenant())
	if record.Ended {
		runner.ended.put(&endedJob{id: id, endedAt: record.EndedAt, total: len(record.Job.GetItems()), results: record.Results, fromLog: true})
	}
	return record, nil
}

// Body returns the body of an item that is not listed yet. The tenant is empty in deployments without tenants.
func (runner *Runner) Body(ctx context.Context, tenant, job, itemID string) (body []byte, err error) {
	err = runner.inScope(ctx, tenant, job, func(id string) error {
		body, err = runner.readBody(ctx, id, itemID)
		return err
	})
	return body, err
}

func (runner *Runner) readBody(ctx context.Context, id, itemID string) ([]byte, error) {
	if owned := runner.find(id); owned != nil && owned.isAccepted() {
		return owned.body(itemID)
	}
	if runner.ended.has(id) {
		return nil, ErrNotFound
	}
	var body []byte
	var found bool
	served, err := runner.askOwner(ctx, id, peerCallMargin, func(ctx context.Context, owner batchv1.Batches) (bool, error) {
		response, err := owner.ReadBody(ctx, &batchv1.ReadBodyRequest{JobId: id, ItemId: itemID})
		if err != nil || !response.GetOwned() {
			return false, err
		}
		body, found = response.GetBody(), response.GetFound()
		return true, nil
	})
	switch {
	case err != nil:
		return nil, err
	case served && found:
		return body, nil
	case served:
		return nil, ErrNotFound
	}
	record, err := runner.load(ctx, id)
	if err != nil {
		return nil, err
	}
	for _, item := range record.Job.GetItems() {
		if item.GetId() == itemID && !record.Ended {
			return item.GetBody(), nil
		}
	}
	return nil, ErrNotFound
}

func (owned *job) body(itemID string) ([]byte, error) {
	item := owned.items[itemID]
	if item == nil {
		return nil, ErrNotFound
	}
	return item.GetBody(), nil
}
