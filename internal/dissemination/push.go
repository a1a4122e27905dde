package dissemination

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

const (
	// publishTimeout bounds one push call. perItemTimeout extends it for each item of a snapshot, which the receiver has to decode.
	// A live node answers within some milliseconds. Taking and decoding an item costs 13 us of a core (BenchmarkTakeSnapshot), of
	// which the weakest machines have a fifth.
	publishTimeout = 500 * time.Millisecond
	perItemTimeout = 100 * time.Microsecond
	// maxConcurrentPushes bounds the concurrent pushes in a lane, so that many receivers do not saturate the publisher's link.
	maxConcurrentPushes = 32
	// maxConcurrentRetries bounds the concurrent pushes to nodes whose last push failed. Such a node may be unreachable and take the whole
	// publishTimeout.
	maxConcurrentRetries = 8
	// maxPushCalls bounds the calls of one push: one asks for the receiver's revisions and capabilities, and one sends what the receiver lacks.
	maxPushCalls = 2
)

// pendingPush is a push that is about to start.
type pendingPush struct {
	to   process
	lane lane
}

// startDuePushes marks the pushes that are due as in progress and returns them.
func (publisher *Publisher) startDuePushes(nodes []*clusterv1.NodeRecord, now time.Time) []pendingPush {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	var list []pendingPush
	for _, node := range nodes {
		key := processOf(node)
		state := publisher.receivers[key]
		for lane := range laneCount {
			if pushes := &state.lanes[lane]; !pushes.inProgress && publisher.needsPush(state, lane, now) {
				pushes.inProgress, pushes.lastPush = true, now
				list = append(list, pendingPush{key, lane})
			}
		}
	}
	return list
}

// unreached returns the names of the nodes whose last push failed.
func (publisher *Publisher) unreached() []string {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	var names []string
	for key, state := range publisher.receivers {
		if state.failed() {
			names = append(names, key.node)
		}
	}
	return names
}

// needsPush reports whether a process lacks something that is due in a lane. The caller holds mu.
func (publisher *Publisher) needsPush(state *receiver, lane lane, now time.Time) bool {
	if lane == prompt && (state.known == nil || state.relay.unsent()) {
		return true
	}
	for _, topic := range publisher.Topics {
		if topic.lane() == lane && state.isBehind(topic, publisher.targetRevisionLocked(topic)) && now.Sub(state.lanes[lane].lastPush) >= topic.MinInterval {
			return true
		}
	}
	return false
}

// push brings a process up to date in a lane. If the process has not reported its revisions yet, the first call asks for them. Packed updates
// are sent only after a response of the same push that lists the capability: the node may have restarted since it registered, with a build
// that ignores them.
func (publisher *Publisher) push(ctx context.Context, key process, lane lane) {
	state, slots := publisher.receiverFor(key, lane)
	if state == nil {
		return
	}
	failed := true
	defer func() { publisher.endPush(state, lane, failed) }()
	client := publisher.Registry.ClientOf(state.record)
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return
	}
	confirmed := false
	for range maxPushCalls {
		request, timeout, err := publisher.nextRequest(state, lane)
		if err != nil {
			publisher.Logger.Error("update not encoded", "node", key.node, "error", err)
			return
		}
		request.AskCapabilities = encodingFor(state.record) == packed
		if !confirmed {
			request.Updates = slices.DeleteFunc(request.Updates, isPacked)
		}
		publisher.countBytes(request)
		started := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		response, err := client.Publish(callCtx, request)
		cancel()
		if err != nil {
			publisher.Metrics.Published("failed", time.Since(started))
			publisher.Logger.Warn("not published", "node", key.node, "life", key.incarnation, "updates", len(request.GetUpdates()), "error", err)
			return
		}
		publisher.Metrics.Published("ok", time.Since(started))
		publisher.logPush(key, request, response)
		confirmed = publisher.confirm(state, request, response)
		if publisher.handleResponse(state, lane, request, response) {
			break
		}
	}
	failed = false
}

func isPacked(update *clusterv1.PrefixUpdate) bool { return len(update.GetPacked()) > 0 }

func (publisher *Publisher) countBytes(request *clusterv1.PublishRequest) {
	for _, update := range request.GetUpdates() {
		publisher.Metrics.PublishedBytes(update.GetPrefix(), update.GetWhole(), proto.Size(update))
	}
}

// confirm reports whether the process that has responded decodes packed updates.
func (publisher *Publisher) confirm(state *receiver, request *clusterv1.PublishRequest, response *clusterv1.PublishResponse) bool {
	confirmed := encodingFor(response) == packed
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	if request.GetAskCapabilities() && !confirmed && !state.unconfirmed {
		publisher.Logger.Warn("registered encoding not confirmed", "node", state.record.GetName(), "life", state.record.GetLife(),
			"packed_sent", slices.ContainsFunc(request.GetUpdates(), isPacked))
	}
	state.unconfirmed = !confirmed
	return confirmed
}

// logPush logs the snapshots and packed updates of a push, with the revision that the receiver reports afterwards. Updates of single
// changes are too frequent to log; the handlers of the topics log these changes.
func (publisher *Publisher) logPush(key process, request *clusterv1.PublishRequest, response *clusterv1.PublishResponse) {
	for _, update := range request.GetUpdates() {
		if !update.GetWhole() && !isPacked(update) {
			continue
		}
		publisher.Logger.Info("update pushed", "node", key.node, "life", key.incarnation, "prefix", update.GetPrefix(), "base", update.GetBaseRevision(),
			"revision", update.GetRevision(), "whole", update.GetWhole(), "packed", isPacked(update), "bytes", proto.Size(update),
			"known", knownRevision(response, update.GetPrefix()))
	}
}

// knownRevision returns the revision of a prefix in a response; zero for none.
func knownRevision(response *clusterv1.PublishResponse, prefix string) int64 {
	for _, known := range response.GetKnown() {
		if known.GetPrefix() == prefix {
			return known.GetRevision()
		}
	}
	return 0
}

// receiverFor returns the state of a process and the semaphore of the pushes to it in a lane. The state is nil if the process is no longer
// served directly.
func (publisher *Publisher) receiverFor(key process, lane lane) (*receiver, chan struct{}) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	state := publisher.receivers[key]
	if state != nil && state.lanes[lane].failed {
		return state, publisher.retries[lane]
	}
	return state, publisher.pushes[lane]
}

// nextRequest returns the next request to a process in a lane, and its timeout.
func (publisher *Publisher) nextRequest(state *receiver, lane lane) (*clusterv1.PublishRequest, time.Duration, error) {
	publisher.mu.Lock()
	missing, encoding, assignment := publisher.missingRanges(state, lane), state.encoding(), state.relay.assignment
	if lane != prompt || !state.relay.unsent() {
		assignment = nil
	}
	reported := state.known != nil
	publisher.mu.Unlock()
	request := &clusterv1.PublishRequest{}
	if !reported {
		return request, publishTimeout, nil
	}
	request.Assignment = assignment
	timeout := publishTimeout
	for _, gap := range missing {
		topic := gap.topic
		update, err := publisher.updates.get(topic, gap.base, gap.wanted, encoding)
		if err != nil {
			return nil, 0, err
		}
		request.Updates = append(request.Updates, update)
		if update.GetWhole() {
			timeout += time.Duration(topic.Count()) * perItemTimeout
		}
	}
	return request, timeout, nil
}

// missingRange is the range of revisions that a process lacks of a topic.
type missingRange struct {
	topic        Topic
	base, wanted metadata.Revision
}

// missingRanges returns what a process lacks in a lane. The caller holds mu.
func (publisher *Publisher) missingRanges(state *receiver, lane lane) []missingRange {
	var list []missingRange
	for _, topic := range publisher.Topics {
		if wanted := publisher.targetRevisionLocked(topic); topic.lane() == lane && state.isBehind(topic, wanted) {
			list = append(list, missingRange{topic, state.known[topic.Prefix()], wanted})
		}
	}
	return list
}

// handleResponse records the revisions that a process reports in response to a request, and reports whether the process is up to date in
// the lane.
func (publisher *Publisher) handleResponse(state *receiver, lane lane, request *clusterv1.PublishRequest, response *clusterv1.PublishResponse) (upToDate bool) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	if state.known == nil {
		publisher.requestRound() // the other lane has something to send now
	}
	state.recordKnown(publisher.Topics, lane, response.GetKnown())
	if assignment := request.GetAssignment(); assignment != nil {
		state.relay.sentNumber = assignment.GetNumber()
	}
	if unread := response.GetUnread(); len(unread) > 0 && !state.plainOnly {
		state.plainOnly = true
		publisher.Logger.Warn("update not read by its receiver", "node", state.record.GetName(), "life", state.record.GetLife(), "prefixes", unread)
	}
	return len(publisher.missingRanges(state, lane)) == 0 && (lane != prompt || !state.relay.unsent())
}

// endPush marks a push as ended. If a push to a relay has failed, the next round starts immediately to give its nodes another relay.
func (publisher *Publisher) endPush(state *receiver, lane lane, failed bool) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	state.lanes[lane].inProgress, state.lanes[lane].failed = false, failed
	if failed && len(state.relay.assignment.GetNodes()) > 0 {
		publisher.requestRound()
	}
}
