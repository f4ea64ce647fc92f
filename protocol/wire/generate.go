// Package wire holds the messages and gRPC services that the processes of
// apricotspoke exchange, generated from wire.proto and mesh.proto.
package wire

//go:generate sh generate.sh
