// Package ratelimit limits the datagrams and bytes per second that a member sends to and receives from other members,
// per peer and in total. It owns the token buckets. It reads no clock and performs no I/O: the caller passes the time
// to each call.
package ratelimit

import (
	"net/netip"
	"time"

	"cairnfront/internal/membership/swim"

	"golang.org/x/time/rate"
)

// Limits are rates per second.
type Limits struct {
	// The limits per peer apply to each recipient when sending, and to each source address when receiving.
	PerPeerDatagrams, PerPeerBytes float64
	TotalDatagrams, TotalBytes     float64
}

const (
	burstSeconds      = 1.0  // size of a full bucket, in seconds of the rate
	maxSources        = 4096 // source addresses with their own buckets; 150 bytes each
	reservedShare     = 0.3  // share of the total for probes and acks only, as failure detection has priority
	minBurstDatagrams = 3.0  // datagrams of maxDatagramBytes that always fit a burst
	maxDatagramBytes  = 1400
)

// buckets are the token buckets of one recipient, one source address, or the total.
type buckets struct{ datagrams, bytes *rate.Limiter }

func newBuckets(datagrams, bytes float64) buckets {
	datagramBurst := max(datagrams*burstSeconds, minBurstDatagrams)
	byteBurst := max(bytes*burstSeconds, minBurstDatagrams*maxDatagramBytes)
	return buckets{
		datagrams: rate.NewLimiter(rate.Limit(datagrams), int(datagramBurst)),
		bytes:     rate.NewLimiter(rate.Limit(bytes), int(byteBurst)),
	}
}

// allows reports whether there are tokens for a datagram of the given size beyond a reserved share of the burst.
func (b buckets) allows(at time.Time, size int, reserve float64) bool {
	return b.datagrams.TokensAt(at) >= 1+reserve*float64(b.datagrams.Burst()) &&
		b.bytes.TokensAt(at) >= float64(size)+reserve*float64(b.bytes.Burst())
}

func (b buckets) take(at time.Time, size int) {
	b.datagrams.AllowN(at, 1)
	b.bytes.AllowN(at, size)
}

// Limiter limits one direction of the traffic. It is not safe for concurrent use.
type Limiter struct {
	limits  Limits
	total   buckets
	members map[swim.MemberID]buckets  // used for sending
	sources map[netip.AddrPort]buckets // used for receiving
}

// New returns a limiter with full buckets.
func New(limits Limits) *Limiter {
	return &Limiter{
		limits:  limits,
		total:   newBuckets(limits.TotalDatagrams, limits.TotalBytes),
		members: map[swim.MemberID]buckets{},
		sources: map[netip.AddrPort]buckets{},
	}
}

// timeOf converts seconds of any clock to the time type of the buckets.
func timeOf(now float64) time.Time { return time.Unix(0, int64(now*float64(time.Second))) }

// AllowSend reports whether a datagram may be sent to a member. A datagram of low priority must not use the reserved
// share of the total.
func (l *Limiter) AllowSend(now float64, member swim.MemberID, size int, lowPriority bool) bool {
	b, ok := l.members[member]
	if !ok {
		b = newBuckets(l.limits.PerPeerDatagrams, l.limits.PerPeerBytes)
		l.members[member] = b
	}
	reserve := 0.0
	if lowPriority {
		reserve = reservedShare
	}
	return l.take(timeOf(now), b, size, reserve)
}

// AllowReceive reports whether a datagram from an address may be processed. An address that floods exhausts only its
// own limit.
func (l *Limiter) AllowReceive(now float64, source netip.AddrPort, size int) bool {
	b, ok := l.sources[source]
	if !ok {
		if len(l.sources) >= maxSources {
			l.dropAnySource()
		}
		b = newBuckets(l.limits.PerPeerDatagrams, l.limits.PerPeerBytes)
		l.sources[source] = b
	}
	return l.take(timeOf(now), b, size, 0)
}

// dropAnySource deletes the buckets of one arbitrary source, which gets full buckets if it sends again.
func (l *Limiter) dropAnySource() {
	for source := range l.sources {
		delete(l.sources, source)
		return
	}
}

// take takes the tokens for a datagram from the peer's buckets and from the total if both allow it.
func (l *Limiter) take(at time.Time, own buckets, size int, reserve float64) bool {
	if !own.allows(at, size, 0) || !l.total.allows(at, size, reserve) {
		return false
	}
	own.take(at, size)
	l.total.take(at, size)
	return true
}
