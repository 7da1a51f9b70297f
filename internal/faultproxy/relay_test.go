package faultproxy

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"cairnfront/internal/sim/faults"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const patience = 10 * time.Second

func udp(t *testing.T) *net.UDPConn {
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func at(c *net.UDPConn) netip.AddrPort { return c.LocalAddr().(*net.UDPAddr).AddrPort() }

func TestDatagramsPassAsTheScriptSays(t *testing.T) {
	n := New(1, 2)
	defer n.Close()
	to, from := udp(t), udp(t)
	way, err := n.ForwardDatagrams(0, 1, at(to))
	require.NoError(t, err)
	send := func(text string) {
		_, err := from.WriteToUDPAddrPort([]byte(text), way)
		require.NoError(t, err)
	}
	hear := func() string {
		buf := make([]byte, 100)
		_ = to.SetReadDeadline(time.Now().Add(patience))
		size, err := to.Read(buf)
		require.NoError(t, err)
		return string(buf[:size])
	}
	send("as it is")
	assert.Equal(t, "as it is", hear())
	n.StartScript(faults.Script{Processes: 2, Duration: 60, Faults: []faults.Fault{{Kind: faults.Corrupt, Share: 1}, {Kind: faults.Duplicate, Share: 1}}})
	send("spoilt")
	a, b := hear(), hear()
	assert.NotEqual(t, "spoilt", a)
	assert.Equal(t, a, b, "and twice")
	n.StartScript(faults.Script{Processes: 2, Duration: 60, Faults: []faults.Fault{{Kind: faults.Cut, From: []int{0}, To: []int{1}}}})
	send("lost")
	require.Eventually(t, func() bool { d, _ := n.SentBetween(0, 0, 3600); return d == 3 }, patience, time.Millisecond, "what is cut is counted as sent")
	n.StartScript(faults.Script{Processes: 2, Duration: 60})
	send("after")
	assert.Equal(t, "after", hear(), "what was cut does not come later")
}

func TestConnectionsWaitWhileCutAndGoOn(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	n := New(1, 2)
	defer n.Close()
	way, err := n.ForwardConnections(0, 1, ln.Addr().String())
	require.NoError(t, err)
	c, err := net.Dial("tcp", way)
	require.NoError(t, err)
	defer c.Close()
	r := bufio.NewReader(c)
	say := func(text string) { _, err := io.WriteString(c, text+"\n"); require.NoError(t, err) }
	hear := func() string {
		_ = c.SetReadDeadline(time.Now().Add(patience))
		text, err := r.ReadString('\n')
		require.NoError(t, err)
		return text
	}
	say("one")
	assert.Equal(t, "one\n", hear())
	n.StartScript(faults.Script{Processes: 2, Duration: 60, Faults: []faults.Fault{{Kind: faults.Cut, From: []int{1}, To: []int{0}}}}) // the way back
	say("two")
	_ = c.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	_, err = r.ReadByte()
	require.Error(t, err, "nothing comes")
	n.StartScript(faults.Script{Processes: 2, Duration: 60})
	assert.Equal(t, "two\n", hear(), "and nothing is lost")
}
