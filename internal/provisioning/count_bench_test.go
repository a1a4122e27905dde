package provisioning

import (
	"fmt"
	"testing"
	"time"

	"github.com/thistlewalk/thistlewalk/internal/catalog"
)

// BenchmarkCountReplicas measures a count of all replicas of a service, which follows a change of any of them.
func BenchmarkCountReplicas(b *testing.B) {
	for _, count := range []int{100, 1000, 10000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			configuration := &catalog.Configuration{Services: map[string]catalog.Service{"s": {Name: "s", Scaling: &catalog.Scaling{Maximum: count}}}}
			var list []catalog.Replica
			for index := range count {
				list = append(list, catalog.Replica{ID: fmt.Sprint("r", index), Service: "s", Zone: fmt.Sprint("zone-", index%7), Slots: 6})
			}
			table := catalog.NewTable()
			table.SetReplicas(list, 1)
			work := &termWork{Provisioner: &Provisioner{Catalog: table}, pools: make(map[poolKey]*poolState), services: make(map[string]*serviceState)}
			for b.Loop() {
				work.counted, work.countNext = nil, time.Time{}
				work.countReplicas(configuration)
			}
		})
	}
}
