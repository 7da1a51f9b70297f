package cluster

import (
	"bytes"
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"time"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/report"
	"cairnfront/internal/lab/standin"
	"cairnfront/internal/lab/verify"
)

// responseLog holds the responses that all clients of a cluster observed.
type responseLog struct {
	mu  sync.Mutex
	all []verify.Response
}

// RecordResponse records a response without its body. It first compares the body with the expected content, which is
// derived from the origin's seed.
func (cluster *Cluster) RecordResponse(response standin.ClientResponse) {
	observed := verify.Response{ClientResponse: response, Bytes: len(response.Body)}
	if response.Code == standin.CodeCompleted && response.HasContent() {
		observed.Version, observed.Corrupt = cluster.checkBody(&response)
	}
	observed.Body, observed.ClientRequest.Body = nil, nil
	cluster.responses.mu.Lock()
	defer cluster.responses.mu.Unlock()
	cluster.responses.all = append(cluster.responses.all, observed)
}

// Responses returns a copy of the responses that clients have observed so far.
func (cluster *Cluster) Responses() []verify.Response {
	cluster.responses.mu.Lock()
	defer cluster.responses.mu.Unlock()
	return slices.Clone(cluster.responses.all)
}

// Requests returns a copy of the requests that the endpoints in this process have received so far.
func (cluster *Cluster) Requests() []verify.Request {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return slices.Clone(cluster.requests)
}

// Verify checks the rules against the records of the clients, the origin and the endpoints in this process.
func (cluster *Cluster) Verify(r *report.Report, groups []*standin.ClientGroup) {
	cluster.collectEvidence(groups).Verify(r)
}

// collectEvidence gathers the records of a run. The client groups must have stopped.
func (cluster *Cluster) collectEvidence(groups []*standin.ClientGroup) *verify.Evidence {
	e := &verify.Evidence{Responses: cluster.Responses(), Groups: cluster.Content.Groups}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	e.Executions = maps.Clone(cluster.executions)
	for _, p := range cluster.purges {
		e.Purges = append(e.Purges, verify.DeliveredPurge{
			Purge:       p,
			DeliveredAt: cluster.Discovery.DeliveryTime(p.EventIndex),
		})
	}
	for _, group := range groups {
		e.SecondResponses += group.SecondResponses
	}
	return e
}

// checkBody returns the version of a body and reports whether the body differs from the origin's content of that
// version.
func (cluster *Cluster) checkBody(response *standin.ClientResponse) (version uint64, corrupt bool) {
	if len(response.Body) < edgecache.SyntheticHeaderBytes {
		return 0, true
	}
	version = binary.BigEndian.Uint64(response.Body[12:])
	content := &cluster.Content
	want := edgecache.SyntheticBody(
		content.Seed,
		eviction.Key{Object: response.Object, Chunk: response.Part},
		version,
		content.MinBytes,
		content.MaxBytes,
	)
	return version, !bytes.Equal(want, response.Body)
}

// LocalByteShare returns the share of the bytes that clients received between two Unix times, in seconds, and that did
// not come from outside their zones.
func (cluster *Cluster) LocalByteShare(from, to float64) float64 {
	received := cluster.bytesReceived(from, to)
	if received == 0 {
		return 0
	}
	return max(1-float64(cluster.bytesFromOutside(from, to))/float64(received), 0)
}

// LocalByteShareLine returns LocalByteShare for each second between two Unix times, in seconds, as a line of a plot.
func (cluster *Cluster) LocalByteShareLine(name string, from, to float64) report.Line {
	line := report.Line{Name: name}
	for at := from; at+1 < to; at++ {
		line.Add(at-from, cluster.LocalByteShare(at, at+1))
	}
	return line
}

// bytesReceived counts the bytes that clients received between two Unix times, in seconds.
func (cluster *Cluster) bytesReceived(from, to float64) int {
	cluster.responses.mu.Lock()
	defer cluster.responses.mu.Unlock()
	received := 0
	for _, o := range cluster.responses.all {
		if o.Code == standin.CodeCompleted && o.DoneAt >= from && o.DoneAt < to {
			received += o.Bytes
		}
	}
	return received
}

// bytesFromOutside counts the bytes that parent caches and the origin sent to zones between two Unix times, in seconds.
func (cluster *Cluster) bytesFromOutside(from, to float64) int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	kinds := map[string]int{}
	parentFillPrefixes := map[string]bool{} // id prefixes of parent caches' own fills, not sent to a zone
	for _, endpoint := range cluster.Endpoints {
		kinds[endpoint.ID] = endpoint.Kind
		if endpoint.Kind == KindParent {
			parentFillPrefixes[endpoint.ID[len(endpointIDPrefix):]] = true
		}
	}
	outside := 0
	for _, s := range cluster.served {
		if kinds[s.Endpoint] == KindEdge || s.At < from || s.At >= to {
			continue
		}
		if len(s.RequestID) < fillIDPrefixLength || !parentFillPrefixes[s.RequestID[:fillIDPrefixLength]] {
			outside += s.Bytes
		}
	}
	return outside
}

// NewClientGroup creates a group of clients of a router. The cluster records their responses.
func (cluster *Cluster) NewClientGroup(
	router *Router, clients int, meanPause time.Duration,
) *standin.ClientGroup {
	return &standin.ClientGroup{
		Addr:       router.addr,
		Clients:    clients,
		Seed:       cluster.options.Seed,
		Objects:    standin.LoadObjects,
		Parts:      standin.LoadPartsPerObject,
		Groups:     cluster.Content.Groups,
		MeanPause:  meanPause,
		OnResponse: cluster.RecordResponse,
	}
}
