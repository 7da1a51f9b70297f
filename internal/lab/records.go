package lab

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"sort"
	"sync"

	"cairnfront/internal/cacheproto"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/report"
)

// responseLog is what all clients of a cluster observed.
type responseLog struct {
	mu  sync.Mutex
	all []observedResponse
}

// observedResponse is a client's response without its body, which is checked when it arrives.
type observedResponse struct {
	clientResponse
	bytes   int    // of the body
	corrupt bool   // the body is not the origin's
	version uint64 // of the object, as the body says
}

// requestRecord is a command that an endpoint in this process received.
type requestRecord struct {
	at       float64 // Unix s
	endpoint string
	command  cacheproto.Command
}

// servedRecord is an answer that an endpoint in this process gave.
type servedRecord struct {
	at        float64 // Unix s
	endpoint  string
	requestID string // of the attempt or fill; the fills of an edge cache begin with its own id
	bytes     int
}

// publishedPurge is a purge: whatever it covers has at least its version afterwards.
type publishedPurge struct {
	eventIndex int // of the discovery server's event
	object     uint64
	wholeGroup bool // the group is purged, not the object alone
	group      uint64
	version    uint64
}

// inTime says whether a request was answered within its deadline.
func (o *observedResponse) inTime() bool {
	return o.code != noAnswer && o.doneAt <= o.sentAt+o.deadline.Seconds()+deadlineMarginSeconds
}

// deliversContent says whether a response was completed in time and has a body that can be checked.
func (o *observedResponse) deliversContent() bool {
	return o.inTime() && o.code != codeRejected && o.code != codeAborted && o.hasContent()
}

// latencySeconds is the time to the answer; the request's whole deadline where none came.
func (o *observedResponse) latencySeconds() float64 {
	if o.code == noAnswer {
		return o.deadline.Seconds()
	}
	return o.doneAt - o.sentAt
}

// recordResponse checks a body against the origin's seed, from which every byte follows, and keeps the rest.
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

// p99Millis is the 99th percentile of the latencies of the requests sent between two times, Unix s. A request without
// an answer counts with its deadline.
func (cluster *testCluster) p99Millis(from, to float64) (float64, error) {
	cluster.responses.mu.Lock()
	defer cluster.responses.mu.Unlock()
	var millis []float64
	for _, o := range cluster.responses.all {
		if o.sentAt >= from && o.sentAt < to {
			millis = append(millis, o.latencySeconds()*1000)
		}
	}
	if len(millis) == 0 {
		return 0, fmt.Errorf("no txn was sent in a phase")
	}
	sort.Float64s(millis)
	return percentile(millis, 0.99), nil
}

// percentile is a percentile of a sorted list that is not empty; share is between 0 and 1.
func percentile(sorted []float64, share float64) float64 {
	return sorted[int(share*float64(len(sorted)-1))]
}
