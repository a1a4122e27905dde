package dissemination

import (
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"

	clusterv1 "github.com/thistlewalk/thistlewalk/api/cluster/v1"
	"github.com/thistlewalk/thistlewalk/internal/capability"
	"github.com/thistlewalk/thistlewalk/internal/metadata"
	"github.com/thistlewalk/thistlewalk/internal/metadata/memstore"
)

// unknownField returns a field that this build does not know.
func unknownField(number int32, content []byte) protoreflect.RawFields {
	return protowire.AppendBytes(protowire.AppendTag(nil, protowire.Number(number), protowire.BytesType), content)
}

func newTestSubscriber() *Subscriber {
	return &Subscriber{
		Node: "node", Incarnation: 1, Limits: LimitsFor(2*time.Second, false), Logger: log.New(io.Discard), Health: metadata.NewHealth(memstore.New(), log.New(io.Discard)),
		Topics: []Topic{{Mirror: metadata.NewMirror("op/config", metadata.Handlers{})}, {Mirror: metadata.NewMirror("servers/", metadata.Handlers{})}},
		lags:   make(map[string]lag),
	}
}

// Guards against applying an update of a later build that cannot be read completely. The receiver reports the update as unread, keeps its
// revision and is not up to date; the other updates of the call are applied.
func TestUpdatesOfLaterBuilds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		subscriber := newTestSubscriber()
		number := rapid.Int32Range(20, 500).Draw(t, "field")
		content := rapid.SliceOf(rapid.Byte()).Draw(t, "content")
		update := encodeDelta(&metadata.Delta{Prefix: "servers/", IsSnapshot: true, Revision: 7, Items: replicaItems(rapid.IntRange(1, 9).Draw(t, "items"))})
		update.Removals = []*clusterv1.Removal{{Key: "servers/x", Revision: 3}}
		switch rapid.IntRange(0, 2).Draw(t, "where") {
		case 0:
			update.ProtoReflect().SetUnknown(unknownField(number, content))
		case 1:
			update.GetItems()[0].ProtoReflect().SetUnknown(unknownField(number, content))
		case 2:
			update.GetRemovals()[0].ProtoReflect().SetUnknown(unknownField(number, content))
		}
		if rapid.Bool().Draw(t, "packed") {
			small, err := (&packer{}).pack(update)
			must.NoError(t, err)
			small.ProtoReflect().SetUnknown(update.ProtoReflect().GetUnknown())
			update = small
		}
		readable := encodeDelta(&metadata.Delta{Prefix: "op/config", IsSnapshot: true, Revision: 9, Items: []metadata.Item{{Key: "op/config", Revision: 9}}})
		subscriber.HandleBeacon(&clusterv1.Beacon{Changed: []*clusterv1.PrefixRevision{{Prefix: "op/config", Revision: 9}}}, nil)
		response, err := subscriber.Publish(t.Context(), &clusterv1.PublishRequest{Updates: []*clusterv1.PrefixUpdate{update, readable}})
		must.NoError(t, err)
		must.Eq(t, []string{"servers/"}, response.GetUnread())
		must.Eq(t, 0, knownRevision(response, "servers/"))
		must.Eq(t, 9, knownRevision(response, "op/config"))
		subscriber.mu.Lock()
		_, lagging := subscriber.laggingSince(subscriber.Topics[1], time.Now())
		subscriber.mu.Unlock()
		must.True(t, lagging, must.Sprint("the unread revision is recorded"))
	})
}

// Guards against sending packed updates again to a process that could not read one.
func TestPlainFormAfterAnUnreadUpdate(t *testing.T) {
	topic := Topic{Mirror: metadata.NewMirror("servers/", metadata.Handlers{})}
	topic.Reset(replicaItems(40), 40)
	publisher := &Publisher{Node: "publisher", Logger: log.New(io.Discard), Topics: []Topic{topic}}
	publisher.initialize()
	record := &clusterv1.NodeRecord{Name: "node", Life: 1, Capabilities: capability.Own()}
	state := &receiver{record: record, known: map[string]metadata.Revision{"servers/": 0}}
	next := func() *clusterv1.PrefixUpdate {
		request, _, err := publisher.nextRequest(state, prompt)
		must.NoError(t, err)
		must.Len(t, 1, request.GetUpdates())
		return request.GetUpdates()[0]
	}
	must.Positive(t, len(next().GetPacked()))
	answer := &clusterv1.PublishResponse{Known: []*clusterv1.PrefixRevision{{Prefix: "servers/"}}, Unread: []string{"servers/"}}
	must.False(t, publisher.handleResponse(state, prompt, &clusterv1.PublishRequest{}, answer))
	must.Zero(t, len(next().GetPacked()))
	must.Len(t, 40, next().GetItems())
}

// Guards against repeated pushes of a topic that a process does not follow.
func TestTopicsThatAProcessDoesNotFollow(t *testing.T) {
	topics := []Topic{{Mirror: metadata.NewMirror("servers/", metadata.Handlers{})}, {Mirror: metadata.NewMirror("quarantine/", metadata.Handlers{})}}
	for _, topic := range topics {
		topic.Reset(nil, 5)
	}
	publisher := &Publisher{Node: "publisher", Logger: log.New(io.Discard), Topics: topics}
	publisher.initialize()
	state := &receiver{record: &clusterv1.NodeRecord{Name: "node"}}
	must.True(t, publisher.handleResponse(state, prompt, &clusterv1.PublishRequest{}, &clusterv1.PublishResponse{Known: []*clusterv1.PrefixRevision{{Prefix: "servers/", Revision: 5}}}))
	must.False(t, publisher.needsPush(state, prompt, time.Now()))
}
