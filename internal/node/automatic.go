package node

import (
	"context"
	"fmt"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/experiment"
	"github.com/thistlewalk/thistlewalk/internal/placement"
)

const (
	automaticInterval = time.Second
	// stagedShare is the share of replicas that must hold the published version before an automatic swap. It is below 1 so
	// that a few slow replicas do not block the swap.
	stagedShare = 0.9
)

// swapAutomatic swaps automatic policies to their published version once it is staged. Only the swap coordinator does this.
// If two nodes consider themselves coordinator, both send the same command identifier, and the swap is applied once.
func (node *Node) swapAutomatic(ctx context.Context) {
	if !node.isSwapCoordinator() {
		return
	}
	for _, policy := range node.follower.Document().Policies {
		if !policy.Automatic || policy.State != experiment.PolicyActive || policy.Published <= policy.Target || !node.staged(policy) {
			continue
		}
		commitCtx, cancel := context.WithTimeout(ctx, node.settings.Platform.Timeout)
		_, err := node.committer.Commit(commitCtx, experiment.Envelope{
			CommandID: fmt.Sprintf("automatic/%s/%d", policy.Name, policy.Published),
			Command:   experiment.SwapPolicy{Name: policy.Name, Version: policy.Published},
		})
		cancel()
		node.logger.Info("automatic swap", "policy", policy.Name, "version", policy.Published, "error", err)
	}
}

// isSwapCoordinator reports whether this node ranks first among the live members.
func (node *Node) isSwapCoordinator() bool {
	var live []string
	for _, member := range node.members.View().Live {
		live = append(live, member.NodeID)
	}
	return placement.Best("automatic", live) == node.settings.Node.ID
}

// staged reports whether enough serving replicas have staged or activated the published version.
func (node *Node) staged(policy experiment.Policy) bool {
	ready, serving := 0, 0
	for _, replica := range node.loads.List() {
		digest := replica.Digest()
		if digest.Failed || digest.Leaving {
			continue
		}
		serving++
		if held := digest.HeldVersion(policy.Name); held.GetStaged() == policy.Published || held.GetActive() == policy.Published {
			ready++
		}
	}
	return serving > 0 && float64(ready) >= stagedShare*float64(serving)
}
