package observation

import (
	"cmp"
	"math"
	"slices"

	"cairnfront/internal/membership/swim"
)

const (
	gossipFactor     = 2.0 // multiplied by log2 of the members: transmissions of one observation
	minTransmissions = 2
	maxQueue         = 256 // queued observations
	maxPerDatagram   = 3   // observations per datagram
)

// queuedObservation is an observation queued for gossip, with the number of times it was sent.
type queuedObservation struct {
	Observation
	sent int
}

// tokenBucket limits the rate of observations by this router.
type tokenBucket struct {
	tokens     float64
	refilledAt float64
}

func (b *tokenBucket) take(now float64) bool {
	b.tokens = min(b.tokens+reportsPerSecond*max(now-b.refilledAt, 0), reportBurst)
	b.refilledAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// TakeUnsigned removes and returns the observations by this router that are not signed yet. The caller must sign each
// and pass it to Enqueue.
func (t *Tracker) TakeUnsigned() []Observation {
	unsigned := t.unsigned
	t.unsigned = nil
	return unsigned
}

// Enqueue queues a signed observation for gossip. It replaces an older one by the same witness of the same endpoint.
// If the queue is full, the observation that was sent most often is dropped.
func (t *Tracker) Enqueue(o Observation) {
	older := slices.IndexFunc(t.queue, func(q queuedObservation) bool {
		return q.Witness == o.Witness && q.Endpoint == o.Endpoint
	})
	if older >= 0 {
		t.queue[older] = queuedObservation{Observation: o}
		return
	}
	if len(t.queue) >= maxQueue {
		t.dropMostSent()
	}
	t.queue = append(t.queue, queuedObservation{Observation: o})
}

func (t *Tracker) dropMostSent() {
	most := 0
	for i := range t.queue {
		if t.queue[i].sent > t.queue[most].sent {
			most = i
		}
	}
	t.queue = slices.Delete(t.queue, most, most+1)
}

// Piggyback returns the observations to include in a datagram to a member, the least often sent first. The number of
// present members determines how often an observation is sent.
func (t *Tracker) Piggyback(to swim.MemberID, present int) (list []Observation) {
	transmissions := max(int(gossipFactor*math.Ceil(math.Log2(float64(present+1)))), minTransmissions)
	slices.SortStableFunc(t.queue, func(a, b queuedObservation) int { return cmp.Compare(a.sent, b.sent) })
	for i := range t.queue {
		q := &t.queue[i]
		if len(list) >= maxPerDatagram {
			break
		}
		if q.Witness != to {
			list = append(list, q.Observation)
			q.sent++
		}
	}
	t.queue = slices.DeleteFunc(t.queue, func(q queuedObservation) bool { return q.sent >= transmissions })
	return list
}
