package ratelimit

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestOneThatFloodsUsesUpItsOwnPartOnly(t *testing.T) {
	m := New(Limits{PerPeerDatagrams: 50, PerPeerBytes: 50_000, TotalDatagrams: 1000, TotalBytes: 1e6})
	bad, good := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	taken, lost := 0, 0
	for i := range 100_000 {
		now := float64(i) / 10_000
		if m.AllowReceive(now, bad, 500) {
			taken++
		}
		if i%1000 == 0 && !m.AllowReceive(now, good, 500) {
			lost++
		}
	}
	assert.LessOrEqual(t, taken, 50+10*50)
	assert.Zero(t, lost)
}

func TestManyAddressesStayWithinTheWhole(t *testing.T) {
	m := New(Limits{PerPeerDatagrams: 50, PerPeerBytes: 50_000, TotalDatagrams: 100, TotalBytes: 1e6})
	taken := 0
	for i := range 50_000 {
		if m.AllowReceive(float64(i)/50_000, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i)), 500) {
			taken++
		}
	}
	assert.LessOrEqual(t, taken, 201)
	assert.LessOrEqual(t, len(m.from), mostSources)
}

func TestExchangesWaitBeforeChecksDo(t *testing.T) {
	m := New(Limits{PerPeerDatagrams: 1000, PerPeerBytes: 1e6, TotalDatagrams: 100, TotalBytes: 1e6})
	n := 0
	for m.AllowSend(1, 1, 100, true) {
		n++
	}
	assert.InDelta(t, 100*(1-reserved), n, 1)
	assert.True(t, m.AllowSend(1, 2, 100, false), "a check still goes")
}
