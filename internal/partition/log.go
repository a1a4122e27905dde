package partition

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/thistlewalk/thistlewalk/internal/lock"
	"github.com/thistlewalk/thistlewalk/internal/result"
)

// Transport sends requests to the replicas of a partition, including the local one.
type Transport interface {
	Promise(ctx context.Context, holder Holder, name Name, epoch uint64) (Promise, error)
	// Append reports whether the replica accepted the write, and returns the epoch that the replica has promised.
	Append(ctx context.Context, holder Holder, name Name, write Write) (bool, uint64, error)
}

// ErrDeposed means that a replica has promised a greater epoch, so this node no longer owns the partition.
var ErrDeposed = errors.New("a greater epoch owns the partition")

// ErrNoQuorum means that fewer replicas than a quorum responded. A failed write may still be stored on some of them.
var ErrNoQuorum = errors.New("too few replicas answered")

// Log is the write path of an owner at one epoch. A failed write may be stored on some replicas, so after an error of
// Append the log refuses all further writes and the owner must recover the partition with a new log. It is safe for
// concurrent use.
type Log struct {
	name      Name
	epoch     uint64
	replicas  []Holder
	transport Transport
	timeout   time.Duration

	writing  lock.Lock // serializes appends; held during calls to replicas
	sequence uint64    // guarded by writing

	mu     sync.Mutex // guards the fields below
	failed error
	behind map[string]Holder // by ReplicaID: replicas that missed a write
}

// Recovery holds the parameters of Recover.
type Recovery struct {
	Name  Name
	Epoch uint64
	// From are the replicas that the registers are read from, To the replicas that they are written to.
	From, To []Holder
	// AfterSequence is the last sequence of the previous log at the same epoch, or zero at a new epoch. An unreachable
	// replica may hold a failed write of that log, and every later write must win over it.
	AfterSequence uint64
	Timeout       time.Duration
}

// Recover collects promises at the epoch from a read quorum of recovery.From, merges the registers of these replicas, and
// writes them to a write quorum of recovery.To. It returns the new log and the registers by key.
func Recover(ctx context.Context, recovery Recovery, transport Transport) (*Log, map[string]Register, error) {
	name, epoch, timeout := recovery.Name, recovery.Epoch, recovery.Timeout
	from, to := recovery.From, recovery.To
	registerSets, err := collectPromises(ctx, name, epoch, from, ReadQuorum(len(from)), transport, timeout)
	if err != nil {
		return nil, nil, err
	}
	registers := Merge(registerSets...)
	log := &Log{name: name, epoch: epoch, replicas: to, transport: transport, timeout: timeout, writing: lock.New(), behind: make(map[string]Holder)}
	log.sequence = recovery.AfterSequence
	for _, register := range registers {
		if register.Epoch == epoch {
			log.sequence = max(log.sequence, register.Sequence)
		}
	}
	// The rewrite makes the new replicas refuse older epochs, even if there are no registers to write.
	if err := log.rewrite(ctx, registers); err != nil {
		return nil, nil, err
	}
	return log, registers, nil
}

// collectPromises requests a promise from all holders and returns the registers of those that grant it. It returns an error
// if fewer than quorum do.
func collectPromises(ctx context.Context, name Name, epoch uint64, holders []Holder, quorum int, transport Transport, timeout time.Duration) ([][]Register, error) {
	if len(holders) == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type response struct {
		promise Promise
		err     error
	}
	responses := make(chan response, len(holders))
	for _, holder := range holders {
		go func() {
			promise, err := transport.Promise(ctx, holder, name, epoch)
			responses <- response{promise, err}
		}()
	}
	var registerSets [][]Register
	var failures error
	for range holders {
		received := <-responses
		switch {
		case received.err != nil:
			failures = errors.CombineErrors(failures, received.err)
		case !received.promise.Granted:
			return nil, errors.Wrapf(ErrDeposed, "promised epoch %d, asked %d", received.promise.Epoch, epoch)
		default:
			registerSets = append(registerSets, received.promise.Registers)
		}
		if len(registerSets) == len(holders) {
			return registerSets, nil
		}
	}
	if len(registerSets) < quorum {
		return nil, errors.Wrapf(errors.CombineErrors(ErrNoQuorum, failures), "%d promises of %d", len(registerSets), quorum)
	}
	return registerSets, nil
}

// rewrite stores all registers again under the log's epoch.
func (log *Log) rewrite(ctx context.Context, registers map[string]Register) error {
	keys := make([]string, 0, len(registers))
	for key := range registers {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	values := make([]Value, 0, len(keys))
	for _, key := range keys {
		values = append(values, Value{Key: key, Value: registers[key].Value})
	}
	return log.Append(ctx, values, nil)
}

// Value is a key and the content to store under it.
type Value struct {
	Key   string
	Value []byte
}

// Epoch returns the epoch of all writes of the log.
func (log *Log) Epoch() uint64 { return log.epoch }

// errRetired marks a log whose owner recovers the partition at the same epoch.
var errRetired = errors.New("the owner recovers")

// Retire waits for the append in progress, makes the log refuse further writes, and returns its last sequence. Call it
// before a recovery at the same epoch: replicas cannot distinguish the writes of two logs of one epoch, so the recovery
// would lose a write that this log stores after the registers have been collected.
func (log *Log) Retire(ctx context.Context) (uint64, error) {
	if err := log.writing.Acquire(ctx); err != nil {
		return 0, err
	}
	defer log.writing.Release()
	log.mu.Lock()
	defer log.mu.Unlock()
	if log.failed == nil {
		log.failed = errRetired
	}
	return log.sequence, nil
}

// Replicas returns the replicas that the log writes to.
func (log *Log) Replicas() []Holder { return log.replicas }

// Append removes keys by prefix and then stores values, on a write quorum. Without values and prefixes it only confirms
// that no replica of a write quorum has promised a greater epoch. Concurrent appends are serialized.
func (log *Log) Append(ctx context.Context, values []Value, removePrefixes []string) error {
	if err := log.writing.Acquire(ctx); err != nil {
		return result.New(result.NotRunNoOwner, "partition %s is busy: %v", log.name, err)
	}
	defer log.writing.Release()
	if failure := log.Failed(); failure != nil {
		return result.New(result.NotRunNoOwner, "partition %s recovers after: %v", log.name, failure)
	}
	write := Write{Epoch: log.epoch, RemovePrefixes: removePrefixes, Registers: make([]Register, 0, len(values))}
	if len(removePrefixes) > 0 {
		log.sequence++
		write.RemovalSequence = log.sequence
	}
	for _, value := range values {
		log.sequence++
		write.Registers = append(write.Registers, Register{Key: value.Key, Epoch: log.epoch, Sequence: log.sequence, Value: value.Value})
	}
	err := log.store(ctx, write)
	if err != nil {
		log.mu.Lock()
		log.failed = err
		log.mu.Unlock()
	}
	return err
}

type appendResponse struct {
	holder   Holder
	accepted bool
	epoch    uint64
	err      error
}

// store sends a write to all replicas and returns once a write quorum has stored it. It ignores the caller's deadline,
// because a write that is cut short forces a recovery. The caller must hold writing.
func (log *Log) store(ctx context.Context, write Write) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), log.timeout)
	responses := make(chan appendResponse, len(log.replicas))
	var pending sync.WaitGroup
	for _, holder := range log.replicas {
		pending.Go(func() {
			accepted, epoch, err := log.transport.Append(ctx, holder, log.name, write)
			responses <- appendResponse{holder, accepted, epoch, err}
		})
	}
	go func() {
		pending.Wait()
		cancel()
	}()
	return log.awaitQuorum(responses)
}

// awaitQuorum returns once a write quorum has stored the write and the number of responses has reached the number of
// replicas that are not behind. It ignores later responses; the next write detects a replica that continues to fail. The
// caller must hold writing.
func (log *Log) awaitQuorum(responses <-chan appendResponse) error {
	stored := 0
	var failures error
	for seen := 0; seen < len(log.replicas); seen++ {
		response := <-responses
		switch {
		case response.err != nil:
			failures = errors.CombineErrors(failures, response.err)
			log.markBehind(response.holder)
		case !response.accepted:
			return errors.Wrapf(ErrDeposed, "replica on %s promised epoch %d", response.holder.NodeID, response.epoch)
		default:
			stored++
		}
		if stored >= WriteQuorum(len(log.replicas)) && seen+1 >= len(log.replicas)-len(log.Behind()) {
			return nil
		}
	}
	if stored >= WriteQuorum(len(log.replicas)) {
		return nil
	}
	return errors.Wrapf(errors.CombineErrors(ErrNoQuorum, failures), "%d stored of %d", stored, WriteQuorum(len(log.replicas)))
}

func (log *Log) markBehind(holder Holder) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.behind[holder.ReplicaID] = holder
}

// Failed returns the error that stopped the log, or nil if the log accepts writes.
func (log *Log) Failed() error {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.failed
}

// Behind returns the replicas that missed a write.
func (log *Log) Behind() []Holder {
	log.mu.Lock()
	defer log.mu.Unlock()
	holders := make([]Holder, 0, len(log.behind))
	for _, holder := range log.behind {
		holders = append(holders, holder)
	}
	return holders
}
