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

// Transport reaches the copies of a partition, the local one included.
type Transport interface {
	Promise(ctx context.Context, holder Holder, name Name, epoch uint64) (Promise, error)
	// Append returns whether the write was accepted and the epoch that the replica is bound to.
	Append(ctx context.Context, holder Holder, name Name, write Write) (bool, uint64, error)
}

// ErrDeposed means that a replica has promised a greater epoch: this owner is owner no more.
var ErrDeposed = errors.New("a greater epoch owns the partition")

// ErrNoQuorum means that too few replicas answered. A write may still be stored on some.
var ErrNoQuorum = errors.New("too few replicas answered")

// Log is an owner's write path at one epoch. After an error of Append the owner must recover again before it goes on,
// since the failed write may surface later; Append refuses until then. It is safe for concurrent use.
type Log struct {
	name      Name
	epoch     uint64
	replicas  []Holder
	transport Transport
	timeout   time.Duration

	writing  lock.Lock // one append at a time; held over calls to replicas
	sequence uint64    // guarded by writing

	mu     sync.Mutex // guards what follows
	failed error
	behind map[string]Holder // by ReplicaID: copies that missed a write
}

// Recovery names what to recover.
type Recovery struct {
	Name  Name
	Epoch uint64
	// From are the replicas that hold the registers, To those that will.
	From, To []Holder
	// AfterSequence is the last sequence of an earlier log at the same epoch, zero at a new one: a write of that log that
	// failed may lie on a replica that does not answer now, and must lose against every write from here on.
	AfterSequence uint64
	Timeout       time.Duration
}

// Recover collects promises at the epoch from a read quorum of the old replicas, merges their registers, writes them to a
// write quorum of the new replicas, and returns the log and the registers by key.
func Recover(ctx context.Context, recovery Recovery, transport Transport) (*Log, map[string]Register, error) {
	name, epoch, timeout := recovery.Name, recovery.Epoch, recovery.Timeout
	from, to := recovery.From, recovery.To
	copies, err := collect(ctx, name, epoch, from, ReadQuorum(len(from)), transport, timeout)
	if err != nil {
		return nil, nil, err
	}
	registers := Merge(copies...)
	log := &Log{name: name, epoch: epoch, replicas: to, transport: transport, timeout: timeout, writing: lock.New(), behind: make(map[string]Holder)}
	log.sequence = recovery.AfterSequence
	for _, register := range registers {
		if register.Epoch == epoch {
			log.sequence = max(log.sequence, register.Sequence)
		}
	}
	// One promise of each new replica makes it refuse older epochs even when there is nothing to write.
	if err := log.rewrite(ctx, registers); err != nil {
		return nil, nil, err
	}
	return log, registers, nil
}

// collect asks all holders for a promise and returns the registers of at least quorum of them.
func collect(ctx context.Context, name Name, epoch uint64, holders []Holder, quorum int, transport Transport, timeout time.Duration) ([][]Register, error) {
	if len(holders) == 0 {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	type answer struct {
		promise Promise
		err     error
	}
	answers := make(chan answer, len(holders))
	for _, holder := range holders {
		go func() {
			promise, err := transport.Promise(ctx, holder, name, epoch)
			answers <- answer{promise, err}
		}()
	}
	var copies [][]Register
	var failures error
	for range holders {
		got := <-answers
		switch {
		case got.err != nil:
			failures = errors.CombineErrors(failures, got.err)
		case !got.promise.Granted:
			return nil, errors.Wrapf(ErrDeposed, "promised epoch %d, asked %d", got.promise.Epoch, epoch)
		default:
			copies = append(copies, got.promise.Registers)
		}
		if len(copies) == len(holders) {
			return copies, nil
		}
	}
	if len(copies) < quorum {
		return nil, errors.Wrapf(errors.CombineErrors(ErrNoQuorum, failures), "%d promises of %d", len(copies), quorum)
	}
	return copies, nil
}

// rewrite stores all registers anew under the log's epoch.
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

// Value is a key and what to store under it.
type Value struct {
	Key   string
	Value []byte
}

// Epoch returns the epoch that every write carries.
func (log *Log) Epoch() uint64 { return log.epoch }

// errRetired stops a log whose owner recovers at the same epoch.
var errRetired = errors.New("the owner recovers")

// Retire stops the log for good, once no append is under way, and returns the last sequence that it used. It must come
// before a recovery at the same epoch: replicas cannot tell the writes of two logs of one epoch apart, and a write of this
// one that is accepted after the registers were collected would be forgotten.
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

// Replicas returns the copies that writes go to.
func (log *Log) Replicas() []Holder { return log.replicas }

// Append stores values, and removes keys by prefix before, on a write quorum. With no values it only confirms that the
// epoch is still in force at a write quorum. Appends of one log are stored one after the other.
func (log *Log) Append(ctx context.Context, values []Value, removePrefixes []string) error {
	if err := log.writing.Acquire(ctx); err != nil {
		return result.New(result.NotRunNoOwner, "partition %s is busy: %v", log.name, err)
	}
	defer log.writing.Release()
	if failure := log.Failed(); failure != nil {
		return result.New(result.NotRunNoOwner, "partition %s recovers after: %v", log.name, failure)
	}
	write := Write{Epoch: log.epoch, RemovePrefixes: removePrefixes, Registers: make([]Register, 0, len(values))}
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

type appendAnswer struct {
	holder   Holder
	accepted bool
	epoch    uint64
	err      error
}

// store sends a write to all replicas and returns once a write quorum has it. The caller's own deadline does not cut a
// write short: half a write forces a recovery. Must hold writing.
func (log *Log) store(ctx context.Context, write Write) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), log.timeout)
	answers := make(chan appendAnswer, len(log.replicas))
	var pending sync.WaitGroup
	for _, holder := range log.replicas {
		pending.Go(func() {
			accepted, epoch, err := log.transport.Append(ctx, holder, log.name, write)
			answers <- appendAnswer{holder, accepted, epoch, err}
		})
	}
	go func() {
		pending.Wait()
		cancel()
	}()
	return log.count(answers)
}

// count waits for a write quorum. Answers that come later are looked at by nobody; a copy that fails among those is
// found by the next write. Must hold writing.
func (log *Log) count(answers <-chan appendAnswer) error {
	stored := 0
	var failures error
	for seen := 0; seen < len(log.replicas); seen++ {
		answer := <-answers
		switch {
		case answer.err != nil:
			failures = errors.CombineErrors(failures, answer.err)
			log.noteBehind(answer.holder)
		case !answer.accepted:
			return errors.Wrapf(ErrDeposed, "replica on %s promised epoch %d", answer.holder.NodeID, answer.epoch)
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

func (log *Log) noteBehind(holder Holder) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.behind[holder.ReplicaID] = holder
}

// Failed returns the error that stopped the log, nil while it works.
func (log *Log) Failed() error {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.failed
}

// Behind returns the copies that missed a write.
func (log *Log) Behind() []Holder {
	log.mu.Lock()
	defer log.mu.Unlock()
	holders := make([]Holder, 0, len(log.behind))
	for _, holder := range log.behind {
		holders = append(holders, holder)
	}
	return holders
}
