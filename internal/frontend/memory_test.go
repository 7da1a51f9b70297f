//go:build !race

// The race detector adds to the memory of goroutines, so its builds do not run this test.

package frontend

import (
	"net"
	"runtime"
	"testing"
	"time"

	"cairnfront/internal/clientproto"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// liveBytes returns the memory that is in use after a garbage collection.
func liveBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}

// Guards against a memory plan that counts less for a client connection than it uses: the process would exceed its
// memory with as many connections as its limits allow.
func TestConnectionUsesAtMostItsPlannedMemory(t *testing.T) {
	const conns = 90
	s, _, dial := startServer(t, nil)
	large := clientproto.AppendHeader(nil, clientproto.TypeRequest, 1, clientproto.MaxRequestBytes+1)
	frames := map[string][]byte{
		"idle":    nil,
		"partial": readinessQuery(1)[:5],
		"request": requestFrame(1, "aa"),
		"unsound": requestFrame(1, "zz"),
		"large":   append(large, make([]byte, 9000)...),
	}
	for name, sent := range frames {
		before := liveBytes()
		var clients []net.Conn
		for range conns {
			c := dial()
			_, err := c.Write(sent)
			require.NoError(t, err)
			clients = append(clients, c.Conn)
		}
		require.Eventually(t, func() bool { return s.Admission.OpenClients() == conns }, time.Minute, time.Millisecond)
		time.Sleep(50 * time.Millisecond)
		used := (liveBytes() - before) / conns
		t.Logf("%s: %d bytes a connection, rings of %d", name, used, s.Admission.ClientRingBytes())
		assert.LessOrEqual(t, used, s.Admission.ClientConnBytes())
		for _, c := range clients {
			_ = c.Close()
		}
		require.Eventually(t, func() bool { return s.Admission.OpenClients() == 0 }, time.Minute, time.Millisecond)
	}
}
