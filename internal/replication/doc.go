// Package replication is a router's part in the replicated record of reservations.
//
// A Node is one goroutine that owns the router's replicas, their rebalancer and the write-ahead
// log, and the connections to the other routers. What is decided is decided in the cores (packages
// shard, statemachine, placement and reservation). The node carries it out in the order that they
// need: first to disk, then sent, then applied. The design is in docs/replication.md.
//
// The command serve does not start a Node yet, so no program reaches most of this package and of
// those below it: tests and `lab sim replication` run the cores, and `replication verify` reads the
// write-ahead logs. Missing are the node's place in serve (an attempt with an idempotency key waits
// for its reservation, and the routing module is given the attempt's location), its keys in the
// configuration file, its requests on the admin socket, a scenario of `lab run` with an origin that
// records every run, and the kinds of reservations beside the attempt location. docs/ROADMAP.md has
// the list.
package replication
