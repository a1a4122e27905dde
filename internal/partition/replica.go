package partition

import (
	"slices"
	"sort"
	"strings"
	"sync"
)

// Register is one replicated value. Of two registers with the same key, the one with the greater (Epoch, Sequence) wins.
type Register struct {
	Key      string `cbor:"1,keyasint"`
	Epoch    uint64 `cbor:"2,keyasint"`
	Sequence uint64 `cbor:"3,keyasint"`
	Value    []byte `cbor:"4,keyasint"`
}

// newer reports whether register wins over other.
func (register Register) newer(other Register) bool {
	if register.Epoch != other.Epoch {
		return register.Epoch > other.Epoch
	}
	return register.Sequence > other.Sequence
}

// Write is a set of changes that a replica stores atomically: it removes keys by prefix and then puts registers.
type Write struct {
	Epoch          uint64
	Registers      []Register
	RemovePrefixes []string
	// RemovalSequence orders the removal among the registers of the epoch: it removes those that are not newer. Zero, from
	// an earlier build, removes all.
	RemovalSequence uint64
}

// Storage is the durable state of replicas. Package samplestore implements it; a replica without storage is in memory.
type Storage interface {
	// Load returns the stored promise and registers of a partition.
	Load(name Name) (promised uint64, registers []Register, err error)
	// Save stores the promise, removes keys by prefix and then puts registers, all in one transaction.
	Save(name Name, promised uint64, removePrefixes []string, registers []Register) error
}

// Replica is one replica of a partition's registers. It is safe for concurrent use.
// Invariants: promised never decreases; every change is stored before the replica responds.
type Replica struct {
	name     Name
	storage  Storage // nil if the replica is in memory only
	mu       sync.Mutex
	loaded   bool
	promised uint64
	// registers are by key. With a storage they have no values; Promise reads these from the storage.
	registers map[string]Register
	removals  removals
}

// NewReplica returns the replica of a partition on the given storage, or in memory only if storage is nil.
func NewReplica(name Name, storage Storage) *Replica {
	return &Replica{name: name, storage: storage, registers: make(map[string]Register)}
}

// load reads the stored state once. The caller must hold mu.
func (replica *Replica) load() error {
	if replica.loaded || replica.storage == nil {
		return nil
	}
	promised, registers, err := replica.storage.Load(replica.name)
	if err != nil {
		return err
	}
	replica.promised = promised
	for _, register := range registers {
		replica.registers[register.Key] = replica.cached(register)
	}
	replica.loaded = true
	return nil
}

// cached returns the part of a register that stays in memory: without its value if the replica has a storage.
func (replica *Replica) cached(register Register) Register {
	if replica.storage != nil {
		register.Value = nil
	}
	return register
}

// save stores a change. The caller must hold mu.
func (replica *Replica) save(promised uint64, removePrefixes []string, registers []Register) error {
	if replica.storage == nil {
		return nil
	}
	return replica.storage.Save(replica.name, promised, removePrefixes, registers)
}

// Promise is the response of a replica. Epoch is the epoch that the replica has promised; Registers are set if Granted.
type Promise struct {
	Granted   bool
	Epoch     uint64
	Registers []Register
}

// Promise makes the replica refuse writes and promises at epochs smaller than the given one. It is not granted if the
// replica has already promised a greater epoch.
func (replica *Replica) Promise(epoch uint64) (Promise, error) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	if err := replica.load(); err != nil {
		return Promise{}, err
	}
	if epoch < replica.promised {
		return Promise{Epoch: replica.promised}, nil
	}
	if epoch > replica.promised {
		if err := replica.save(epoch, nil, nil); err != nil {
			return Promise{}, err
		}
		replica.promised = epoch
		replica.removals.reset()
	}
	registers, err := replica.sorted()
	return Promise{Granted: err == nil, Epoch: epoch, Registers: registers}, err
}

// sorted returns the registers with their values, ordered by key. The caller must hold mu.
func (replica *Replica) sorted() ([]Register, error) {
	if replica.storage != nil {
		_, stored, err := replica.storage.Load(replica.name)
		return stored, err
	}
	registers := make([]Register, 0, len(replica.registers))
	for _, register := range replica.registers {
		registers = append(registers, register)
	}
	sort.Slice(registers, func(i, j int) bool { return registers[i].Key < registers[j].Key })
	return registers, nil
}

// Append stores a write unless the replica has promised a greater epoch. It reports whether the write was accepted, and
// returns the promised epoch.
func (replica *Replica) Append(write Write) (bool, uint64, error) {
	replica.mu.Lock()
	defer replica.mu.Unlock()
	if err := replica.load(); err != nil {
		return false, 0, err
	}
	if write.Epoch < replica.promised {
		return false, replica.promised, nil
	}
	fresh := make([]Register, 0, len(write.Registers))
	for _, register := range write.Registers {
		present, ok := replica.registers[register.Key]
		overtaken := write.Epoch == replica.promised && replica.removals.cover(register)
		if (!ok || register.newer(present)) && !overtaken {
			fresh = append(fresh, register)
		}
	}
	removed, kept := replica.underPrefixes(write)
	preserved, err := replica.valuesOf(kept)
	if err != nil {
		return false, replica.promised, err
	}
	if err := replica.save(write.Epoch, write.RemovePrefixes, append(preserved, fresh...)); err != nil {
		return false, replica.promised, err
	}
	if write.Epoch > replica.promised {
		replica.removals.reset()
	}
	replica.promised = write.Epoch
	for _, key := range removed {
		delete(replica.registers, key)
	}
	replica.removals.add(write)
	for _, register := range fresh {
		replica.registers[register.Key] = replica.cached(register)
	}
	return true, replica.promised, nil
}

// underPrefixes returns the keys that a write removes, and those under its prefixes that it keeps because they were written
// after it. The caller must hold mu.
func (replica *Replica) underPrefixes(write Write) (removed []string, kept map[string]bool) {
	kept = make(map[string]bool)
	removal := Register{Epoch: write.Epoch, Sequence: write.RemovalSequence}
	for _, prefix := range write.RemovePrefixes {
		for key, register := range replica.registers {
			switch {
			case !strings.HasPrefix(key, prefix):
			case write.RemovalSequence > 0 && register.newer(removal):
				kept[key] = true
			default:
				removed = append(removed, key)
			}
		}
	}
	return removed, kept
}

// valuesOf returns registers with their values. The storage removes by prefix, so that registers which are kept must be put
// again. The caller must hold mu.
func (replica *Replica) valuesOf(keys map[string]bool) ([]Register, error) {
	if len(keys) == 0 || replica.storage == nil {
		return nil, nil
	}
	_, stored, err := replica.storage.Load(replica.name)
	return slices.DeleteFunc(stored, func(register Register) bool { return !keys[register.Key] }), err
}

// Merge returns the newest register of each key in several sets of registers.
func Merge(sets ...[]Register) map[string]Register {
	merged := make(map[string]Register)
	for _, registers := range sets {
		for _, register := range registers {
			if present, ok := merged[register.Key]; !ok || register.newer(present) {
				merged[register.Key] = register
			}
		}
	}
	return merged
}
