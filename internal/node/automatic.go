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
	// stagedShare is how much of the replicas must hold the published version ready before an automatic swap: those that
	// miss it are not waited for.
	stagedShare = 0.9
)

// swapAutomatic swaps automatic policies to their published version once it is staged. The node that is ranked first among
// the live ones does it; should two do it, the swap is the same command and takes effect once.
func (node *Node) swapAutomatic(ctx context.Context) {
	if !node.isFirst() {
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

// isFirst reports whether this node is ranked first among the live ones.
func (node *Node) isFirst() bool {
	var live []string
	for _, member := range node.members.View().Live {
		live = append(live, member.NodeID)
	}
	return placement.Best("automatic", live) == node.settings.Node.ID
}

// staged reports whether enough of the replicas known here hold the published version ready.
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
