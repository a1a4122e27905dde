//go:build tools

// Package tools pins the code generators in go.mod.
package tools

import (
	_ "github.com/twitchtv/twirp/protoc-gen-twirp"
	_ "google.golang.org/protobuf/cmd/protoc-gen-go"
)
