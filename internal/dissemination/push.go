package dissemination

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
)

const (
	// publishLimit bounds one call of a push, with itemLimit more for each entry that it brings. A node that is alive answers within some
	// milliseconds; taking an entry and decoding it is 13 us of a core (BenchmarkTakeSnapshot, platform.BenchmarkReplicaHandler), of which the
	// weakest machines have a fifth.
	publishLimit = 500 * time.Millisecond
	itemLimit    = 100 * time.Microsecond
	// pushesAtOnce bounds the pushes in progress in a lane, so that many nodes at once don't choke the publisher's link.
	pushesAtOnce = 32
	// retriesAtOnce bounds those to nodes whose last push failed, which may be cut off and take the whole publishLimit.
	retriesAtOnce = 8
	// pushSteps is how many calls a push may take: one that asks what a node has, and one that brings what it lacks.
	pushSteps = 2
)

// pending is a push that is to begin.
type pending struct {
	to   process
	lane lane
}

// due returns the pushes that are to begin.
func (publisher *Publisher) due(nodes []*clusterv1.NodeRecord, now time.Time) []pending {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	var list []pending
	for _, node := range nodes {
		key := processOf(node)
		state := publisher.receiver[key]
		for lane := range lanes {
			if pushes := &state.lanes[lane]; !pushes.pushing && publisher.lacks(state, lane, now) {
				pushes.pushing, pushes.pushed = true, now
				list = append(list, pending{key, lane})
			}
		}
	}
	return list
}

// unreached returns the names of the nodes that lack something and could not be brought up to date.
func (publisher *Publisher) unreached() []string {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	var names []string
	for key, state := range publisher.receiver {
		if state.failed() {
			names = append(names, key.node)
		}
	}
	return names
}

// lacks reports whether a process lacks something that it is to be sent now in a lane. It must be called with mu held.
func (publisher *Publisher) lacks(state *receiver, lane lane, now time.Time) bool {
	if lane == prompt && (state.known == nil || state.relay.unsent()) {
		return true
	}
	for _, topic := range publisher.Topics {
		if topic.lane() == lane && state.lacks(topic, publisher.wanted(topic)) && now.Sub(state.lanes[lane].pushed) >= topic.Pace {
			return true
		}
	}
	return false
}

// push brings a process up to date in a lane. One that has not told what it has is asked first.
func (publisher *Publisher) push(ctx context.Context, key process, lane lane) {
	state, slots := publisher.begin(key, lane)
	if state == nil {
		return
	}
	failed := true
	defer func() { publisher.finish(state, lane, failed) }()
	client := publisher.Registry.ClientOf(state.record)
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return
	}
	for range pushSteps {
		request, limit, err := publisher.next(state, lane)
		if err != nil {
			publisher.Logger.Error("update not encoded", "node", key.node, "error", err)
			return
		}
		started := time.Now()
		callCtx, cancel := context.WithTimeout(ctx, limit)
		response, err := client.Publish(callCtx, request)
		cancel()
		if err != nil {
			publisher.Metrics.Published("failed", time.Since(started))
			publisher.Logger.Warn("not published", "node", key.node, "life", key.life, "updates", len(request.GetUpdates()), "error", err)
			return
		}
		publisher.Metrics.Published("ok", time.Since(started))
		publisher.tellPush(key, request, response)
		if publisher.told(state, lane, request, response) {
			break
		}
	}
	failed = false
}

// tellPush says what a process was sent and what it knows since, as it tells. Updates of single changes have no line: the topics' handlers say
// what changed, and there may be some hundred in a second.
func (publisher *Publisher) tellPush(key process, request *clusterv1.PublishRequest, response *clusterv1.PublishResponse) {
	for _, update := range request.GetUpdates() {
		if !update.GetWhole() && len(update.GetPacked()) == 0 {
			continue
		}
		publisher.Logger.Info("update pushed", "node", key.node, "life", key.life, "prefix", update.GetPrefix(), "base", update.GetBaseRevision(),
			"revision", update.GetRevision(), "whole", update.GetWhole(), "packed", len(update.GetPacked()) > 0, "bytes", proto.Size(update),
			"known", knownOf(response, update.GetPrefix()))
	}
}

// knownOf returns the revision of a prefix that a process told; zero for none.
func knownOf(response *clusterv1.PublishResponse, prefix string) int64 {
	for _, known := range response.GetKnown() {
		if known.GetPrefix() == prefix {
			return known.GetRevision()
		}
	}
	return 0
}

// begin returns the state of a process and the slots that bound the pushes to it in a lane; nil when it is not served any more.
func (publisher *Publisher) begin(key process, lane lane) (*receiver, chan struct{}) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	state := publisher.receiver[key]
	if state != nil && state.lanes[lane].failed {
		return state, publisher.retries[lane]
	}
	return state, publisher.pushes[lane]
}

// next returns the request that a process is sent next in a lane, and how long the call may take.
func (publisher *Publisher) next(state *receiver, lane lane) (*clusterv1.PublishRequest, time.Duration, error) {
	publisher.mu.Lock()
	lacking, form, assignment := publisher.lacking(state, lane), state.form(), state.relay.wanted
	if lane != prompt || !state.relay.unsent() {
		assignment = nil
	}
	asked := state.known != nil
	publisher.mu.Unlock()
	request := &clusterv1.PublishRequest{}
	if !asked {
		return request, publishLimit, nil
	}
	request.Assignment = assignment
	limit := publishLimit
	for _, lack := range lacking {
		topic := lack.topic
		update, err := publisher.updates.of(topic, lack.base, lack.wanted, form)
		if err != nil {
			return nil, 0, err
		}
		publisher.Metrics.PublishedBytes(topic.Prefix(), update.GetWhole(), proto.Size(update))
		request.Updates = append(request.Updates, update)
		if update.GetWhole() {
			limit += time.Duration(topic.Count()) * itemLimit
		}
	}
	return request, limit, nil
}

// lack is a topic of which a process has reached a base, and is to reach a wanted revision.
type lack struct {
	topic        Topic
	base, wanted metadata.Revision
}

// lacking returns what a process lacks in a lane. It must be called with mu held.
func (publisher *Publisher) lacking(state *receiver, lane lane) []lack {
	var list []lack
	for _, topic := range publisher.Topics {
		if wanted := publisher.wanted(topic); topic.lane() == lane && state.lacks(topic, wanted) {
			list = append(list, lack{topic, state.known[topic.Prefix()], wanted})
		}
	}
	return list
}

// told notes what a process has after a request, and reports whether that is all in a lane.
func (publisher *Publisher) told(state *receiver, lane lane, request *clusterv1.PublishRequest, response *clusterv1.PublishResponse) (all bool) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	if state.known == nil {
		publisher.nudge() // the other lane has something to send now
	}
	state.learn(publisher.Topics, lane, response.GetKnown())
	if assignment := request.GetAssignment(); assignment != nil {
		state.relay.sent = assignment.GetNumber()
	}
	if unread := response.GetUnread(); len(unread) > 0 && !state.unread {
		state.unread = true
		publisher.Logger.Warn("update not read by its receiver", "node", state.record.GetName(), "life", state.record.GetLife(), "prefixes", unread)
	}
	return len(publisher.lacking(state, lane)) == 0 && (lane != prompt || !state.relay.unsent())
}

// finish ends a push. When a relay was not reached, its nodes are to have another at once.
func (publisher *Publisher) finish(state *receiver, lane lane, failed bool) {
	publisher.mu.Lock()
	defer publisher.mu.Unlock()
	state.lanes[lane].pushing, state.lanes[lane].failed = false, failed
	if failed && len(state.relay.wanted.GetNodes()) > 0 {
		publisher.nudge()
	}
}
