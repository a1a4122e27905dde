package ownership

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/configuration"
	"github.com/thistlewalk/thistlewalk/internal/keyvalue"
)

// keepLease renews the owner lease after a third of its duration, and requests a new one if it has expired. It reports
// whether the node held a valid lease at the last renewal.
func (manager *Manager) keepLease(ctx context.Context) bool {
	const renewalsPerLease = 3
	if manager.leasing.Acquire(ctx) != nil {
		return false
	}
	defer manager.leasing.Release()
	if manager.isStopping() {
		return false
	}
	if time.Since(manager.renewed) < manager.settings.LeaseTime/renewalsPerLease {
		return true
	}
	if manager.lease != "" {
		err := manager.service.RenewLease(ctx, manager.lease)
		if err == nil {
			manager.renewed = time.Now()
			return true
		}
		if !errors.Is(err, keyvalue.ErrLeaseGone) {
			return false
		}
	}
	return manager.grantLease(ctx)
}

// grantLease requests a lease and records this node under it. The caller must hold leasing.
func (manager *Manager) grantLease(ctx context.Context) bool {
	lease, err := manager.service.GrantLease(ctx, manager.settings.LeaseTime)
	if err != nil {
		return false
	}
	manager.lease = lease
	_, err = manager.service.CompareAndSwap(ctx, keyvalue.Swap{Key: configuration.LeasePrefix + manager.self.NodeID, Value: []byte(manager.self.Address), Lease: lease})
	if err != nil {
		// After a quick restart the key of the previous process exists until its lease expires.
		manager.logger.Info("owner lease not recorded", "error", err)
		return false
	}
	manager.renewed = time.Now()
	return true
}

// Release revokes the owner lease, so that other nodes take the partitions over. The node's replicas continue to respond
// until the node closes.
func (manager *Manager) Release(ctx context.Context) {
	manager.mu.Lock()
	manager.stopping = true
	manager.mu.Unlock()
	if manager.leasing.Acquire(ctx) != nil {
		return
	}
	defer manager.leasing.Release()
	if manager.lease != "" {
		_ = manager.service.RevokeLease(ctx, manager.lease)
	}
}
