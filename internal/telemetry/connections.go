package telemetry

import (
	"fmt"
	"time"
)

// Remote describes the peer of a connection.
type Remote struct {
	Side     Side
	Endpoint string // id of the endpoint; empty for other sides
	Address  string // empty if the endpoint has no usable address
}

// ConnectionEnd describes how a connection ended.
type ConnectionEnd struct {
	Remote        Remote
	Reason        fmt.Stringer // a netconn.EndCode
	Err           error        // nil if the connection ended without an error
	OpenedAt      time.Time
	BytesReceived int64
	BytesSent     int64
	Taken         *TakenByEnd // nil except for the connection of a client
}

// TakenByEnd is what the end of a client's connection took with it.
type TakenByEnd struct {
	OpenRequests    int   // requests without a response, except those that the client had cancelled
	UnsentResponses int   // responses that the socket had not accepted completely
	UnreadRequests  int   // requests of which a part had arrived and that were not read completely
	UnreadBytes     int64 // input that had arrived and was not read
	UnsentBytes     int64 // output that the client's socket had not accepted
	BodyMemoryBytes int64 // what bodies used of their memory in the process
}

// requests returns how many requests were left without a complete response.
func (t *TakenByEnd) requests() int { return t.OpenRequests + t.UnsentResponses + t.UnreadRequests }

// ConnectionOpened counts a connection that was accepted or is being established.
func (m *Metrics) ConnectionOpened(side Side) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[ConnectionsOpened.With(side).series]++
	m.values[ConnectionsOpen.With(side).series]++
}

// ConnectionEnded counts a connection that ended and writes its log line.
func (m *Metrics) ConnectionEnded(e ConnectionEnd) {
	m.countConnectionEnd(e)
	attributes := []any{"side", e.Remote.Side, "reason", e.Reason}
	if e.Remote.Endpoint != "" {
		attributes = append(attributes, "endpoint", e.Remote.Endpoint)
	}
	attributes = append(attributes,
		"remote_address", e.Remote.Address,
		"duration_seconds", time.Since(e.OpenedAt).Seconds(),
		"bytes_received", e.BytesReceived,
		"bytes_sent", e.BytesSent,
	)
	if e.Taken != nil {
		attributes = append(attributes,
			"open_requests", e.Taken.OpenRequests,
			"unsent_responses", e.Taken.UnsentResponses,
			"unread_requests", e.Taken.UnreadRequests,
			"unread_bytes", e.Taken.UnreadBytes,
			"unsent_bytes", e.Taken.UnsentBytes,
			"body_memory_bytes", e.Taken.BodyMemoryBytes,
		)
	}
	if e.Err != nil {
		attributes = append(attributes, "error", e.Err.Error())
	}
	m.Log.Info("connection closed", attributes...)
}

func (m *Metrics) countConnectionEnd(e ConnectionEnd) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.values[ConnectionsClosed.With(e.Remote.Side, e.Reason).series]++
	m.values[ConnectionsOpen.With(e.Remote.Side).series]--
	m.values[BytesReceived.With(e.Remote.Side).series] += float64(e.BytesReceived)
	m.values[BytesSent.With(e.Remote.Side).series] += float64(e.BytesSent)
	if e.Taken != nil && e.Taken.requests() > 0 {
		m.values[RequestsTakenByClose.With(e.Reason).series] += float64(e.Taken.requests())
	}
}
