package ownership

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/configuration"
	"github.com/thistlewalk/thistlewalk/internal/keyvalue"
)

// keepLease renews the owner's lease at a third of its life, and grants it anew when it is gone. It returns whether the
// lease was alive when last asked.
func (manager *Manager) keepLease(ctx context.Context) bool {
	const renewalsPerLife = 3
	if manager.leasing.Acquire(ctx) != nil {
		return false
	}
	defer manager.leasing.Release()
	if manager.isStopping() {
		return false
	}
	if time.Since(manager.renewed) < manager.settings.LeaseTime/renewalsPerLife {
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

// grantLease must hold leasing.
func (manager *Manager) grantLease(ctx context.Context) bool {
	lease, err := manager.service.GrantLease(ctx, manager.settings.LeaseTime)
	if err != nil {
		return false
	}
	manager.lease = lease
	_, err = manager.service.CompareAndSwap(ctx, keyvalue.Swap{Key: configuration.LeasePrefix + manager.self.NodeID, Value: []byte(manager.self.Address), Lease: lease})
	if err != nil {
		// After a quick restart the key of the last life stands until its lease ends.
		manager.logger.Info("owner lease not recorded", "error", err)
		return false
	}
	manager.renewed = time.Now()
	return true
}

// Release ends the owner's lease, so that others take over; copies keep answering until the node closes.
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
