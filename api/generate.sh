#!/usr/bin/env bash
# Regenerates the internal protocol's code. Needs protoc and protoc-gen-go; protoc-gen-twirp is built from this module.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN="$bin" go install github.com/twitchtv/twirp/protoc-gen-twirp google.golang.org/protobuf/cmd/protoc-gen-go
for source in api/control/v1/control.proto api/batch/v1/batch.proto api/cluster/v1/cluster.proto api/metering/v1/metering.proto api/provisioning/v1/provisioning.proto; do
  PATH="$bin:$PATH" protoc --proto_path=. --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. "$source"
done
