package ratelimit

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestFloodingSourceUsesUpOnlyItsOwnShare has one source send far over its limit beside a calm one. With one common
// limit the flood would push out the probes of healthy members. The flood must be cut to its share, and the calm
// source must lose nothing.
func TestFloodingSourceUsesUpOnlyItsOwnShare(t *testing.T) {
	l := New(Limits{PerPeerDatagrams: 50, PerPeerBytes: 50_000, TotalDatagrams: 1000, TotalBytes: 1e6})
	flooding, calm := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	taken, refused := 0, 0
	for i := range 100_000 {
		now := float64(i) / 10_000
		if l.AllowReceive(now, flooding, 500) {
			taken++
		}
		if i%1000 == 0 && !l.AllowReceive(now, calm, 500) {
			refused++
		}
	}
	assert.LessOrEqual(t, taken, 50+10*50)
	assert.Zero(t, refused)
}

// TestManySourcesStayWithinTheTotal sends from thousands of forged addresses. Each is within its own limit, and
// together they would take all the processor time. The total must hold, and so must the bound of the table of
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

// TestLowPriorityLeavesTheReservedShare sends push-pull exchanges until they are refused. Exchanges that take the
// entire limit would delay probes, and healthy members would be suspected. A share must be left for probes.
func TestLowPriorityLeavesTheReservedShare(t *testing.T) {
	l := New(Limits{PerPeerDatagrams: 1000, PerPeerBytes: 1e6, TotalDatagrams: 100, TotalBytes: 1e6})
	n := 0
	for l.AllowSend(1, 1, 100, true) {
		n++
	}
	assert.InDelta(t, 100*(1-reservedShare), n, 1)
	assert.True(t, l.AllowSend(1, 2, 100, false), "a probe still passes")
}
