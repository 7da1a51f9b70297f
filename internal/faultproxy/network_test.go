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

const timeout = 10 * time.Second

func listenUDP(t *testing.T) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

func addressOf(t *testing.T, conn *net.UDPConn) netip.AddrPort {
	t.Helper()
	address, err := netip.ParseAddrPort(conn.LocalAddr().String())
	require.NoError(t, err)
	return address
}

func scriptOf(list ...faults.Fault) faults.Script {
	return faults.Script{Processes: 2, Duration: 60, Faults: list}
}

// TestDatagramsFollowTheScript checks that a datagram arrives unchanged without faults, that faults corrupt, duplicate
// or lose it, and that a lost one does not arrive after the link is open again. If the proxy did not follow the script,
// a scenario would attribute the resulting errors to a router.
func TestDatagramsFollowTheScript(t *testing.T) {
	network := New(1, 2)
	defer network.Close()
	receiver, sender := listenUDP(t), listenUDP(t)
	proxy, err := network.ForwardDatagrams(0, 1, addressOf(t, receiver))
	require.NoError(t, err)
	send := func(text string) {
		_, err := sender.WriteToUDPAddrPort([]byte(text), proxy)
		require.NoError(t, err)
	}
	receive := func() string {
		buffer := make([]byte, 100)
		_ = receiver.SetReadDeadline(time.Now().Add(timeout))
		size, err := receiver.Read(buffer)
		require.NoError(t, err)
		return string(buffer[:size])
	}
	send("as it is")
	assert.Equal(t, "as it is", receive())

	network.StartScript(scriptOf(
		faults.Fault{Kind: faults.Corrupt, Share: 1},
		faults.Fault{Kind: faults.Duplicate, Share: 1}))
	send("corrupt")
	first, second := receive(), receive()
	assert.NotEqual(t, "corrupt", first)
	assert.Equal(t, first, second, "both copies of a duplicated datagram are corrupted alike")

	network.StartScript(scriptOf(faults.Fault{Kind: faults.Cut, From: []int{0}, To: []int{1}}))
	send("lost")
	allSent := func() bool {
		datagrams, _ := network.SentBetween(0, 0, recordedSeconds)
		return datagrams == 3
	}
	require.Eventually(t, allSent, timeout, time.Millisecond, "a datagram lost on a cut link counts as sent")

	network.StartScript(scriptOf())
	send("after")
	assert.Equal(t, "after", receive(), "a datagram lost on a cut link does not arrive later")
}

// serveEcho echoes the bytes of each connection. It returns when the listener is closed; the goroutine of each
// connection ends when its connection does.
func serveEcho(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			_, _ = io.Copy(conn, conn)
			_ = conn.Close()
		}()
	}
}

// TestConnectionsWaitWhileCutAndContinue checks that no bytes arrive while one direction is cut, and that all of them
// arrive afterwards. On a real network, a partition closes no connection and loses none of its bytes. A proxy that
// closed connections would hide how routers behave during a partition.
func TestConnectionsWaitWhileCutAndContinue(t *testing.T) {
	var config net.ListenConfig
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	go serveEcho(listener)
	network := New(1, 2)
	defer network.Close()
	proxy, err := network.ForwardConnections(0, 1, listener.Addr().String())
	require.NoError(t, err)
	var dialer net.Dialer
	conn, err := dialer.DialContext(t.Context(), "tcp", proxy)
	require.NoError(t, err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	send := func(text string) {
		_, err := io.WriteString(conn, text+"\n")
		require.NoError(t, err)
	}
	receive := func() string {
		_ = conn.SetReadDeadline(time.Now().Add(timeout))
		text, err := reader.ReadString('\n')
		require.NoError(t, err)
		return text
	}
	send("one")
	assert.Equal(t, "one\n", receive())

	returnCut := faults.Fault{Kind: faults.Cut, From: []int{1}, To: []int{0}}
	network.StartScript(scriptOf(returnCut))
	send("two")
	_ = conn.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	_, err = reader.ReadByte()
	require.Error(t, err, "no bytes arrive while the direction is cut")

	network.StartScript(scriptOf())
	assert.Equal(t, "two\n", receive(), "bytes sent while the direction was cut are not lost")
}
