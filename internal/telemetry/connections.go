package telemetry

import (
	"fmt"
	"time"
)

// ConnectionEnd says how a connection ended.
type ConnectionEnd struct {
	Side          Side
	RemoteAddr    string
	Reason        fmt.Stringer // a netconn.EndCode
	Err           error        // nil for none
	OpenedAt      time.Time
	BytesReceived int64
	BytesSent     int64
}

// ConnectionOpened counts a connection that came up or is being made.
func (m *Metrics) ConnectionOpened(side Side) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[ConnectionsOpened.With(side).series]++
	m.values[ConnectionsOpen.With(side).series]++
}

// ConnectionEnded counts a connection that ended and writes its one log line.
func (m *Metrics) ConnectionEnded(e ConnectionEnd) {
	m.countConnectionEnd(e)
	attributes := []any{
		"side", e.Side,
		"reason", e.Reason,
		"remote_address", e.RemoteAddr,
		"duration_seconds", time.Since(e.OpenedAt).Seconds(),
		"bytes_received", e.BytesReceived,
		"bytes_sent", e.BytesSent,
	}
	if e.Err != nil {
		attributes = append(attributes, "error", e.Err.Error())
	}
	m.Log.Info("connection closed", attributes...)
}

func (m *Metrics) countConnectionEnd(e ConnectionEnd) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[ConnectionsClosed.With(e.Side, e.Reason).series]++
	m.values[ConnectionsOpen.With(e.Side).series]--
	m.values[BytesReceived.With(e.Side).series] += float64(e.BytesReceived)
	m.values[BytesSent.With(e.Side).series] += float64(e.BytesSent)
}
