package batchrun

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batch"
)

// errForeign says that the job under an identifier is another tenant's.
var errForeign = errors.New("the identifier is that of another tenant's job")

// inScope makes a call for the job of a tenant, empty for none, that a caller named. A job lies under the identifier that its caller gave, by which
// nodes of builds that know no tenants find it, or in its tenant's scope if another tenant's job lies there.
func (runner *Runner) inScope(ctx context.Context, tenant, named string, call func(id string) error) error {
	if strings.Contains(named, batch.ScopeSeparator) {
		return ErrNotFound // no caller has named a job so: it would lie in the scope of any tenant
	}
	err := runner.forTenant(ctx, tenant, named, call)
	if !runner.multitenant() || !errors.Is(err, ErrNotFound) {
		return err
	}
	return call(batch.ScopedID(tenant, named))
}

// forTenant makes a call for a job unless it is another tenant's, of which a caller learns not even that there is one.
func (runner *Runner) forTenant(ctx context.Context, tenant, id string, call func(id string) error) error {
	owner, err := runner.tenantOf(ctx, id)
	switch {
	case err != nil:
		return err
	case !batch.MayUse(tenant, owner):
		return ErrNotFound
	}
	return call(id)
}

// multitenant reports whether the deployment has tenants.
func (runner *Runner) multitenant() bool {
	configuration := runner.Catalog.Configuration()
	return configuration != nil && configuration.Multitenant
}

// tenantOf returns the tenant of a job, empty for none. Where this node does not know it, from the job itself or its owner's announcement, it
// reads the log once.
func (runner *Runner) tenantOf(ctx context.Context, id string) (string, error) {
	if !runner.multitenant() {
		return "", nil
	}
	if tenant, known := runner.knownTenant(id); known {
		return tenant, nil
	}
	record, err := runner.load(ctx, id)
	if err != nil {
		return "", err
	}
	return record.Job.GetTenant(), nil
}

// knownTenant returns the tenant of an accepted job of which this node knows whose it is.
func (runner *Runner) knownTenant(id string) (tenant string, known bool) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if owned := runner.jobs[id]; owned != nil && owned.isAccepted() {
		return owned.definition.GetTenant(), true
	}
	tenant, known = runner.tenants[id]
	return tenant, known
}

// tenantHints bounds the jobs of which a node remembers the tenant: at 2 steps a second, those of half an hour.
const tenantHints = 4096

// RememberTenant notes whose job one is.
func (runner *Runner) RememberTenant(id, tenant string) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.noteTenant(id, tenant)
}

// noteTenant must be called with mu held.
func (runner *Runner) noteTenant(id, tenant string) {
	if len(runner.tenants) >= tenantHints {
		clear(runner.tenants)
	}
	runner.tenants[id] = tenant
}

// checkTenant returns errForeign if this node knows that the identifier of a submitted job is that of another tenant's.
func (runner *Runner) checkTenant(definition *batchv1.Job) error {
	if tenant, known := runner.knownTenant(definition.GetId()); known && !batch.MayUse(definition.GetTenant(), tenant) {
		return errForeign
	}
	return nil
}

// checkAccepted returns errForeign if the job that was accepted under an identifier is another tenant's than the submitted one.
func (runner *Runner) checkAccepted(ctx context.Context, definition *batchv1.Job) error {
	tenant, err := runner.tenantOf(ctx, definition.GetId())
	if err == nil && !batch.MayUse(definition.GetTenant(), tenant) {
		return errForeign
	}
	return err
}
