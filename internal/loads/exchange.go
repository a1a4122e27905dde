package loads

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/machines"
)

// Flags of a digest between nodes.
const (
	flagLeaving = 1 << iota
	flagFailed
)

// Hash shortens a replica's identifier between nodes.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Fingerprint shortens what a replica holds.
func Fingerprint(held []*controlv1.HeldVersion) uint32 {
	digest := xxhash.New()
	var number [8]byte
	for _, version := range held {
		_, _ = digest.WriteString(version.GetPolicy())
		binary.LittleEndian.PutUint64(number[:], version.GetActive())
		_, _ = digest.Write(number[:])
		binary.LittleEndian.PutUint64(number[:], version.GetStaged())
		_, _ = digest.Write(number[:])
	}
	return uint32(digest.Sum64())
}

// offset returns how far a sequence is behind the base, as far as the form between nodes can tell.
func offset(base, sequence uint64) uint32 {
	if sequence >= base {
		return 0
	}
	return uint32(min(base-sequence, math.MaxUint32))
}

// fresh reports whether a digest is worth passing on.
func (digest *Digest) fresh(now time.Time, maximumAge time.Duration) bool {
	return now.Sub(digest.received) <= maximumAge
}

// Known tells a peer which digests this node has, those older than maximumAge left out. now is the base of the offsets.
func (table *Table) Known(now time.Time, maximumAge time.Duration) *controlv1.ExchangeRequest {
	replicas := table.List()
	request := &controlv1.ExchangeRequest{Base: uint64(now.UnixMilli())}
	for _, replica := range replicas {
		digest := replica.Digest()
		if !digest.fresh(now, maximumAge) {
			continue
		}
		request.Replicas = append(request.Replicas, Hash(digest.ID))
		request.Offsets = append(request.Offsets, offset(request.Base, digest.Sequence))
		if !slices.Contains(request.Holdings, digest.holding) {
			request.Holdings = append(request.Holdings, digest.holding)
		}
	}
	return request
}

// Newer returns the digests that are newer than those the peer has, those older than maximumAge left out. A digest whose
// sequence is ahead of the peer's clock is told by the peer as the base, and sent once more than needed.
func (table *Table) Newer(known *controlv1.ExchangeRequest, now time.Time, maximumAge time.Duration) *controlv1.ExchangeResponse {
	sequences := make(map[uint32]uint64, len(known.GetReplicas()))
	for index, hash := range known.GetReplicas() {
		if index < len(known.GetOffsets()) {
			sequences[hash] = known.GetBase() - uint64(known.GetOffsets()[index])
		}
	}
	var newer []*Digest
	for _, replica := range table.List() {
		digest := replica.Digest()
		if digest.fresh(now, maximumAge) && digest.Sequence > sequences[Hash(digest.ID)] {
			newer = append(newer, digest)
		}
	}
	return columns(newer, known.GetHoldings())
}

// columns writes digests side by side, with the holdings that the peer does not know.
func columns(digests []*Digest, knownHoldings []uint32) *controlv1.ExchangeResponse {
	response := &controlv1.ExchangeResponse{}
	for _, digest := range digests {
		response.Base = max(response.Base, digest.Sequence)
	}
	defined := slices.Clone(knownHoldings)
	for _, digest := range digests {
		response.Replicas = append(response.Replicas, Hash(digest.ID))
		response.Offsets = append(response.Offsets, offset(response.Base, digest.Sequence))
		response.Running = append(response.Running, uint32(digest.Running))
		response.Queued = append(response.Queued, uint32(digest.Queued))
		response.Capacity = append(response.Capacity, uint32(digest.Capacity))
		response.Flags = append(response.Flags, digest.flags())
		response.Holdings = append(response.Holdings, digest.holding)
		if !slices.Contains(defined, digest.holding) {
			defined = append(defined, digest.holding)
			response.Definitions = append(response.Definitions, &controlv1.Holding{Fingerprint: digest.holding, Held: digest.Held})
		}
	}
	return response
}

func (digest *Digest) flags() uint32 {
	flags := uint32(0)
	if digest.Leaving {
		flags |= flagLeaving
	}
	if digest.Failed {
		flags |= flagFailed
	}
	return flags
}

// Merge offers a peer's answer and returns the digests whose flags changed by it. Digests of replicas that are not on the machine
// list known here, and of holdings that nobody has defined, are passed over: they come again.
func (table *Table) Merge(response *controlv1.ExchangeResponse, list *machines.List, now time.Time) []*Digest {
	if !columnsAgree(response) {
		return nil
	}
	for _, definition := range response.GetDefinitions() {
		table.held.Store(definition.GetFingerprint(), definition.GetHeld())
	}
	listed := table.index(list)
	var changed []*Digest
	for index, hash := range response.GetReplicas() {
		machine, onList := listed[hash]
		stored, defined := table.held.Load(response.GetHoldings()[index])
		if !onList || !defined {
			continue
		}
		held := stored.([]*controlv1.HeldVersion)
		flags := response.GetFlags()[index]
		digest := Digest{
			holding: response.GetHoldings()[index],
			ID:      machine.ID, Address: machine.Address, Zone: machine.Zone,
			Sequence: response.GetBase() - uint64(response.GetOffsets()[index]),
			Running:  int(response.GetRunning()[index]), Queued: int(response.GetQueued()[index]), Capacity: int(response.GetCapacity()[index]),
			Leaving: flags&flagLeaving != 0, Failed: flags&flagFailed != 0, Held: held,
		}
		if table.Offer(digest, now) == NewsFlags {
			changed = append(changed, &digest)
		}
	}
	return changed
}

// Pushed returns the message that brings digests to peers that may know none of what they hold.
func Pushed(digests []*Digest) *controlv1.ExchangeResponse {
	return columns(digests, nil)
}

// columnsAgree reports whether all columns have one entry for each replica.
func columnsAgree(response *controlv1.ExchangeResponse) bool {
	rows := len(response.GetReplicas())
	for _, column := range [][]uint32{response.GetOffsets(), response.GetRunning(), response.GetQueued(), response.GetCapacity(), response.GetFlags(), response.GetHoldings()} {
		if len(column) != rows {
			return false
		}
	}
	return true
}

// machineIndex finds the machines of a list by the hash of their identifiers.
type machineIndex struct {
	list   *machines.List
	byHash map[uint32]machines.Machine
}

// index returns the machines of a list by hash; the index of the last list is kept.
func (table *Table) index(list *machines.List) map[uint32]machines.Machine {
	if present := table.machines.Load(); present != nil && present.list == list {
		return present.byHash
	}
	made := &machineIndex{list: list, byHash: make(map[uint32]machines.Machine, len(list.Machines))}
	for _, machine := range list.Machines {
		made.byHash[Hash(machine.ID)] = machine
	}
	table.machines.Store(made)
	return made.byHash
}
