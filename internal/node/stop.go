package node

import (
	"context"
	"time"
)

const (
	// tellOnLeave is how many members hear at once that the node leaves.
	tellOnLeave = 4
	// handOverWait bounds the wait for others to take the node's partitions and claims copies.
	handOverWait = 15 * time.Second
	handOverPoll = 50 * time.Millisecond
	// refuseTime is how long new requests are refused before idle connections are closed.
	refuseTime = 2 * time.Second
)

// Stop is a planned stop: it refuses new work, tells the members, lets others take over its partitions, finishes every
// request and slot in progress, and closes. Only the context can cut requests off.
func (node *Node) Stop(ctx context.Context) error {
	node.logger.Info("planned stop")
	node.gateway.StopAccepting()
	node.executor.StopAccepting()
	node.prober.Leave(ctx, tellOnLeave)
	node.manager.Release(ctx)
	// Callers on kept connections hear the refusal, which closes their connection; only then are idle ones closed, since
	// closing one as a request arrives on it would cut that request off.
	sleep(ctx, refuseTime)
	failure := node.finish(ctx)
	node.handOver(ctx)
	node.Kill()
	node.logger.Info("node stopped", "cut_off", failure != nil)
	return failure
}

// finish waits for the calls and slots in progress.
func (node *Node) finish(ctx context.Context) error {
	if err := node.executor.Drain(ctx); err != nil {
		return err
	}
	return node.apiHTTP.Shutdown(ctx)
}

// handOver waits until no partition depends on this process, as long as somebody is there to take them.
func (node *Node) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverWait)
	defer cancel()
	for ctx.Err() == nil && node.manager.PartitionCount() > 0 && len(node.members.View().Live) > 0 {
		sleep(ctx, handOverPoll)
	}
}

// Kill closes the node at once, as a crash would, but for what the operating system does on its own.
func (node *Node) Kill() {
	node.closeOnce.Do(func() {
		node.executor.Close()
		node.synchronizer.halt()
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
