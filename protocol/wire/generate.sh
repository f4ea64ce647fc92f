#!/bin/sh
# Regenerates the Go code of wire.proto and mesh.proto. Needs protoc or buf on the PATH.
set -e
bin=$(mktemp -d)
trap 'rm -rf "$bin"' EXIT
GOBIN="$bin" go install tool
export PATH="$bin:$PATH"
if command -v protoc >/dev/null; then
  protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative wire.proto mesh.proto
else
  buf generate --template '{"version":"v2","plugins":[{"local":"protoc-gen-go","out":".","opt":"paths=source_relative"},{"local":"protoc-gen-go-grpc","out":".","opt":"paths=source_relative"}]}'
fi
