package cluster

import (
	"time"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/standin"
	"cairnfront/routing"
)

// StandInKinds are the kinds of the stand-ins that replace all endpoints of a cluster with one zone.
var StandInKinds = []int{KindOrigin, KindParent, KindEdge, KindEdge}

// FaultyStandInIndex is the index of the first edge cache in StandInKinds.
const FaultyStandInIndex = 2

// AddStandIn starts a stand-in and publishes it as ready. The function body returns the response body for a command.
func (cluster *Cluster) AddStandIn(kind int, body func(cacheproto.Command) []byte) (*standin.Endpoint, error) {
	id := EndpointID(len(cluster.Endpoints) + 1)
	standIn, err := standin.NewEndpoint(id, cluster.options.Directory, time.Millisecond)
	if err != nil {
		return nil, err
	}
	standIn.Body = body
	last := standIn.Addresses[len(standIn.Addresses)-1] // the discovery server lists IPv4 addresses only
	endpoint := &Endpoint{
		ID:   id,
		Kind: kind,
		Zone: ZoneOf(kind),
		Addr: last.Addr,
	}
	cluster.Endpoints = append(cluster.Endpoints, endpoint)
	cluster.PublishStatus(endpoint, routing.Ready)
	return standIn, nil
}

// SyntheticBody returns the first version of the object chunk that a command requests.
func (cluster *Cluster) SyntheticBody(command cacheproto.Command) []byte {
	return edgecache.SyntheticBody(
		cluster.Content.Seed,
		eviction.Key{Object: command.ObjectID, Chunk: command.PartNumber},
		0,
		cluster.Content.MinBytes,
		cluster.Content.MaxBytes,
	)
}
