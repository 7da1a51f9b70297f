// Package datagram encodes and decodes the datagrams between members. They are CBOR maps with numbered keys, so
// that an older version skips what a newer one adds. Each is addressed to one member, numbered, and signed with the
// sender's Ed25519 key. Records, accusations and observations are signed by their authors and passed on unchanged.
//
// The package owns the keys' use, the counters against replay and the wire format, which docs/membership-datagrams.md
// describes. It does no I/O and takes no decision about members.
package datagram
