package node

import (
	"context"
	"time"
)

const (
	// leaveNotifications is the number of members that are notified directly when the node leaves.
	leaveNotifications = 4
	// handoverTimeout bounds the wait for other nodes to take over the node's partitions and copies of claims.
	handoverTimeout      = 15 * time.Second
	handoverPollInterval = 50 * time.Millisecond
	// refusalPeriod is the time for which new requests are refused before idle connections are closed.
	refusalPeriod = 2 * time.Second
)

// Stop is a planned stop. It refuses new work, notifies other members, releases the ownership of partitions, waits for the
// requests and slots in progress and then closes the node. Requests are cut off only if the context ends.
func (node *Node) Stop(ctx context.Context) error {
	node.logger.Info("planned stop")
	node.gateway.StopAccepting()
	node.executor.StopAccepting()
	node.prober.Leave(ctx, leaveNotifications)
	node.manager.Release(ctx)
	// A refusal closes the connection that it is sent on. Idle connections are closed later, because closing one while a
	// request arrives on it would cut off that request.
	sleep(ctx, refusalPeriod)
	failure := node.drain(ctx)
	node.awaitHandover(ctx)
	node.Kill()
	node.logger.Info("node stopped", "cut_off", failure != nil)
	return failure
}

// drain waits for the slots and requests in progress.
func (node *Node) drain(ctx context.Context) error {
	if err := node.executor.Drain(ctx); err != nil {
		return err
	}
	return node.apiHTTP.Shutdown(ctx)
}

// awaitHandover waits until other nodes have taken over this node's partitions and copies of claims. It returns at once if
// there are no other live members.
func (node *Node) awaitHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for ctx.Err() == nil && node.manager.PartitionCount() > 0 && len(node.members.View().Live) > 0 {
		sleep(ctx, handoverPollInterval)
	}
}

// Kill closes the node at once, without draining or handover.
func (node *Node) Kill() {
	node.closeOnce.Do(func() {
		node.executor.Close()
		node.synchronizer.close()
		if node.controlHTTP != nil {
			_ = node.controlHTTP.Close()
			_ = node.apiHTTP.Close()
		}
		for _, listener := range node.listeners {
			_ = listener.Close()
		}
		node.system.Stop()
		node.serving.Wait()
		for _, client := range node.clients {
			client.CloseIdleConnections()
		}
		if node.store != nil {
			_ = node.store.Close()
		}
	})
}
