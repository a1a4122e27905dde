package cluster

import (
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
)

func numbered(prefix string, count int) []string {
	names := make([]string, 0, count)
	for index := range count {
		names = append(names, fmt.Sprintf("%s-%02d", prefix, index))
	}
	return names
}

// Guards against two trainers whose jobs run at one node while other nodes of its class have none.
func TestKeysGetDifferentNodes(t *testing.T) {
	for _, test := range []struct {
		name        string
		nodes, keys int
	}{
		{"fewer keys than nodes", 6, 4},
		{"as many", 4, 4},
		{"more keys than nodes", 3, 8},
		{"one node", 1, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			for round := range 50 {
				keys := numbered(fmt.Sprint("model-", round), test.keys)
				counts := make(map[string]int)
				for _, names := range spreadKeys(numbered("front", test.nodes), keys) {
					counts[names[0]]++
				}
				most := (test.keys + test.nodes - 1) / test.nodes
				for name, count := range counts {
					must.LessEq(t, most, count, must.Sprint(name, " in ", counts))
				}
			}
		})
	}
	must.SliceEmpty(t, spreadKeys(nil, []string{"model"})["model"])
}

// Guards against a takeover that gives a node a second trainer while a node without one could take the job.
func TestSecondNodeOfAKeyIsNoOtherKeysFirst(t *testing.T) {
	assigned := spreadKeys(numbered("front", 9), numbered("model", 4))
	for key, names := range assigned {
		must.Len(t, preferredCount, names)
		for other, others := range assigned {
			must.True(t, other == key || names[1] != others[0], must.Sprint(key, " has ", names, ", ", other, " has ", others))
		}
	}
}

// Guards against a change of one node that moves the jobs of most models.
func TestSpreadIsStable(t *testing.T) {
	nodes, keys := numbered("front", 12), numbered("model", 8)
	before, changes := spreadKeys(nodes, keys), 0
	for index := range nodes {
		after := spreadKeys(slices.Delete(slices.Clone(nodes), index, index+1), keys)
		for _, key := range keys {
			if after[key][0] != before[key][0] {
				changes++
			}
		}
	}
	must.LessEq(t, 2*len(keys), changes, must.Sprint("each key must lose its own node once; ", changes, " changes"))
}
