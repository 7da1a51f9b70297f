package lab

import (
	"bytes"
	"encoding/binary"
	"sync"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/edgecache"
	"cairnfront/internal/lab/report"
)

// tally is what clients heard.
type tally struct {
	mu  sync.Mutex
	all []heard
}

// heard is a reply without its body: what it was is judged at once.
type heard struct {
	reply
	bytes   int
	wrong   bool
	version uint64
}

// hear judges a body against the archive's seed: every byte can be told.
func (t *town) hear(r reply) {
	h := heard{reply: r, bytes: len(r.body)}
	if r.code == 1 && r.rule != "print-order" && r.rule != "record" {
		if len(r.body) < edgecache.SyntheticHeaderBytes {
			h.wrong = true
		} else {
			h.version = binary.BigEndian.Uint64(r.body[12:])
			want := edgecache.SyntheticBody(t.made.Seed, eviction.Key{Object: r.object, Chunk: r.part}, h.version, t.made.MinBytes, t.made.MaxBytes)
			h.wrong = !bytes.Equal(want, r.body)
		}
	}
	h.body, h.ask.body = nil, nil
	t.replies.mu.Lock()
	t.replies.all = append(t.replies.all, h)
	t.replies.mu.Unlock()
}

// judge reckons the rules from what clients, archive and members in this process recorded.
func (t *town) judge(r *report.Report, crowds []*crowd) {
	t.replies.mu.Lock()
	defer t.replies.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	told := make([]float64, len(t.purges))
	for i, p := range t.purges {
		told[i] = t.board.toldAt(p.event)
	}
	for _, h := range t.replies.all {
		r.Counts["txns"]++
		switch {
		case h.code == noAnswer || h.done > h.sent+h.ttl.Seconds()+lateBy:
			r.Rules.Lost++
			r.Broke("txn %s of %s sent at %.3f has no answer in its time", h.id, h.rule, h.sent)
			continue
		case h.code == 0:
			r.Counts["rejected"]++
			continue
		case h.code == 9:
			r.Counts["aborted"]++
			continue
		}
		r.Counts["completed"]++
		if h.rule == "print-order" || h.rule == "record" {
			continue
		}
		r.Counts["parts_checked"]++
		if h.wrong {
			r.Counts["wrong_bytes"]++
			r.Broke("txn %s: object %d part %d has wrong bytes", h.id, h.object, h.part)
			continue
		}
		if want, by := t.owed(h, told); h.version < want {
			r.Rules.Purge++
			r.Broke("txn %s sent %.3f s after a purge was told: object %d has version %d, purged by %d", h.id, h.sent-by, h.object, h.version, want)
		}
	}
	for key, n := range t.ran {
		if n > 1 {
			r.Rules.SecondEffects++
			r.Broke("the order with key %s ran %d times", key, n)
		}
	}
	for _, c := range crowds {
		r.Rules.SecondAnswers += c.second
	}
	r.Counts["purges"] += int64(len(t.purges))
	r.Counts["orders_run"] += int64(len(t.ran))
	r.Counts["stale_after_purge"] = r.Rules.Purge
	if _, ok := r.Counts["wrong_bytes"]; !ok {
		r.Counts["wrong_bytes"] = 0
	}
}

// owed is the least version that a txn's answer may have, and when the purge that says so was told.
func (t *town) owed(h heard, told []float64) (version uint64, by float64) {
	for i, p := range t.purges {
		if (p.object == h.object && !p.all || p.all && p.group == h.object%uint64(t.made.Groups)) && told[i]+purgeGrace < h.sent && p.version > version {
			version, by = p.version, told[i]
		}
	}
	return version, by
}

// share is the part of the bytes that clients got in a time which did not come from outside their campuses.
func (t *town) share(from, to float64) float64 {
	t.replies.mu.Lock()
	got := 0
	for _, h := range t.replies.all {
		if h.code == 1 && h.done >= from && h.done < to {
			got += h.bytes
		}
	}
	t.replies.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	outside := 0
	kinds := map[string]int{}
	for _, p := range t.places {
		kinds[p.id] = p.kind
	}
	ours := map[string]bool{} // parents, whose own fills do not go to a campus
	for _, p := range t.places {
		if p.kind == 1 {
			ours[p.id[2:]] = true
		}
	}
	for _, g := range t.gaves {
		if kinds[g.member] > 0 && g.at >= from && g.at < to && (len(g.asker) < 8 || !ours[g.asker[:8]]) {
			outside += g.bytes
		}
	}
	if got == 0 {
		return 0
	}
	return max(1-float64(outside)/float64(got), 0)
}
