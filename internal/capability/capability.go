// Package capability says what a process reads and does for others. Processes of two builds run side by side while a deployment is upgraded, and
// whoever sends what an earlier build does not have sends it to those only that have registered it: protocol buffers pass over fields that a receiver does
// not know, in silence, so that it takes a message for another one. A process that registers nothing reads what no capability stands for.
package capability

import (
	"slices"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

// Own returns what processes of this build read and do, as they register it.
func Own() []clusterv1.Capability {
	return []clusterv1.Capability{
		clusterv1.Capability_CAPABILITY_PACKED_UPDATES,
		clusterv1.Capability_CAPABILITY_RELAYS,
		clusterv1.Capability_CAPABILITY_SNAPSHOTS,
	}
}

// Holder is a message by which a process says what it reads and does.
type Holder interface {
	GetCapabilities() []clusterv1.Capability
}

// Has reports whether a process has said that it has a capability.
func Has(process Holder, wanted clusterv1.Capability) bool {
	return slices.Contains(process.GetCapabilities(), wanted)
}
