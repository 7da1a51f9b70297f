package ratelimit

import (
	"net/netip"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestOneThatFloodsUsesUpItsOwnPartOnly(t *testing.T) {
	m := New(Terms{EachDatagrams: 50, EachBytes: 50_000, AllDatagrams: 1000, AllBytes: 1e6})
	bad, good := netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")
	taken, lost := 0, 0
	for i := range 100_000 {
		now := float64(i) / 10_000
		if m.In(now, bad, 500) {
			taken++
		}
		if i%1000 == 0 && !m.In(now, good, 500) {
			lost++
		}
	}
	assert.LessOrEqual(t, taken, 50+10*50)
	assert.Zero(t, lost)
}

func TestManyAddressesStayWithinTheWhole(t *testing.T) {
	m := New(Terms{EachDatagrams: 50, EachBytes: 50_000, AllDatagrams: 100, AllBytes: 1e6})
	taken := 0
	for i := range 50_000 {
		if m.In(float64(i)/50_000, netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(i)), 500) {
			taken++
		}
	}
	assert.LessOrEqual(t, taken, 201)
	assert.LessOrEqual(t, len(m.from), mostSources)
}

func TestExchangesWaitBeforeChecksDo(t *testing.T) {
	m := New(Terms{EachDatagrams: 1000, EachBytes: 1e6, AllDatagrams: 100, AllBytes: 1e6})
	n := 0
	for m.Out(1, 1, 100, true) {
		n++
	}
	assert.InDelta(t, 100*(1-reserved), n, 1)
	assert.True(t, m.Out(1, 2, 100, false), "a check still goes")
}
