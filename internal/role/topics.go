package role

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/dissemination"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// topics are the keys of the metadata store that every front knows.
type topics struct {
	configuration, replicas, nodes, quarantine *metadata.Mirror
}

// newTopics returns mirrors that know nothing yet, and pass what they learn to the handlers.
func newTopics(configurationPrefix string, configuration metadata.Handler, replicaPrefix string, replicas, nodes, quarantined metadata.Handler) topics {
	return topics{
		configuration: metadata.NewMirror(configurationPrefix, configuration),
		replicas:      metadata.NewMirror(replicaPrefix, replicas),
		nodes:         metadata.NewMirror(cluster.Prefix, nodes),
		quarantine:    metadata.NewMirror(quarantine.Prefix, quarantined),
	}
}

// nodesPace is how often a front is told of other fronts that come and go. None is needed at once: whoever finds a node dead asks it
// directly first, and a fleet that is rolled makes 20 changes a second.
const nodesPace = time.Second

// published returns the topics as a publisher pushes them.
func (topics topics) published() []dissemination.Topic {
	return []dissemination.Topic{
		{Mirror: topics.configuration},
		{Mirror: topics.replicas, Bulk: true},
		{Mirror: topics.nodes, Pace: nodesPace, Bulk: true},
		{Mirror: topics.quarantine},
	}
}
