// Package capability describes which protocol features a process supports. Processes of two builds run side by side during an upgrade.
// Protocol buffers silently ignore unknown fields, so a message in a newer form could be misread: a sender uses a feature only with
// processes that have registered it. A process that registers nothing supports only what requires no capability.
package capability

import (
	"slices"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
)

// Own returns the capabilities of this build, as its processes register them.
func Own() []clusterv1.Capability {
	return []clusterv1.Capability{
		clusterv1.Capability_CAPABILITY_PACKED_UPDATES,
		clusterv1.Capability_CAPABILITY_RELAYS,
		clusterv1.Capability_CAPABILITY_SNAPSHOTS,
		clusterv1.Capability_CAPABILITY_SERVICE_LOADS,
	}
}

// Holder is a message in which a process lists its capabilities.
type Holder interface {
	GetCapabilities() []clusterv1.Capability
}

// Has reports whether a process lists a capability.
func Has(process Holder, wanted clusterv1.Capability) bool {
	return slices.Contains(process.GetCapabilities(), wanted)
}
