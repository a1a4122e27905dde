package replicaload

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/machines"
)

// Bits of the flags that nodes exchange for a digest.
const (
	flagLeaving = 1 << iota
	flagFailed
)

// Hash returns the short form of a replica's identifier that nodes exchange.
func Hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// Fingerprint returns the short form of the versions that a replica holds.
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

// offset returns how far a sequence is behind the base, saturated to 32 bits. A sequence ahead of the base has offset 0.
func offset(base, sequence uint64) uint32 {
	if sequence >= base {
		return 0
	}
	return uint32(min(base-sequence, math.MaxUint32))
}

// isFresh reports whether a digest is recent enough to be exchanged.
func (digest *Digest) isFresh(now time.Time, maxAge time.Duration) bool {
	return now.Sub(digest.received) <= maxAge
}

// Known returns a request that lists the digests of this node which are not older than maxAge. Offsets are relative to
// now.
func (table *Table) Known(now time.Time, maxAge time.Duration) *controlv1.ExchangeRequest {
	replicas := table.List()
	request := &controlv1.ExchangeRequest{Base: uint64(now.UnixMilli())}
	for _, replica := range replicas {
		digest := replica.Digest()
		if !digest.isFresh(now, maxAge) {
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

// Newer returns the digests that are newer than those listed by a peer and not older than maxAge. A digest whose
// sequence is ahead of the peer's clock is listed at the base, and is therefore sent again although the peer has it.
func (table *Table) Newer(known *controlv1.ExchangeRequest, now time.Time, maxAge time.Duration) *controlv1.ExchangeResponse {
	sequences := make(map[uint32]uint64, len(known.GetReplicas()))
	for index, hash := range known.GetReplicas() {
		if index < len(known.GetOffsets()) {
			sequences[hash] = known.GetBase() - uint64(known.GetOffsets()[index])
		}
	}
	var newer []*Digest
	for _, replica := range table.List() {
		digest := replica.Digest()
		if digest.isFresh(now, maxAge) && digest.Sequence > sequences[Hash(digest.ID)] {
			newer = append(newer, digest)
		}
	}
	return encodeColumns(newer, known.GetHoldings())
}

// encodeColumns encodes digests by column, and defines the holdings that the peer does not know.
func encodeColumns(digests []*Digest, knownHoldings []uint32) *controlv1.ExchangeResponse {
	response := &controlv1.ExchangeResponse{}
	for _, digest := range digests {
		response.Base = max(response.Base, digest.Sequence)
	}
	sent := slices.Clone(knownHoldings)
	for _, digest := range digests {
		response.Replicas = append(response.Replicas, Hash(digest.ID))
		response.Offsets = append(response.Offsets, offset(response.Base, digest.Sequence))
		response.Running = append(response.Running, uint32(digest.Running))
		response.Queued = append(response.Queued, uint32(digest.Queued))
		response.Capacity = append(response.Capacity, uint32(digest.Capacity))
		response.Flags = append(response.Flags, digest.flags())
		response.Holdings = append(response.Holdings, digest.holding)
		if !slices.Contains(sent, digest.holding) {
			sent = append(sent, digest.holding)
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

// Merge offers the digests of a peer's response to the table and returns those that changed a replica's flags. It skips
// digests of replicas that are not in the machine list of this node, and of holdings without a definition; a later
// exchange brings them again.
func (table *Table) Merge(response *controlv1.ExchangeResponse, list *machines.List, now time.Time) []*Digest {
	if !columnsAgree(response) {
		return nil
	}
	for _, definition := range response.GetDefinitions() {
		table.holdings.Store(definition.GetFingerprint(), definition.GetHeld())
	}
	listed := table.index(list)
	var changed []*Digest
	for index, hash := range response.GetReplicas() {
		machine, onList := listed[hash]
		stored, defined := table.holdings.Load(response.GetHoldings()[index])
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
		if table.Offer(digest, now) == ChangeFlags {
			changed = append(changed, &digest)
		}
	}
	return changed
}

// Pushed returns a message with digests and the definitions of all their holdings, for peers that may lack them.
func Pushed(digests []*Digest) *controlv1.ExchangeResponse {
	return encodeColumns(digests, nil)
}

func columnsAgree(response *controlv1.ExchangeResponse) bool {
	rows := len(response.GetReplicas())
	for _, column := range [][]uint32{response.GetOffsets(), response.GetRunning(), response.GetQueued(), response.GetCapacity(), response.GetFlags(), response.GetHoldings()} {
		if len(column) != rows {
			return false
		}
	}
	return true
}

// machineIndex maps hashed identifiers to the machines of a list.
type machineIndex struct {
	list   *machines.List
	byHash map[uint32]machines.Machine
}

// index returns the machines of a list by hashed identifier. The index of the most recent list is cached.
func (table *Table) index(list *machines.List) map[uint32]machines.Machine {
	if cached := table.machines.Load(); cached != nil && cached.list == list {
		return cached.byHash
	}
	built := &machineIndex{list: list, byHash: make(map[uint32]machines.Machine, len(list.Machines))}
	for _, machine := range list.Machines {
		built.byHash[Hash(machine.ID)] = machine
	}
	table.machines.Store(built)
	return built.byHash
}
