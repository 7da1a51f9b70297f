package lab

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
)

// responseLog is what all clients of a cluster observed.
type responseLog struct {
	mu  sync.Mutex
	all []observedResponse
}

// recordResponse checks a body against the origin's seed, from which every byte follows, and records the rest.
func (cluster *testCluster) recordResponse(response clientResponse) {
	observed := observedResponse{clientResponse: response, bytes: len(response.body)}
	if response.code == codeCompleted && response.hasContent() {
		observed.version, observed.corrupt = cluster.checkBody(&response)
	}
	observed.body, observed.clientRequest.body = nil, nil
	cluster.responses.mu.Lock()
	defer cluster.responses.mu.Unlock()
	cluster.responses.all = append(cluster.responses.all, observed)
}

// recordedResponses is a copy of what the clients observed so far.
func (cluster *testCluster) recordedResponses() []observedResponse {
	cluster.responses.mu.Lock()
	defer cluster.responses.mu.Unlock()
	return slices.Clone(cluster.responses.all)
}

// recordedRequests is a copy of what the endpoints in this process received so far.
func (cluster *testCluster) recordedRequests() []requestRecord {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return slices.Clone(cluster.requests)
}

// verify checks the rules from what clients, origin and the endpoints in this process recorded.
func (cluster *testCluster) verify(r *report.Report, groups []*clientGroup) {
	cluster.collectEvidence(groups).verify(r)
}

// collectEvidence gathers the records of a run. The groups must have ended.
func (cluster *testCluster) collectEvidence(groups []*clientGroup) *evidence {
	e := &evidence{responses: cluster.recordedResponses(), groups: cluster.content.Groups}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	e.executions = maps.Clone(cluster.executions)
	for _, p := range cluster.purges {
		e.purges = append(e.purges, deliveredPurge{
			publishedPurge: p,
			deliveredAt:    cluster.discovery.deliveryTime(p.eventIndex),
		})
	}
	for _, group := range groups {
		e.secondResponses += group.secondResponses
	}
	return e
}

// checkBody reads the version of a body and says whether the body differs from the origin's of that version.
func (cluster *testCluster) checkBody(response *clientResponse) (version uint64, corrupt bool) {
	if len(response.body) < edgecache.SyntheticHeaderBytes {
		return 0, true
	}
	version = binary.BigEndian.Uint64(response.body[12:])
	content := &cluster.content
	want := edgecache.SyntheticBody(
		content.Seed,
		eviction.Key{Object: response.object, Chunk: response.part},
		version,
		content.MinBytes,
		content.MaxBytes,
	)
	return version, !bytes.Equal(want, response.body)
}

// localByteShare is the share of the bytes that clients got between two times, Unix s, which did not come from
// outside their zones.
func (cluster *testCluster) localByteShare(from, to float64) float64 {
	received := cluster.bytesReceived(from, to)
	if received == 0 {
		return 0
	}
	return max(1-float64(cluster.bytesFromOutside(from, to))/float64(received), 0)
}

// localByteShareLine is the share second by second between two times, Unix s.
func (cluster *testCluster) localByteShareLine(name string, from, to float64) report.Line {
	line := report.Line{Name: name}
	for at := from; at+1 < to; at++ {
		line.Add(at-from, cluster.localByteShare(at, at+1))
	}
	return line
}

// bytesReceived counts the bytes that clients got between two times, Unix s.
func (cluster *testCluster) bytesReceived(from, to float64) int {
	cluster.responses.mu.Lock()
	defer cluster.responses.mu.Unlock()
	received := 0
	for _, o := range cluster.responses.all {
		if o.code == codeCompleted && o.doneAt >= from && o.doneAt < to {
			received += o.bytes
		}
	}
	return received
}

// bytesFromOutside counts the bytes that parents and origin sent to zones between two times, Unix s.
func (cluster *testCluster) bytesFromOutside(from, to float64) int {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	kinds := map[string]int{}
	parentFill := map[string]bool{} // prefixes of the ids of parents' own fills, which do not go to a zone
	for _, endpoint := range cluster.endpoints {
		kinds[endpoint.id] = endpoint.kind
		if endpoint.kind == kindParent {
			parentFill[endpoint.id[len(endpointIDPrefix):]] = true
		}
	}
	outside := 0
	for _, s := range cluster.served {
		if kinds[s.endpoint] == kindEdge || s.at < from || s.at >= to {
			continue
		}
		if len(s.requestID) < fillPrefixLength || !parentFill[s.requestID[:fillPrefixLength]] {
			outside += s.bytes
		}
	}
	return outside
}

// newClientGroup makes the clients of a router. Their responses are recorded in the cluster.
func (cluster *testCluster) newClientGroup(
	router *routerProcess, clients int, meanPause time.Duration,
) *clientGroup {
	return &clientGroup{
		addr:       router.addr,
		clients:    clients,
		seed:       cluster.options.Seed,
		objects:    loadObjects,
		parts:      loadPartsPerObject,
		groups:     cluster.content.Groups,
		meanPause:  meanPause,
		onResponse: cluster.recordResponse,
	}
}
