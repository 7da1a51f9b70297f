// Package swim implements the membership protocol of a router, which determines which routers of the roster are
// present. It follows SWIM with the Lifeguard extensions and adds three rules against byzantine members. A member is
// declared failed only after probes sent by this router failed, or, after twice the longest suspicion timeout, because
// of the accusations by more than MaxByzantine+1 members. Each member signs the records about itself. Only a proof that
// the member received a ping, or a newer signed record, ends a suspicion.
//
// The package owns the membership view, the suspicions, the gossip queue and the reputation of accusers. It performs
// no I/O, reads no clock and starts no goroutines: package membership executes the returned actions, signs records
// and accusations, and verifies those of other members. The package is deterministic: the same events at the same
// times with the same seed produce the same actions, byte for byte.
package swim
