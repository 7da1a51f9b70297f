package telemetry

import "time"

// ConnectionEnd says how a connection ended.
type ConnectionEnd struct {
	Side       string // client, member, board or asker
	RemoteAddr string
	Code       string // termination code
	Err        error  // nil for none
	OpenedAt   time.Time
	BytesIn    int64
	BytesOut   int64
}

// ConnectionOpened counts a connection that came up or is being made.
func (m *Metrics) ConnectionOpened(side string) {
	m.Inc(ConnectionsOpened.With(side))
	m.Inc(ConnectionsOpen.With(side))
}

// ConnectionEnded counts a connection that ended and writes its one log line.
func (m *Metrics) ConnectionEnded(e ConnectionEnd) {
	m.mu.Lock()
	m.values[ConnectionsEnded.With(e.Side, e.Code)]++
	m.values[ConnectionsOpen.With(e.Side)]--
	m.values[BytesReceived.With(e.Side)] += e.BytesIn
	m.values[BytesSent.With(e.Side)] += e.BytesOut
	m.mu.Unlock()
	attributes := []any{
		"side", e.Side,
		"code", e.Code,
		"peer", e.RemoteAddr,
		"lasted_s", time.Since(e.OpenedAt).Seconds(),
		"in", e.BytesIn,
		"out", e.BytesOut,
	}
	if e.Err != nil {
		attributes = append(attributes, "err", e.Err.Error())
	}
	m.Log.Info("connection ended", attributes...)
}
