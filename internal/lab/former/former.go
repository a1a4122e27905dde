// Package former reduces messages of the current build to what nodes of the production build decode from them. Those nodes ignore unknown fields
// without an error.
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

// descriptorSet holds the descriptors of api/cluster/v1/cluster.proto and api/batch/v1/batch.proto at commit bb6c757. It was generated in a folder
// with both files of that commit:
//
//	protoc --proto_path=. --descriptor_set_out=former.binpb api/cluster/v1/cluster.proto api/batch/v1/batch.proto
//
//go:embed former.binpb
var descriptorSet []byte

// Schema holds the message descriptors of the production build.
type Schema struct{ files *protoregistry.Files }

// Load returns the message descriptors of the production build.
func Load() (*Schema, error) {
	set := &descriptorpb.FileDescriptorSet{}
	if err := proto.Unmarshal(descriptorSet, set); err != nil {
		return nil, errors.Wrap(err, "decode the message descriptors of the production build")
	}
	files, err := protodesc.NewFiles(set)
	if err != nil {
		return nil, errors.Wrap(err, "resolve the message descriptors of the production build")
	}
	return &Schema{files}, nil
}

// Downgrade reduces a message to what a node of the production build decodes from it.
func (schema *Schema) Downgrade(message proto.Message) error {
	descriptor, err := schema.files.FindDescriptorByName(message.ProtoReflect().Descriptor().FullName())
	if err != nil {
		return errors.Wrap(err, "find the message in the production build")
	}
	wire, err := proto.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "encode a message")
	}
	decoded := dynamicpb.NewMessage(descriptor.(protoreflect.MessageDescriptor))
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(wire, decoded); err != nil {
		return errors.Wrap(err, "decode a message with the descriptors of the production build")
	}
	wire, err = proto.Marshal(decoded)
	if err != nil {
		return errors.Wrap(err, "encode the message that the production build decoded")
	}
	proto.Reset(message)
	return errors.Wrap(proto.Unmarshal(wire, message), "decode the message that the production build decoded")
}
