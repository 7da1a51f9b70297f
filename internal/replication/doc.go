// Package replication runs a router's node of the replicated store of reservations.
//
// A Node is a single goroutine that owns the router's replicas, their rebalancer and the
// write-ahead log, and the connections to the other routers. The packages shard, statemachine,
// placement and reservation make the decisions without doing I/O. The node carries their decisions
// out in a fixed order: it writes to disk first, then sends, then applies. The design is in
// docs/replication.md.
//
// The command serve does not start a Node yet, so no program reaches most of this package and of
// the packages below it: tests and `lab sim replication` run the decision code, and
// `replication verify` reads the write-ahead logs. Not implemented yet are: starting the node in serve (an
// attempt with an idempotency key has to wait for its reservation, and the routing module has to be
// given the attempt's location), its keys in the configuration file, its requests on the admin
// socket, a scenario of `lab run` with an origin that records every execution, and the kinds of
// reservations other than the attempt location. docs/ROADMAP.md has the list.
package replication
