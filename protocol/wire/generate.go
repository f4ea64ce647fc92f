// Package wire holds the messages and services between the processes of
// apricotspoke, generated from wire.proto.
package wire

//go:generate sh generate.sh
