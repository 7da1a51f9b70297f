package discovery

import (
	"context"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net"
	"time"

	"cairnfront/internal/netconn"
	"cairnfront/internal/telemetry"
)

const (
	// bufferBytes is the size of each of the connection's two ring buffers.
	bufferBytes = 16 << 10

	// heartbeatTimeout is the time without data after which a connection is closed: two heartbeat intervals of the
	// service plus a margin.
	heartbeatTimeout = 2500 * time.Millisecond
)

// errAddressChanged is the cancellation cause of a connection to a previous address of the service.
var errAddressChanged = errors.New("discovery service has another address")

// Client receives the events of the discovery service. It reconnects until its context is done, and requests the events
// after the last received revision on each connection. Its fields must be set before Run is called and must not be
// accessed after that, except to send on AddressChanges.
type Client struct {
	Address      string
	LastRevision uint64
	Telemetry    *telemetry.Metrics

	// OnEvent is called once for each event after LastRevision, in revision order, but not for heartbeats. It is
	// called on the goroutine that reads the connection. It may block on a full queue, but not on a socket or a disk,
	// because no heartbeat is read during the call.
	OnEvent func(Event)

	// AddressChanges receives new addresses of the service. The connection to the previous one is closed at once.
	AddressChanges chan string

	// OnRawEvent, if set, is called in place of OnEvent, on the same goroutine, for every event in the order of
	// arrival, including heartbeats. If it returns an error, the connection is closed. If OnRawEvent is set,
	// StartRevision must be set as well; each new connection requests the events after the revision that it returns.
	OnRawEvent    func(Event) error
	StartRevision func() uint64

	// Dial establishes a connection; if nil, TCP is used.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	readTimeout time.Duration // heartbeatTimeout unless a test sets another value
	gapRevision uint64        // revision whose gap was already reported with ErrRevisionGap; 0 if none
}

// Run receives events until the context is done. It waits with an exponential backoff between connections; a new
// address ends the wait.
func (c *Client) Run(ctx context.Context) error {
	if c.Dial == nil {
		c.Dial = dialNetwork
	}
	backoff := initialBackoff
	for ctx.Err() == nil {
		newAddress, receivedAny := c.runUntilAddressChange(ctx)
		if newAddress == "" {
			if receivedAny {
				backoff = initialBackoff
			}
			newAddress = c.waitForBackoff(ctx, backoff)
			backoff = nextBackoff(backoff)
		}
		if newAddress != "" {
			c.Address = newAddress
			backoff = initialBackoff
		}
	}
	return nil
}

// runUntilAddressChange runs one connection until it ends or the address changes. It returns the new address, or else
// whether the connection delivered any event. It starts the goroutine of the connection and waits for it to end.
func (c *Client) runUntilAddressChange(ctx context.Context) (newAddress string, receivedAny bool) {
	connCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan bool, 1)
	go func() { ended <- c.runConnection(connCtx) }()
	select {
	case newAddress = <-c.AddressChanges:
		cancel(errAddressChanged)
		<-ended
		return newAddress, false
	case receivedAny = <-ended:
		return "", receivedAny
	}
}

// waitForBackoff returns after the backoff, when the context is done, or with a new address.
func (c *Client) waitForBackoff(ctx context.Context, backoff time.Duration) (newAddress string) {
	select {
	case <-ctx.Done():
	case newAddress = <-c.AddressChanges:
	case <-time.After(backoff):
	}
	return newAddress
}

// runConnection reads events from one connection until it ends, and reports whether it received any.
func (c *Client) runConnection(ctx context.Context) (receivedAny bool) {
	c.Telemetry.ConnectionOpened(telemetry.SideDiscovery)
	remote := telemetry.Remote{Side: telemetry.SideDiscovery, Address: c.Address}
	startedAt := time.Now()
	rawConn, err := c.dial(ctx)
	if err != nil {
		c.Telemetry.ConnectionEnded(telemetry.ConnectionEnd{
			Remote:   remote,
			Reason:   netconn.ConnectFailed,
			Err:      err,
			OpenedAt: startedAt,
		})
		return false
	}
	if c.readTimeout == 0 {
		c.readTimeout = heartbeatTimeout
	}
	conn := netconn.New(rawConn, bufferBytes, c.readTimeout)
	defer conn.LogEnd(c.Telemetry, remote)
	stopClosing := context.AfterFunc(ctx, func() { conn.Close(cancelCode(ctx), nil) })
	defer stopClosing()
	defer func() {
		if p := recover(); p != nil {
			c.Telemetry.RecordPanic(telemetry.ComponentDiscovery, p)
			conn.Close(netconn.Panic, nil)
		}
	}()
	code, err := c.readEvents(conn, &receivedAny)
	conn.Close(code, err)
	return receivedAny
}

// cancelCode returns the end code of a connection whose context was cancelled.
func cancelCode(ctx context.Context) netconn.EndCode {
	if errors.Is(context.Cause(ctx), errAddressChanged) {
		return netconn.AddressChanged
	}
	return netconn.Shutdown
}

// readEvents requests the missing events, delivers each event that it reads, and returns why the connection ends.
func (c *Client) readEvents(conn *netconn.Conn, receivedAny *bool) (netconn.EndCode, error) {
	after := c.LastRevision
	if c.OnRawEvent != nil {
		after = c.StartRevision()
	}
	query := binary.BigEndian.AppendUint64(nil, after)
	if err := errors.Join(conn.Write(query), conn.Flush()); err != nil {
		return netconn.ClassifyError(err), err
	}
	headerBytes := make([]byte, HeaderSize)
	conn.SetFrameTimeout(c.readTimeout) // a long list may take longer in total while more data arrives
	for {
		conn.SetReadDeadline(time.Now().Add(c.readTimeout))
		ev, err := readEvent(conn, headerBytes)
		if err != nil {
			return readErrorCode(err), err
		}
		conn.FrameComplete()
		if err := c.deliver(ev); err != nil {
			return netconn.SequenceGap, err
		}
		*receivedAny = true
	}
}

// readEvent reads one frame. headerBytes is a scratch buffer of HeaderSize bytes.
func readEvent(conn *netconn.Conn, headerBytes []byte) (Event, error) {
	if err := conn.ReadFull(headerBytes); err != nil {
		return Event{}, err
	}
	header, err := ParseHeader(headerBytes)
	if err != nil {
		return Event{}, err
	}
	payload := make([]byte, header.PayloadBytes)
	if err := conn.ReadFull(payload); err != nil {
		return Event{}, err
	}
	ev, err := ParsePayload(header, payload)
	ev.Checksum = crc32.Update(crc32.ChecksumIEEE(headerBytes), crc32.IEEETable, payload)
	return ev, err
}

func readErrorCode(err error) netconn.EndCode {
	if errors.Is(err, ErrMalformed) {
		return netconn.ProtocolError
	}
	return netconn.ClassifyReadError(err, netconn.MissedHeartbeats)
}

func (c *Client) deliver(ev Event) error {
	if c.OnRawEvent != nil {
		return c.OnRawEvent(ev)
	}
	if ev.Kind == Heartbeat {
		return c.checkHeartbeat(ev.Revision)
	}
	return c.acceptInOrder(ev)
}
