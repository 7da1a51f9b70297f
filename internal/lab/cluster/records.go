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

// responseLog is what all clients of a cluster observed.
type responseLog struct {
	mu  sync.Mutex
	all []verify.Response
}

// RecordResponse checks a body against the origin's seed, from which every byte follows, and records the rest.
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

// Responses is a copy of what the clients observed so far.
func (cluster *Cluster) Responses() []verify.Response {
	cluster.responses.mu.Lock()
	defer cluster.responses.mu.Unlock()
	return slices.Clone(cluster.responses.all)
}

// Requests is a copy of what the endpoints in this process received so far.
func (cluster *Cluster) Requests() []verify.Request {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return slices.Clone(cluster.requests)
}

// Verify checks the rules from what clients, origin and the endpoints in this process recorded.
func (cluster *Cluster) Verify(r *report.Report, groups []*standin.ClientGroup) {
	cluster.collectEvidence(groups).Verify(r)
}

// collectEvidence gathers the records of a run. The groups must have ended.
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

// checkBody reads the version of a body and says whether the body differs from the origin's of that version.
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

// LocalByteShare is the share of the bytes that clients got between two times, Unix s, which did not come from
// outside their zones.
func (cluster *Cluster) LocalByteShare(from, to float64) float64 {
	received := cluster.bytesReceived(from, to)
	if received == 0 {
		return 0
	}
	return max(1-float64(cluster.bytesFromOutside(from, to))/float64(received), 0)
}

// LocalByteShareLine is the share second by second between two times, Unix s.
func (cluster *Cluster) LocalByteShareLine(name string, from, to float64) report.Line {
	line := report.Line{Name: name}
	for at := from; at+1 < to; at++ {
		line.Add(at-from, cluster.LocalByteShare(at, at+1))
	}
	return line
}

// bytesReceived counts the bytes that clients got between two times, Unix s.
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

// bytesFromOutside counts the bytes that parents and origin sent to zones between two times, Unix s.
func (cluster *Cluster) bytesFromOutside(from, to float64) int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	kinds := map[string]int{}
	parentFill := map[string]bool{} // prefixes of the ids of parents' own fills, which do not go to a zone
	for _, endpoint := range cluster.Endpoints {
		kinds[endpoint.ID] = endpoint.Kind
		if endpoint.Kind == KindParent {
			parentFill[endpoint.ID[len(endpointIDPrefix):]] = true
		}
	}
	outside := 0
	for _, s := range cluster.served {
		if kinds[s.Endpoint] == KindEdge || s.At < from || s.At >= to {
			continue
		}
		if len(s.RequestID) < fillPrefixLength || !parentFill[s.RequestID[:fillPrefixLength]] {
			outside += s.Bytes
		}
	}
	return outside
}

// NewClientGroup makes the clients of a router. Their responses are recorded in the cluster.
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
