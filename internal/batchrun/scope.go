package batchrun

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batch"
)

// errOtherTenant means that the job with this identifier belongs to another tenant.
var errOtherTenant = errors.New("the identifier is that of another tenant's job")

// inScope calls call with the internal identifier of the job that a tenant's caller named. A job is stored under the name that
// its caller gave, which nodes with older builds without tenants look up, or under a name scoped to its tenant if another
// tenant's job has that name. The tenant is empty in deployments without tenants.
func (runner *Runner) inScope(ctx context.Context, tenant, named string, call func(id string) error) error {
	if strings.Contains(named, batch.ScopeSeparator) {
		return ErrNotFound // callers cannot use the separator; otherwise they could address the scope of any tenant
	}
	err := runner.forTenant(ctx, tenant, named, call)
	if !runner.multitenant() || !errors.Is(err, ErrNotFound) {
		return err
	}
	return call(batch.ScopedID(tenant, named))
}

// forTenant calls call unless the job belongs to another tenant. In that case it returns ErrNotFound, so that the caller cannot
// learn that the job exists.
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

// tenantOf returns the tenant of a job, which may be empty. It reads the log if this node knows the tenant neither from the job
// itself nor from its owner's announcement.
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

// knownTenant returns the tenant of an accepted job if this node knows it.
func (runner *Runner) knownTenant(id string) (tenant string, known bool) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	if owned := runner.jobs[id]; owned != nil && owned.isAccepted() {
		return owned.definition.GetTenant(), true
	}
	tenant, known = runner.tenants[id]
	return tenant, known
}

// maxTenantHints bounds the jobs whose tenant a node remembers. At 2 steps a second these are the jobs of half an hour.
const maxTenantHints = 4096

// RememberTenant records the tenant of a job.
func (runner *Runner) RememberTenant(id, tenant string) {
	runner.mu.Lock()
	defer runner.mu.Unlock()
	runner.setTenant(id, tenant)
}

// setTenant must be called with mu held.
func (runner *Runner) setTenant(id, tenant string) {
	if len(runner.tenants) >= maxTenantHints {
		clear(runner.tenants)
	}
	runner.tenants[id] = tenant
}

// checkTenant returns errOtherTenant if this node knows that the identifier of a submitted job belongs to another tenant's job.
func (runner *Runner) checkTenant(definition *batchv1.Job) error {
	if tenant, known := runner.knownTenant(definition.GetId()); known && !batch.MayUse(definition.GetTenant(), tenant) {
		return errOtherTenant
	}
	return nil
}

// checkAccepted returns errOtherTenant if the accepted job with the identifier of a submitted job belongs to another tenant.
func (runner *Runner) checkAccepted(ctx context.Context, definition *batchv1.Job) error {
	tenant, err := runner.tenantOf(ctx, definition.GetId())
	if err == nil && !batch.MayUse(definition.GetTenant(), tenant) {
		return errOtherTenant
	}
	return err
}
