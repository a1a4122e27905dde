// Package former tells what nodes of the build in production read of the messages of this one: fields, kinds and calls that they don't know are
// passed over in silence.
package former

import (
	_ "embed"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/dynamicpb"
)

// content holds api/cluster/v1/cluster.proto and api/batch/v1/batch.proto as commit bb6c757 has them; in a folder with both files of that commit:
//
//	protoc --proto_path=. --descriptor_set_out=former.binpb api/cluster/v1/cluster.proto api/batch/v1/batch.proto
//
//go:embed former.binpb
var content []byte

// Build knows the messages of the build in production.
type Build struct{ files *protoregistry.Files }

// Load returns the messages of the build in production.
func Load() (*Build, error) {
	set := &descriptorpb.FileDescriptorSet{}
	if err := proto.Unmarshal(content, set); err != nil {
		return nil, errors.Wrap(err, "decode the former messages")
	}
	files, err := protodesc.NewFiles(set)
	if err != nil {
		return nil, errors.Wrap(err, "link the former messages")
	}
	return &Build{files}, nil
}

// Read replaces a message by what a node of the build in production reads of it.
func (build *Build) Read(message proto.Message) error {
	found, err := build.files.FindDescriptorByName(message.ProtoReflect().Descriptor().FullName())
	if err != nil {
		return errors.Wrap(err, "a message that the former build does not have")
	}
	wire, err := proto.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode a message")
	}
	seen := dynamicpb.NewMessage(found.(protoreflect.MessageDescriptor))
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(wire, seen); err != nil {
		return errors.Wrap(err, "decode a message as the former build does")
	}
	wire, err = proto.Marshal(seen)
	if err != nil {
		return errors.Wrap(err, "encode what the former build has read")
	}
	proto.Reset(message)
	return errors.Wrap(proto.Unmarshal(wire, message), "decode what the former build has read")
}
