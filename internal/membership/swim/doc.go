// Package swim is the membership protocol of a router: which of the routers on the roster are present. It follows
// SWIM with Lifeguard's extensions, and adds three rules against byzantine members. A member is declared failed
// only on the router's own failed probes, or on the accusations of more members than may be byzantine. What a
// member says of itself is signed by that member. Only a proof that a ping was received ends a suspicion.
//
// The package owns the membership view, the suspicions, the gossip queue and the reputation of accusers. It has no
// I/O, no clock and no goroutine: package membership carries out the actions, signs records and accusations, and
// verifies those of others. The same events at the same times with the same seed give the same actions, byte for
// byte.
package swim
