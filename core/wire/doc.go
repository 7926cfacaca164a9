// Package wire holds the messages of the log and of the peer and witness
// protocols. The code is generated from record.proto and peer.proto with
// protoc and protoc-gen-go and is committed.
package wire
