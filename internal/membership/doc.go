// Package membership is a router's part in the group of routers: one UDP socket, a goroutine that receives from it,
// and one that owns the cores in packages swim, partition and observation. It owns the socket, the addresses of the
// members, the limits on traffic and the clock; it carries out what the cores decide and decides nothing itself.
// Design note: docs/membership.md.
package membership
