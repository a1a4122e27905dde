package backend

// candidate is what is known of a replica when a request is placed. Its cost follows from these values alone.
type candidate struct {
	// inFlight are the requests running and waiting at the replica, as far as this node knows.
	inFlight float64
	slots    float64
	// pace is the replica's time for an answer as a multiple of what is usual.
	pace float64
	// failing is how much more of its answers fail than those of its peers, from 0 to 1.
	failing float64
	// unproven is true if the replica has not answered yet, or was slow when it last did.
	unproven bool
	// own are the requests of this node among inFlight.
	own  int
	idle bool // there is probably an open connection
}

const (
	// spread is the random part of a request that is added, so that nodes with the same view do not all choose the same replica. It is less
	// than one request, so that it never outweighs a replica's load at equal pace.
	spread = 0.24
	// idleShare is the part of a request that an open connection to a replica without failures is worth: more than spread and usual differences
	// in pace, since a new connection costs the replica time.
	idleShare = 0.4
	// queueWeight is how much more a request counts that has to wait for a slot: a replica whose queue is full refuses the next one.
	queueWeight = 1.0
	// failureWeight is how many further answers one failed answer costs: its retry, and the caller's time until then.
	failureWeight = 5.0
	// unprovenWeight is the number of requests that one request in flight counts for at a replica without answers.
	unprovenWeight = 4.0
)

// expectedCompletion answers uneven replicas: it is the time until the request is answered, in units of what is usual, if all slots work
// through the requests in flight.
// chance is a random number from 0 to 1.
func (candidate *candidate) expectedCompletion(chance float64) float64 {
	requests := candidate.inFlight + 1 + spread*chance
	if candidate.idle && candidate.failing <= fewFailing {
		requests -= idleShare
	}
	requests += queueWeight * max(0, requests-candidate.slots)
	return requests / max(candidate.slots, 1) * candidate.pace
}

// repeatedFailures answers replicas that fail a part of their requests while their health check is good.
func (candidate *candidate) repeatedFailures() float64 {
	return 1 + failureWeight*candidate.failing
}

// slowStart answers replicas that have just started, and may be mute, slow or still loading: they get few requests until they have answered.
func (candidate *candidate) slowStart() float64 {
	if !candidate.unproven {
		return 1
	}
	return 1 + unprovenWeight*float64(candidate.own)
}

// cost returns the cost of a replica, the product of its scores. A score of 1 changes nothing.
func (candidate *candidate) cost(chance float64) float64 {
	return candidate.expectedCompletion(chance) * candidate.repeatedFailures() * candidate.slowStart()
}

const (
	// roomyPace is how much slower than in other zones the own zone may be and still be preferred.
	roomyPace = 1.5
	// bytesUnit is the size in bytes that, moved between zones, costs as much as one zone that is a tenth busier.
	bytesUnit = 64 << 10
	// maxBytesSurcharge bounds the surcharge for bytes. A fully loaded own zone outweighs it.
	maxBytesSurcharge = 0.5
)

// zoneSurcharge answers demand that is uneven between zones: it returns what a replica of another zone costs more, in units of the usual time
// there. It falls from 1 to 0 with the room left in the own zone, so that requests leave the zone only when it is more than half full, or
// slower than the others. load is the load of the best replica of the own zone, (in flight + 1) / slots, and relativePace its pace relative
// to the other zones. bytes is the size of the request and its answer.
func zoneSurcharge(load, relativePace, bytes float64) float64 {
	room := max(0, 1-load) * min(1, max(0, (roomyPace-relativePace)/(roomyPace-1)))
	return room + min(maxBytesSurcharge, 0.1*bytes/bytesUnit)
}
