package role

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/cluster"
	"github.com/thistlewalk/thistlewalk/internal/dissemination"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/quarantine"
)

// topics are the parts of the metadata store that every front mirrors.
type topics struct {
	configuration, replicas, nodes, quarantine *metadata.Mirror
}

// newTopics returns empty mirrors that pass each change to their handler.
func newTopics(configurationPrefix string, configuration metadata.Handler, replicaPrefix string, replicas, nodes, quarantined metadata.Handler) topics {
	return topics{
		configuration: metadata.NewMirror(configurationPrefix, configuration),
		replicas:      metadata.NewMirror(replicaPrefix, replicas),
		nodes:         metadata.NewMirror(cluster.Prefix, nodes),
		quarantine:    metadata.NewMirror(quarantine.Prefix, quarantined),
	}
}

// nodesInterval is the minimum interval between two pushes of changed nodes. It may be long, because a node is always
// pinged before it is declared dead, and a rolling restart of a large fleet changes many records per second. Such a
// restart makes 20 changes a second.
const nodesInterval = time.Second

// published returns the topics with the options of their publication.
func (topics topics) published() []dissemination.Topic {
	return []dissemination.Topic{
		{Mirror: topics.configuration},
		{Mirror: topics.replicas, Bulk: true},
		{Mirror: topics.nodes, MinInterval: nodesInterval, Bulk: true},
		{Mirror: topics.quarantine},
	}
}
