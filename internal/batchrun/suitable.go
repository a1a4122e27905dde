package batchrun

import (
	"sync"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// suitability determines which replicas have weights that suit an item, from their registration and from the versions that they
// report in responses. It is safe for concurrent use.
type suitability struct {
	runner *Runner

	mu sync.Mutex
	// observed holds the versions that replicas reported, by replica and model.
	observed map[string]map[string]int64
	// lists caches the suitable replicas of each placement for the replicas in set. Finding them anew for each round took 2.4 ms
	// with 7,859 replicas.
	lists map[placement][]*catalog.Replica
	set   *catalog.ReplicaSet
}

// maxObservedReplicas bounds the replicas whose reported versions are remembered.
const maxObservedReplicas = 4096

func newSuitability(runner *Runner) *suitability {
	return &suitability{runner: runner, observed: make(map[string]map[string]int64), lists: make(map[placement][]*catalog.Replica)}
}

// observe records the version of a model that a replica reported.
func (suitability *suitability) observe(replica, model string, version int64) {
	if version <= 0 {
		return
	}
	registered := suitability.runner.Catalog.Replicas().Find(replica)
	suitability.mu.Lock()
	defer suitability.mu.Unlock()
	versions := suitability.observed[replica]
	if versions == nil {
		if len(suitability.observed) > maxObservedReplicas {
			clear(suitability.observed)
		}
		versions = make(map[string]int64)
		suitability.observed[replica] = versions
	}
	if versions[model] != version && (registered == nil || registered.Version(model) != version) {
		clear(suitability.lists)
	}
	versions[model] = version
}

// version returns the newest known version of a model at a replica.
func (suitability *suitability) version(replica *catalog.Replica, model string) int64 {
	return max(replica.Version(model), suitability.observed[replica.ID][model])
}

// suits must be called with mu held.
func (suitability *suitability) suits(replica *catalog.Replica, placing placement) bool {
	if replica.Draining {
		return false
	}
	return placing.model == "" || suitability.version(replica, placing.model) >= placing.minimum
}

// suits reports whether a replica's weights suit the items of a placement.
func (scheduler *scheduler) suits(replica *catalog.Replica, placing placement) bool {
	scheduler.suitable.mu.Lock()
	defer scheduler.suitable.mu.Unlock()
	return scheduler.suitable.suits(replica, placing)
}

// suitableReplicas returns the replicas whose weights suit the items of a placement. The list must not be changed.
func (scheduler *scheduler) suitableReplicas(placing placement) []*catalog.Replica {
	return scheduler.suitable.list(placing)
}

func (suitability *suitability) list(placing placement) []*catalog.Replica {
	set := suitability.runner.Catalog.Replicas()
	suitability.mu.Lock()
	defer suitability.mu.Unlock()
	if suitability.set != set {
		clear(suitability.lists)
		suitability.set = set
	}
	list, known := suitability.lists[placing]
	if known {
		return list
	}
	for replica := range set.Service(placing.service).Each() {
		if suitability.suits(replica, placing) {
			list = append(list, replica)
		}
	}
	suitability.lists[placing] = list
	return list
}
