package lab

import (
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/edgecache"
	"cairnfront/routing"
)

// standInKinds are the kinds of the stand-ins that take the place of all endpoints of a cluster with one zone.
var standInKinds = []int{kindOrigin, kindParent, kindEdge, kindEdge}

// faultyStandIn is the index of the first edge cache in standInKinds.
const faultyStandIn = 2

// addStandIn starts a stand-in and lists it as ready. Body answers its commands.
func (cluster *testCluster) addStandIn(kind int, body func(cacheproto.Command) []byte) (*endpointStandIn, error) {
	id := endpointID(len(cluster.endpoints) + 1)
	standIn, err := newEndpointStandIn(id, cluster.options.Directory, time.Millisecond)
	if err != nil {
		return nil, err
	}
	standIn.body = body
	last := standIn.addresses[len(standIn.addresses)-1] // the discovery server lists IPv4 addresses only
	endpoint := &clusterEndpoint{
		id:   id,
		kind: kind,
		zone: zoneOf(kind),
		addr: last.addr,
	}
	cluster.endpoints = append(cluster.endpoints, endpoint)
	cluster.publishStatus(endpoint, routing.Ready)
	return standIn, nil
}

// syntheticBody is the origin's first version of what a command asks for.
func (cluster *testCluster) syntheticBody(command cacheproto.Command) []byte {
	return edgecache.SyntheticBody(
		cluster.content.Seed,
		eviction.Key{Object: command.ObjectID, Chunk: command.PartNumber},
		0,
		cluster.content.MinBytes,
		cluster.content.MaxBytes,
	)
}
