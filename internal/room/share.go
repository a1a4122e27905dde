package room

import "time"

// Load is what one or several nodes have in flight and waiting at a service.
type Load struct {
	InFlight, Waiting int
	// Nodes is the number of nodes with requests in flight or waiting.
	Nodes int
	// Refused is the number of requests refused in the last second.
	Refused int
	// ServiceTime is the mean time that a replica takes for a request; zero if unknown.
	ServiceTime time.Duration
}

// Add returns the sum of two loads. Their service times are weighted by the requests in flight.
func (load Load) Add(other Load) Load {
	sum := Load{
		InFlight: load.InFlight + other.InFlight, Waiting: load.Waiting + other.Waiting, Nodes: load.Nodes + other.Nodes, Refused: load.Refused + other.Refused,
		ServiceTime: max(load.ServiceTime, other.ServiceTime),
	}
	if load.ServiceTime > 0 && other.ServiceTime > 0 {
		weight := float64(other.InFlight+1) / float64(sum.InFlight+2)
		sum.ServiceTime = load.ServiceTime + time.Duration(weight*float64(other.ServiceTime-load.ServiceTime))
	}
	return sum
}

func (load Load) demand() float64 { return float64(load.InFlight + load.Waiting) }

const (
	// ampleUse is the part of the slots up to which the use of a service leaves each node all free slots. Above it, the part of the free
	// slots that a node may take shrinks to an equal one at full use: a burst at several nodes within one exchange must fit.
	ampleUse = 0.5
	// maxFloor is the number of requests that a node may send however full the service is, if these requests of all nodes together take at most
	// one in floorDivisor of its slots.
	maxFloor     = 4
	floorDivisor = 16
)

// fairShare returns how many of a service's slots a node with the load own may use while the other nodes have the load others. While all
// requests fit, a node gets what it uses and a part of the free slots. Otherwise each node gets one slot, and the others are divided by demand:
// each further request in flight or waiting, at whatever node, counts the same. The shares of all nodes then sum up to the slots, if these
// are at least as many as the nodes. scarce is true if the requests do not fit.
func fairShare(slots int, own, others Load) (share float64, scarce bool) {
	own.Waiting = min(own.Waiting, slots) // as in the sums of the others
	nodes := float64(others.Nodes + 1)
	total := own.demand() + others.demand()
	free := float64(slots) - total
	floor := min(maxFloor, max(1, float64(slots)/(floorDivisor*nodes)))
	if free <= 0 {
		return max(floor, 1+(float64(slots)-nodes)*(own.demand()-1)/max(1, total-nodes)), true
	}
	use := total / float64(slots)
	part := 1.0
	if use > ampleUse {
		part = 1/nodes + (1-1/nodes)*(1-use)/(1-ampleUse)
	}
	return max(floor, own.demand()+free*part), false
}
