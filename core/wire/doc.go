// Package wire defines the protobuf messages of the log, of the peer and witness
// protocols, and of the folded state in snapshots. The code is generated from
// record.proto, peer.proto and state.proto by "make generate", with protoc and
// protoc-gen-go, and is committed.
//
// Records and snapshots are stored in the log, so the numbers and types of their
// fields must not change.
package wire
