package batchrun

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	batchv1 "github.com/thistlewalk/thistlewalk/api/batch/v1"
	"github.com/thistlewalk/thistlewalk/internal/batchlog"
)

// directoryTimeout bounds the Find call to the directory node, which may have to read the store first. A caller must not wait
// long for a directory node that is down.
const directoryTimeout = 250 * time.Millisecond

// callThroughDirectory asks the directory node of a job which node serves the job, calls that node, and reports whether the call
// was served. An ended job is thus read from the store by one node, not by each node that a caller reaches.
func (runner *Runner) callThroughDirectory(ctx context.Context, id string, call func(name string) bool) bool {
	directory := runner.Peers.Directory(id)
	if directory == "" || directory == runner.Node {
		return false
	}
	name := ""
	runner.callPeer(ctx, directory, directoryTimeout, func(ctx context.Context, client batchv1.Batches) (bool, error) {
		response, err := client.Find(ctx, &batchv1.FindRequest{JobId: id})
		name = response.GetNode()
		return err == nil, err
	})
	if name == "" || !call(name) {
		return false
	}
	runner.RememberOwner(id, name)
	return true
}

// Find returns the node that serves a job according to the store. It does not use the owner that this node remembers for an open
// job: that can be a former owner that has not noticed the change.
func (service Service) Find(ctx context.Context, request *batchv1.FindRequest) (*batchv1.FindResponse, error) {
	runner := service.Runner
	if runner.ended.hasFromLog(request.GetJobId()) {
		return &batchv1.FindResponse{Node: runner.Node}, nil
	}
	return &batchv1.FindResponse{Node: runner.lookUp(ctx, request.GetJobId())}, nil
}

// lookUp reads the owner of a job from the store; it returns an empty name if the owner cannot be determined. It caches the
// results of an ended job, which this node serves from then on.
func (runner *Runner) lookUp(ctx context.Context, id string) (node string) {
	if !runner.Log.Health.Good() {
		return ""
	}
	owner, _, err := runner.Log.Owner(ctx, id)
	if err == nil {
		return owner.GetNode()
	}
	if !errors.Is(err, batchlog.ErrNotOwner) {
		return ""
	}
	if record, err := runner.load(ctx, id); err != nil || !record.Ended {
		return ""
	}
	return runner.Node
}
