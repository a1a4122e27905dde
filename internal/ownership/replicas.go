// Package ownership manages the partitions of a node: it serves the replicas that the node holds, takes over partitions
// without a live owner, and passes each owned partition to its handler.
package ownership

import (
	"context"
	"sync"

	"github.com/twitchtv/twirp"

	controlv1 "github.com/thistlewalk/thistlewalk/api/control/v1"
	"github.com/thistlewalk/thistlewalk/internal/partition"
	"github.com/thistlewalk/thistlewalk/internal/peers"
)

// LocalReplicas holds the partition replicas of this node. It implements the Twirp service Partition and is safe for
// concurrent use.
type LocalReplicas struct {
	storage  partition.Storage // nil on nodes without a data folder
	storeID  string            // replica identity of the storage; empty if storage is nil
	memoryID string            // replica identity of this process, for replicas in memory
	mu       sync.Mutex
	replicas map[partition.Name]*partition.Replica
}

// NewLocalReplicas returns the replicas of a node. storage is nil on nodes without a data folder.
func NewLocalReplicas(storage partition.Storage, storeID, memoryID string) *LocalReplicas {
	return &LocalReplicas{storage: storage, storeID: storeID, memoryID: memoryID, replicas: make(map[partition.Name]*partition.Replica)}
}

// ReplicaID returns the identity of this node's replicas of a kind, or "" if the node cannot hold any.
func (localReplicas *LocalReplicas) ReplicaID(kind partition.Kind) string {
	if kind == partition.KindSteps {
		return localReplicas.storeID
	}
	return localReplicas.memoryID
}

// replica returns the replica of a partition, and an error if replicaID is not the identity of this node's replica.
func (localReplicas *LocalReplicas) replica(name partition.Name, replicaID string) (*partition.Replica, error) {
	if replicaID == "" || replicaID != localReplicas.ReplicaID(name.Kind) {
		return nil, twirp.FailedPrecondition.Errorf("no copy %q of partition %s here", replicaID, name)
	}
	localReplicas.mu.Lock()
	defer localReplicas.mu.Unlock()
	replica, ok := localReplicas.replicas[name]
	if !ok {
		var storage partition.Storage
		if name.Kind == partition.KindSteps {
			storage = localReplicas.storage
		}
		replica = partition.NewReplica(name, storage)
		localReplicas.replicas[name] = replica
	}
	return replica, nil
}

// Promise implements the Twirp service.
func (localReplicas *LocalReplicas) Promise(_ context.Context, request *controlv1.PromiseRequest) (*controlv1.PromiseResponse, error) {
	replica, err := localReplicas.replica(nameFromMessage(request.GetPartition()), request.GetReplicaId())
	if err != nil {
		return nil, err
	}
	promise, err := replica.Promise(request.GetEpoch())
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &controlv1.PromiseResponse{Granted: promise.Granted, PromisedEpoch: promise.Epoch, Records: toRecords(promise.Registers)}, nil
}

// Append implements the Twirp service.
func (localReplicas *LocalReplicas) Append(_ context.Context, request *controlv1.AppendRequest) (*controlv1.AppendResponse, error) {
	replica, err := localReplicas.replica(nameFromMessage(request.GetPartition()), request.GetReplicaId())
	if err != nil {
		return nil, err
	}
	accepted, promised, err := replica.Append(partition.Write{
		Epoch: request.GetEpoch(), Registers: fromRecords(request.GetRecords()), RemovePrefixes: request.GetRemovePrefixes(),
		RemovalSequence: request.GetRemovalSequence(),
	})
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &controlv1.AppendResponse{Accepted: accepted, PromisedEpoch: promised}, nil
}

func nameFromMessage(message *controlv1.PartitionName) partition.Name {
	return partition.Name{Kind: partition.Kind(message.GetKind()), Index: message.GetIndex()}
}

func toRecords(registers []partition.Register) []*controlv1.Record {
	records := make([]*controlv1.Record, 0, len(registers))
	for _, register := range registers {
		records = append(records, &controlv1.Record{Key: register.Key, Epoch: register.Epoch, Sequence: register.Sequence, Value: register.Value})
	}
	return records
}

func fromRecords(records []*controlv1.Record) []partition.Register {
	registers := make([]partition.Register, 0, len(records))
	for _, record := range records {
		registers = append(registers, partition.Register{Key: record.GetKey(), Epoch: record.GetEpoch(), Sequence: record.GetSequence(), Value: record.GetValue()})
	}
	return registers
}

// twirpTransport implements partition.Transport over Twirp. It calls the node's own replicas directly.
type twirpTransport struct {
	own       *LocalReplicas
	ownID     string
	directory *peers.Directory
}

func nameToMessage(name partition.Name) *controlv1.PartitionName {
	return &controlv1.PartitionName{Kind: string(name.Kind), Index: name.Index}
}

func (transport twirpTransport) serviceAt(holder partition.Holder) controlv1.Partition {
	if holder.NodeID == transport.ownID {
		return transport.own
	}
	return transport.directory.At(holder.Address).Partition
}

// Promise implements partition.Transport.
func (transport twirpTransport) Promise(ctx context.Context, holder partition.Holder, name partition.Name, epoch uint64) (partition.Promise, error) {
	answer, err := transport.serviceAt(holder).Promise(ctx, &controlv1.PromiseRequest{Partition: nameToMessage(name), Epoch: epoch, ReplicaId: holder.ReplicaID})
	if err != nil {
		return partition.Promise{}, err
	}
	return partition.Promise{Granted: answer.GetGranted(), Epoch: answer.GetPromisedEpoch(), Registers: fromRecords(answer.GetRecords())}, nil
}

// Append implements partition.Transport.
func (transport twirpTransport) Append(ctx context.Context, holder partition.Holder, name partition.Name, write partition.Write) (bool, uint64, error) {
	answer, err := transport.serviceAt(holder).Append(ctx, &controlv1.AppendRequest{
		Partition: nameToMessage(name), Epoch: write.Epoch, ReplicaId: holder.ReplicaID,
		Records: toRecords(write.Registers), RemovePrefixes: write.RemovePrefixes, RemovalSequence: write.RemovalSequence,
	})
	if err != nil {
		return false, 0, err
	}
	return answer.GetAccepted(), answer.GetPromisedEpoch(), nil
}
