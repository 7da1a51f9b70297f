// Package membership makes a router a member of the cluster of routers. A node has one UDP socket, a goroutine that
// receives from it, and a goroutine that owns the cores in packages swim, partition and observation. The package owns
// the socket, the addresses of the members, the traffic limits and the clock. It executes the decisions of the cores
// and makes none itself. Design note: docs/membership.md.
package membership
