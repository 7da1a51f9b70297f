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

	// heartbeatTimeout is how long nothing may come on a connection: two heartbeats of the service and a margin.
	heartbeatTimeout = 2500 * time.Millisecond
)

// errAddressChanged is the cause with which a connection to an earlier address is cancelled.
var errAddressChanged = errors.New("discovery service has another address")

// Client watches the discovery service. It reconnects until its context ends, and asks each time for the events that
// follow the last one it has. Its fields are set before Run and belong to Run from then on.
type Client struct {
	Address      string
	LastRevision uint64
	Telemetry    *telemetry.Metrics

	// OnEvent is handed each event after LastRevision once, in the order of the revisions, and no heartbeats. It is
	// called on the goroutine that reads the connection. It may wait for room in a queue, but not for a socket or
	// a disk: no heartbeat is read meanwhile.
	OnEvent func(Event)

	// AddressChanges brings new addresses of the service. The connection to the former one is closed at once.
	AddressChanges chan string

	// OnRawEvent, where set, is handed every event as it came, heartbeats too, in place of OnEvent and on the same
	// goroutine. Its error ends the connection. StartRevision then returns the revision after which the service is
	// asked on each new connection.
	OnRawEvent    func(Event) error
	StartRevision func() uint64

	// Dial establishes a connection; over TCP where nil.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	readTimeout time.Duration // heartbeatTimeout unless a test sets another
	gapRevision uint64        // revision that came after a gap, when it was seen first; 0 for none
}

// Run watches the service until the context ends. Between connections it waits with an exponential backoff, which a new
// address cuts short.
func (c *Client) Run(ctx context.Context) error {
	if c.Dial == nil {
		c.Dial = dialNetwork
	}
	backoff := initialBackoff
	for ctx.Err() == nil {
		newAddress, receivedAny := c.watchUntilAddressChange(ctx)
		if newAddress == "" {
			if receivedAny {
				backoff = initialBackoff
			}
			newAddress = c.wait(ctx, backoff)
			backoff = nextBackoff(backoff)
		}
		if newAddress != "" {
			c.Address = newAddress
			backoff = initialBackoff
		}
	}
	return nil
}

// watchUntilAddressChange runs one connection. It returns the new address if one came meanwhile, and otherwise whether
// the connection brought any event. It owns the goroutine of the connection and waits for its end.
func (c *Client) watchUntilAddressChange(ctx context.Context) (newAddress string, receivedAny bool) {
	connCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ended := make(chan bool, 1)
	go func() { ended <- c.watch(connCtx) }()
	select {
	case newAddress = <-c.AddressChanges:
		cancel(errAddressChanged)
		<-ended
		return newAddress, false
	case receivedAny = <-ended:
		return "", receivedAny
	}
}

// wait returns after the backoff, at the end of the context, or with a new address.
func (c *Client) wait(ctx context.Context, backoff time.Duration) (newAddress string) {
	select {
	case <-ctx.Done():
	case newAddress = <-c.AddressChanges:
	case <-time.After(backoff):
	}
	return newAddress
}

// watch reads events from one connection until it ends and returns whether any came.
func (c *Client) watch(ctx context.Context) (receivedAny bool) {
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

// cancelCode is the end code of a connection whose context was cancelled.
func cancelCode(ctx context.Context) netconn.EndCode {
	if errors.Is(context.Cause(ctx), errAddressChanged) {
		return netconn.AddressChanged
	}
	return netconn.Shutdown
}

// readEvents asks for the missing events, hands on those that come, and returns why the connection ends.
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
	conn.SetFrameTimeout(c.readTimeout) // a long list may take longer as long as more of it comes
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

// readEvent reads one frame. headerBytes is scratch space of HeaderSize bytes.
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
