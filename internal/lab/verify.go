package lab

import (
	"bytes"
	"encoding/binary"
	"sync"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/report"
)

// responseLog is what clients heard.
type responseLog struct {
	mu  sync.Mutex
	all []observedResponse
}

// observedResponse is a reply without its body: what it was is judged at once.
type observedResponse struct {
	clientResponse
	bytes   int
	corrupt bool
	version uint64
}

// recordResponse judges a body against the origin's seed: every byte can be told.
func (cluster *testCluster) recordResponse(response clientResponse) {
	h := observedResponse{clientResponse: response, bytes: len(response.body)}
	if response.code == 1 && response.class != "print-order" && response.class != "record" {
		if len(response.body) < edgecache.SyntheticHeaderBytes {
			h.corrupt = true
		} else {
			h.version = binary.BigEndian.Uint64(response.body[12:])
			want := edgecache.SyntheticBody(
				cluster.content.Seed,
				eviction.Key{Object: response.object, Chunk: response.part},
				h.version,
				cluster.content.MinBytes,
				cluster.content.MaxBytes,
			)
			h.corrupt = !bytes.Equal(want, response.body)
		}
	}
	h.body, h.clientRequest.body = nil, nil
	cluster.responses.mu.Lock()
	cluster.responses.all = append(cluster.responses.all, h)
	cluster.responses.mu.Unlock()
}

// verify reckons the rules from what clients, origin and endpoints in this process recorded.
func (cluster *testCluster) verify(r *report.Report, crowds []*clientGroup) {
	cluster.responses.mu.Lock()
	defer cluster.responses.mu.Unlock()
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	told := make([]float64, len(cluster.purges))
	for i, p := range cluster.purges {
		told[i] = cluster.discovery.deliveryTime(p.eventIndex)
	}
	for _, h := range cluster.responses.all {
		r.Counts["txns"]++
		switch {
		case h.code == noAnswer || h.doneAt > h.sentAt+h.deadline.Seconds()+deadlineMarginSeconds:
			r.Rules.Lost++
			r.Broke("txn %s of %s sent at %.3f has no answer in its time", h.id, h.class, h.sentAt)
			continue
		case h.code == 0:
			r.Counts["rejected"]++
			continue
		case h.code == 9:
			r.Counts["aborted"]++
			continue
		}
		r.Counts["completed"]++
		if h.class == "print-order" || h.class == "record" {
			continue
		}
		r.Counts["parts_checked"]++
		if h.corrupt {
			r.Counts["wrong_bytes"]++
			r.Broke("txn %s: object %d part %d has wrong bytes", h.id, h.object, h.part)
			continue
		}
		if want, by := cluster.requiredVersion(h, told); h.version < want {
			r.Rules.Purge++
			r.Broke(
				"txn %s sent %.3f s after a purge was told: object %d has version %d, purged by %d",
				h.id,
				h.sentAt-by,
				h.object,
				h.version,
				want,
			)
		}
	}
	for key, n := range cluster.executions {
		if n > 1 {
			r.Rules.SecondEffects++
			r.Broke("the order with key %s ran %d times", key, n)
		}
	}
	for _, group := range crowds {
		r.Rules.SecondAnswers += group.secondResponses
	}
	r.Counts["purges"] += int64(len(cluster.purges))
	r.Counts["orders_run"] += int64(len(cluster.executions))
	r.Counts["stale_after_purge"] = r.Rules.Purge
	if _, ok := r.Counts["wrong_bytes"]; !ok {
		r.Counts["wrong_bytes"] = 0
	}
}

// requiredVersion is the least version that a request's answer may have, and when the purge that says so was told.
func (cluster *testCluster) requiredVersion(h observedResponse, told []float64) (version uint64, by float64) {
	for i, p := range cluster.purges {
		concerns := p.object == h.object && !p.wholeGroup ||
			p.wholeGroup && p.group == h.object%uint64(cluster.content.Groups)
		if concerns && told[i]+purgeGraceSeconds < h.sentAt && p.version > version {
			version, by = p.version, told[i]
		}
	}
	return version, by
}

// localByteShare is the part of the bytes that clients got in a time which did not come from outside their zones.
func (cluster *testCluster) localByteShare(from, to float64) float64 {
	cluster.responses.mu.Lock()
	got := 0
	for _, h := range cluster.responses.all {
		if h.code == 1 && h.doneAt >= from && h.doneAt < to {
			got += h.bytes
		}
	}
	cluster.responses.mu.Unlock()
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	outside := 0
	kinds := map[string]int{}
	for _, endpoint := range cluster.endpoints {
		kinds[endpoint.id] = endpoint.kind
	}
	ours := map[string]bool{} // parents, whose own fills do not go to a zone
	for _, endpoint := range cluster.endpoints {
		if endpoint.kind == 1 {
			ours[endpoint.id[2:]] = true
		}
	}
	for _, g := range cluster.served {
		if kinds[g.endpoint] > 0 && g.at >= from && g.at < to && (len(g.requestID) < 8 || !ours[g.requestID[:8]]) {
			outside += g.bytes
		}
	}
	if got == 0 {
		return 0
	}
	return max(1-float64(outside)/float64(got), 0)
}
