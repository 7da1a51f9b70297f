// Package datagram encodes and decodes the datagrams between members. They are CBOR maps with integer keys, so that
// an older version ignores the keys that a newer one adds. Each datagram is addressed to one member, has a counter,
// and is signed with the sender's Ed25519 key. Records, accusations and observations are signed by their authors and
// relayed unchanged.
//
// The package owns the use of the keys, the replay protection by counters, and the wire format, which
// docs/membership-datagrams.md describes. It performs no I/O and makes no decisions about members.
package datagram
