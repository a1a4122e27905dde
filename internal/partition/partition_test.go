package partition

import (
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var errLost = errors.New("lost")

// messageOutcome is the outcome of one request to a replica.
type messageOutcome int

const (
	outcomeDelivered messageOutcome = iota
	outcomeRequestLost
	outcomeResponseLost
)

// lossyTransport is a Transport to replicas in memory. The function next chooses the outcome of each request.
type lossyTransport struct {
	replicas map[string]*Replica
	next     func(label string) messageOutcome
}

func (transport *lossyTransport) Promise(_ context.Context, holder Holder, _ Name, epoch uint64) (Promise, error) {
	outcome := transport.next("promise to " + holder.ReplicaID)
	if outcome == outcomeRequestLost {
		return Promise{}, errLost
	}
	promise, err := transport.replicas[holder.ReplicaID].Promise(epoch)
	if outcome == outcomeResponseLost {
		return Promise{}, errLost
	}
	return promise, err
}

func (transport *lossyTransport) Append(_ context.Context, holder Holder, _ Name, write Write) (bool, uint64, error) {
	outcome := transport.next("append to " + holder.ReplicaID)
	if outcome == outcomeRequestLost {
		return false, 0, errLost
	}
	accepted, epoch, err := transport.replicas[holder.ReplicaID].Append(write)
	if outcome == outcomeResponseLost {
		return false, 0, errLost
	}
	return accepted, epoch, err
}

// operation is the input of an entry of the history: the write of a value, or a read by a recovery.
type operation struct {
	write bool
	value string
}

// registerModel is a single register: a read returns the value of the last write, or the empty string before any write.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		request := input.(operation)
		if request.write {
			return true, request.value
		}
		return output.(string) == state.(string), state
	},
}

// Guards against lost and resurrected writes: the register stays linearizable while owners recover at increasing epochs
// over a lossy transport and deposed owners continue to write.
func TestOwnersHistoryIsLinearizable(t *testing.T) {
	rapid.Check(t, func(draw *rapid.T) {
		count := rapid.IntRange(1, 3).Draw(draw, "replicas")
		transport := &lossyTransport{replicas: make(map[string]*Replica)}
		var holders []Holder
		name := Name{Kind: KindSteps}
		for index := range count {
			id := fmt.Sprintf("replica-%d", index)
			transport.replicas[id] = NewReplica(name, nil)
			holders = append(holders, Holder{NodeID: id, ReplicaID: id})
		}
		// An append returns at a quorum, so requests to other replicas may still be in flight during the next action.
		var mu sync.Mutex
		outcomes := make(map[string]messageOutcome)
		transport.next = func(label string) messageOutcome {
			mu.Lock()
			defer mu.Unlock()
			return outcomes[label[len(label)-1:]]
		}
		var owners []*Log
		var history []porcupine.Operation
		var written int
		clock := int64(0)
		record := func(input operation, output string, certain bool) {
			clock += 2
			end := clock + 1
			if !certain {
				end = math.MaxInt64
			}
			history = append(history, porcupine.Operation{ClientId: len(history), Input: input, Call: clock, Output: output, Return: end})
		}
		for range rapid.IntRange(1, 12).Draw(draw, "actions") {
			mu.Lock()
			for index := range count {
				outcomes[fmt.Sprint(index)] = messageOutcome(rapid.IntRange(0, 2).Draw(draw, "outcome"))
				if rapid.Bool().Draw(draw, "delivered") {
					outcomes[fmt.Sprint(index)] = outcomeDelivered
				}
			}
			mu.Unlock()
			if len(owners) == 0 || rapid.Bool().Draw(draw, "recover") {
				recovery := Recovery{Name: name, Epoch: uint64(len(history) + 1), From: holders, To: holders, Timeout: time.Second}
				if len(owners) > 0 && rapid.Bool().Draw(draw, "same epoch") {
					// The newest owner recovers at its own epoch, as it does after a failed write.
					previous := owners[len(owners)-1]
					recovery.Epoch = previous.Epoch()
					var err error
					recovery.AfterSequence, err = previous.Retire(context.Background())
					must.NoError(draw, err)
					owners = owners[:len(owners)-1]
				}
				owner, registers, err := Recover(context.Background(), recovery, transport)
				if err != nil {
					continue
				}
				owners = append(owners, owner)
				record(operation{}, string(registers["key"].Value), true)
				continue
			}
			owner := owners[rapid.IntRange(0, len(owners)-1).Draw(draw, "owner")]
			written++
			value := fmt.Sprint(written)
			values := []Value{{Key: "key", Value: []byte(value)}}
			for range rapid.IntRange(0, 4).Draw(draw, "others before") {
				values = append([]Value{{Key: fmt.Sprint("other-", len(values))}}, values...)
			}
			err := owner.Append(context.Background(), values, nil)
			record(operation{write: true, value: value}, "", err == nil)
		}
		if !porcupine.CheckOperations(registerModel, history) {
			draw.Fatalf("not linearizable: %+v", history)
		}
	})
}

// Guards against reuse of sequences: after a recovery at the same epoch without the replica that stored a failed write,
// an accepted value must win over the failed one.
func TestAFailedWriteLosesAgainstThoseAfterARecoveryAtTheSameEpoch(t *testing.T) {
	ctx := context.Background()
	down := make(map[string]bool)
	transport := &lossyTransport{replicas: make(map[string]*Replica)}
	var holders []Holder
	for _, id := range []string{"a", "b", "c"} {
		transport.replicas[id] = NewReplica(Name{Kind: KindSteps}, nil)
		holders = append(holders, Holder{NodeID: id, ReplicaID: id})
	}
	var mu sync.Mutex
	transport.next = func(label string) messageOutcome {
		mu.Lock()
		defer mu.Unlock()
		if down[label[len(label)-1:]] {
			return outcomeRequestLost
		}
		return outcomeDelivered
	}
	only := func(up ...string) {
		mu.Lock()
		defer mu.Unlock()
		for _, holder := range holders {
			down[holder.ReplicaID] = !slices.Contains(up, holder.ReplicaID)
		}
	}
	recovery := Recovery{Name: Name{Kind: KindSteps}, Epoch: 1, From: holders, To: holders, Timeout: time.Second}
	first, _, err := Recover(ctx, recovery, transport)
	must.NoError(t, err)
	only("c")
	failed := []Value{{Key: "1"}, {Key: "2"}, {Key: "3"}, {Key: "batch", Value: []byte("failed")}}
	must.ErrorIs(t, first.Append(ctx, failed, nil), ErrNoQuorum)
	only("a", "b")
	recovery.AfterSequence, err = first.Retire(ctx)
	must.NoError(t, err)
	second, _, err := Recover(ctx, recovery, transport)
	must.NoError(t, err)
	only("a", "c")
	must.NoError(t, second.Append(ctx, []Value{{Key: "batch", Value: []byte("accepted")}}, nil))
	only("b", "c")
	recovery.Epoch, recovery.AfterSequence = 2, 0
	_, registers, err := Recover(ctx, recovery, transport)
	must.NoError(t, err)
	must.Eq(t, "accepted", string(registers["batch"].Value))
}

func TestQuorumsMeet(t *testing.T) {
	for count := 1; count <= 9; count++ {
		must.Greater(t, count, ReadQuorum(count)+WriteQuorum(count), must.Sprintf("%d replicas", count))
	}
	must.Eq(t, 2, WriteQuorum(3))
	must.Eq(t, 2, WriteQuorum(2))
}

func TestOldEpochIsRefusedAndOldRegisterLoses(t *testing.T) {
	replica := NewReplica(Name{Kind: KindSteps}, nil)
	accepted, _, err := replica.Append(Write{Epoch: 2, Registers: []Register{{Key: "a", Epoch: 2, Sequence: 5, Value: []byte("new")}}})
	must.NoError(t, err)
	must.True(t, accepted)
	accepted, epoch, err := replica.Append(Write{Epoch: 1, Registers: []Register{{Key: "a", Epoch: 1, Sequence: 9}}})
	must.NoError(t, err)
	must.False(t, accepted)
	must.Eq(t, 2, epoch)
	_, _, err = replica.Append(Write{Epoch: 2, Registers: []Register{{Key: "a", Epoch: 2, Sequence: 4, Value: []byte("late")}}})
	must.NoError(t, err)
	promise, err := replica.Promise(3)
	must.NoError(t, err)
	must.Eq(t, "new", string(promise.Registers[0].Value))
}

func TestCopiesAvoidTheOwnersZone(t *testing.T) {
	holder := func(id, zone string) Holder { return Holder{NodeID: id, ReplicaID: id, Zone: zone} }
	owner := holder("a1", "a")
	candidates := []Candidate{owner, holder("a2", "a"), holder("b1", "b"), holder("b2", "b"), holder("c1", "c")}
	for index := range uint32(Count) {
		chosen := ChooseReplicas(Name{Kind: KindSteps, Index: index}, owner, nil, candidates)
		must.Len(t, 3, chosen)
		must.Eq(t, "a1", chosen[0].NodeID)
		must.NotEq(t, chosen[1].Zone, chosen[2].Zone)
		must.NotEq(t, "a", chosen[1].Zone)
		must.NotEq(t, "a", chosen[2].Zone)
	}
	must.Len(t, 2, ChooseReplicas(Name{Kind: KindSteps}, owner, nil, []Candidate{owner, holder("b1", "b"), holder("a2", "a")}))
	must.Len(t, 2, ChooseReplicas(Name{Kind: KindSteps}, owner, nil, []Candidate{owner, holder("a2", "a")}))
}

func TestOnlyGoneOwnersAreReplaced(t *testing.T) {
	owner := Holder{NodeID: "n1", ReplicaID: "r1"}
	assignment := Assignment{Epoch: 3, Owner: owner, Replicas: []Holder{owner}}
	other := Holder{NodeID: "n2", ReplicaID: "r2"}
	must.False(t, NeedsTakeover(Table{}, assignment, []Candidate{owner, other}), must.Sprint("an expired lease alone does not cause a takeover"))
	must.False(t, NeedsTakeover(Table{Leases: []string{"n1"}}, assignment, []Candidate{other}), must.Sprint("an unreachable owner with a valid lease keeps its partition"))
	must.True(t, NeedsTakeover(Table{}, assignment, []Candidate{other}))
	must.True(t, NeedsTakeover(Table{Leases: []string{"n1"}}, assignment, []Candidate{{NodeID: "n1", ReplicaID: "fresh"}, other}))
}

func TestASetOfStoresDoesNotShrinkWithAbsences(t *testing.T) {
	holder := func(id, zone string) Holder { return Holder{NodeID: id, ReplicaID: id, Zone: zone} }
	a, b, c := holder("a", "1"), holder("b", "2"), holder("c", "3")
	present := []Holder{a, b, c}
	steps, claims := Name{Kind: KindSteps}, Name{Kind: KindClaims}
	must.Eq(t, []Holder{a, c, b}, RetainAbsentReplicas(steps, ChooseReplicas(steps, a, present, []Candidate{a, c}), present))
	must.Eq(t, []Holder{a, b, c}, RetainAbsentReplicas(steps, ChooseReplicas(steps, a, present, []Candidate{a}), present))
	replaced := RetainAbsentReplicas(steps, ChooseReplicas(steps, a, present, []Candidate{a, c, holder("d", "2")}), present)
	must.Len(t, 3, replaced)
	must.False(t, holdsReplica(replaced, b), must.Sprint("the new store replaces the absent one"))
	must.Eq(t, []Holder{a}, RetainAbsentReplicas(claims, ChooseReplicas(claims, a, present, []Candidate{a}), present), must.Sprint("absent replicas in memory are not retained"))
}

// Guards against a previous log that still accepts writes after a recovery at the same epoch has collected the registers:
// the recovery would lose these writes.
func TestALogThatIsRecoveredFromAcceptsNothingMore(t *testing.T) {
	transport := &lossyTransport{replicas: map[string]*Replica{"a": NewReplica(Name{Kind: KindSteps}, nil)}, next: func(string) messageOutcome { return outcomeDelivered }}
	holders := []Holder{{NodeID: "a", ReplicaID: "a"}}
	recovery := Recovery{Name: Name{Kind: KindSteps}, Epoch: 1, From: holders, To: holders, Timeout: time.Second}
	first, _, err := Recover(t.Context(), recovery, transport)
	must.NoError(t, err)
	must.NoError(t, first.Append(t.Context(), []Value{{Key: "k"}}, nil))
	sequence, err := first.Retire(t.Context())
	must.NoError(t, err)
	must.Eq(t, 1, sequence)
	must.Error(t, first.Append(t.Context(), []Value{{Key: "k"}}, nil))
}

// Guards against writes that a removal deletes although they were sent after it, and against removed keys that a late write
// brings back, in memory and on disk, whatever the order in which a replica receives them.
func TestRemovalsAndWritesInAnyOrder(t *testing.T) {
	writes := []Write{
		{Epoch: 2, Registers: []Register{{Key: "a/old", Epoch: 2, Sequence: 1, Value: []byte("old")}, {Key: "b/kept", Epoch: 2, Sequence: 2}}},
		{Epoch: 2, RemovePrefixes: []string{"a/"}, RemovalSequence: 3},
		{Epoch: 2, Registers: []Register{{Key: "a/new", Epoch: 2, Sequence: 4, Value: []byte("new")}}},
	}
	for _, order := range [][]int{{0, 1, 2}, {0, 2, 1}, {1, 0, 2}, {1, 2, 0}, {2, 0, 1}, {2, 1, 0}} {
		for _, storage := range []Storage{nil, &memoryStorage{}} {
			replica := NewReplica(Name{Kind: KindSteps}, storage)
			for _, index := range order {
				accepted, _, err := replica.Append(writes[index])
				must.NoError(t, err)
				must.True(t, accepted)
			}
			promise, err := replica.Promise(2)
			must.NoError(t, err)
			var keys []string
			for _, register := range promise.Registers {
				keys = append(keys, register.Key+"="+string(register.Value))
			}
			must.Eq(t, []string{"a/new=new", "b/kept="}, keys, must.Sprint(order, storage != nil))
		}
	}
}

// Guards against removals of an earlier build, which have no sequence, that delete nothing, and against remembered removals
// that outlast their epoch.
func TestRemovalsOfEarlierBuildsAndEpochs(t *testing.T) {
	replica := NewReplica(Name{Kind: KindSteps}, nil)
	append := func(write Write) {
		accepted, _, err := replica.Append(write)
		must.NoError(t, err)
		must.True(t, accepted)
	}
	left := func() int {
		promise, err := replica.Promise(replica.promised)
		must.NoError(t, err)
		return len(promise.Registers)
	}
	append(Write{Epoch: 1, Registers: []Register{{Key: "a/1", Epoch: 1, Sequence: 9}}})
	append(Write{Epoch: 1, RemovePrefixes: []string{"a/"}})
	must.Eq(t, 0, left())
	append(Write{Epoch: 1, RemovePrefixes: []string{"a/"}, RemovalSequence: 10})
	append(Write{Epoch: 2, Registers: []Register{{Key: "a/2", Epoch: 2, Sequence: 1}}})
	must.Eq(t, 1, left())
}

// memoryStorage is a Storage in memory that removes by prefix whatever the registers' sequences are.
type memoryStorage struct {
	promised  uint64
	registers map[string]Register
}

// Load implements Storage.
func (storage *memoryStorage) Load(Name) (uint64, []Register, error) {
	var list []Register
	for _, key := range slices.Sorted(maps.Keys(storage.registers)) {
		list = append(list, storage.registers[key])
	}
	return storage.promised, list, nil
}

// Save implements Storage.
func (storage *memoryStorage) Save(_ Name, promised uint64, removePrefixes []string, registers []Register) error {
	storage.promised = promised
	for _, prefix := range removePrefixes {
		maps.DeleteFunc(storage.registers, func(key string, _ Register) bool { return strings.HasPrefix(key, prefix) })
	}
	if storage.registers == nil {
		storage.registers = make(map[string]Register)
	}
	for _, register := range registers {
		storage.registers[register.Key] = register
	}
	return nil
}
