package role

import (
	"time"

	"github.com/thistlewalk/thistlewalk/internal/dissemination"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

// topics are the keys of the metadata store that every front knows.
type topics struct {
	configuration, replicas, nodes *metadata.Mirror
}

// nodesPace is how often a front is told of other fronts that come and go. None is needed at once: whoever finds a node dead asks it
// directly first, and a fleet that is rolled makes 20 changes a second.
const nodesPace = time.Second

// published returns the topics as a publisher pushes them.
func (topics topics) published() []dissemination.Topic {
	return []dissemination.Topic{
		{Mirror: topics.configuration},
		{Mirror: topics.replicas},
		{Mirror: topics.nodes, Pace: nodesPace},
	}
}
