package ratelimit

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestFloodingSourceUsesUpOnlyItsOwnShare has one source send far more than its limit next to a well-behaved one.
// With a single shared limit, the flood would displace the probes of healthy members. The flood must be limited to
// its share, and no datagram of the other source may be refused.
func TestFloodingSourceUsesUpOnlyItsOwnShare(t *testing.T) {
	l := New(Limits{PerPeerDatagrams: 50, PerPeerBytes: 50_000, TotalDatagrams: 1000, TotalBytes: 1e6})
	flooding, wellBehaved := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	taken, refused := 0, 0
	for i := range 100_000 {
		now := float64(i) / 10_000
		if l.AllowReceive(now, flooding, 500) {
			taken++
		}
		if i%1000 == 0 && !l.AllowReceive(now, wellBehaved, 500) {
			refused++
		}
	}
	assert.LessOrEqual(t, taken, 50+10*50)
	assert.Zero(t, refused)
}

// TestManySourcesStayWithinTheTotal sends from thousands of forged addresses. Each stays within its own limit, and
// together they would use all the processor time. The total limit must apply, and so must the limit of the table of
// sources.
func TestManySourcesStayWithinTheTotal(t *testing.T) {
	l := New(Limits{PerPeerDatagrams: 50, PerPeerBytes: 50_000, TotalDatagrams: 100, TotalBytes: 1e6})
	localhost := netip.MustParseAddr("127.0.0.1")
	taken := 0
	for i := range 50_000 {
		if l.AllowReceive(float64(i)/50_000, netip.AddrPortFrom(localhost, uint16(i)), 500) {
			taken++
		}
	}
	assert.LessOrEqual(t, taken, 201)
	assert.LessOrEqual(t, len(l.sources), maxSources)
}

// TestLowPriorityLeavesTheReservedShare sends push-pull messages until they are refused. If they used the entire
// limit, probes would be delayed and healthy members suspected. A share must remain for probes.
func TestLowPriorityLeavesTheReservedShare(t *testing.T) {
	l := New(Limits{PerPeerDatagrams: 1000, PerPeerBytes: 1e6, TotalDatagrams: 100, TotalBytes: 1e6})
	n := 0
	for l.AllowSend(1, 1, 100, true) {
		n++
	}
	assert.InDelta(t, 100*(1-reservedShare), n, 1)
	assert.True(t, l.AllowSend(1, 2, 100, false), "a probe is still allowed")
}
