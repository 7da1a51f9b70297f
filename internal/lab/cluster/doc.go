// Package cluster runs processes of the product on loopback: routers and edge caches, a discovery service, an origin
// and parent caches, and groups of routers that are peers of each other.
//
// It owns the processes that it starts, their configuration, ports and logs, and the records of what clients and
// endpoints observed. Scenarios decide which faults and which load to apply.
package cluster
