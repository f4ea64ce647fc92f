#!/bin/sh
# Regenerates the Go code of wire.proto and mesh.proto. Needs protoc on the PATH.
set -e
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN="$bin" go install tool
PATH="$bin:$PATH" protoc --go_out=. --go_opt=paths=source_relative \
  --go-grpc_out=. --go-grpc_opt=paths=source_relative wire.proto mesh.proto
