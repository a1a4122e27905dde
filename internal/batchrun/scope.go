package batchrun

import (
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/batch"
)

// inScope makes a call for the job of a tenant, empty for none, that a caller named. Jobs that were accepted before the deployment had
// tenants lie in no scope, and are open to all.
func inScope(tenant, named string, call func(id string) error) error {
	if strings.Contains(named, batch.ScopeSeparator) {
		return ErrNotFound // no caller has named a job so: it would lie in the scope of any tenant
	}
	err := call(batch.ScopedID(tenant, named))
	if tenant == "" || !errors.Is(err, ErrNotFound) {
		return err
	}
	return call(named)
}
