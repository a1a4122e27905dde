package room

// Load is what one or several nodes have in flight and waiting at a service.
type Load struct {
	InFlight, Waiting int
	// Nodes is the number of nodes with requests in flight or waiting.
	Nodes int
}

// Add returns the sum of two loads.
func (load Load) Add(other Load) Load {
	return Load{InFlight: load.InFlight + other.InFlight, Waiting: load.Waiting + other.Waiting, Nodes: load.Nodes + other.Nodes}
}

func (load Load) demand() float64 { return float64(load.InFlight + load.Waiting) }

const (
	// ampleUse is the part of the slots up to which the use of a service leaves each node all free slots. Above it, the part of the free
	// slots that a node may take shrinks to an equal one at full use: a burst at several nodes within one exchange must fit.
	ampleUse = 0.5
	// maxFloor is the number of requests that a node may send however full the service is, if the service has slots enough for that many
	// from each node with requests.
	maxFloor = 4
)

// fairShare returns how many of a service's slots a node with the load own may use while the other nodes have the load others. While all
// requests fit, a node gets what it uses and a part of the free slots. Otherwise the slots are divided by demand: each request in flight or
// waiting, at whatever node, counts the same, so that the shares of all nodes sum up to the slots.
func fairShare(slots int, own, others Load) float64 {
	nodes := float64(others.Nodes + 1)
	total := own.demand() + others.demand()
	free := float64(slots) - total
	floor := min(maxFloor, max(1, float64(slots)/(4*nodes)))
	if free <= 0 {
		return max(floor, float64(slots)*own.demand()/total)
	}
	use := total / float64(slots)
	part := 1.0
	if use > ampleUse {
		part = 1/nodes + (1-1/nodes)*(1-use)/(1-ampleUse)
	}
	return max(floor, own.demand()+free*part)
}
