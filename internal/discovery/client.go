package discovery

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"net"
	"runtime/debug"
	"time"

	"cairnfront/internal/netconn"
	"cairnfront/internal/telemetry"
)

// How the client keeps its connection: resources and the protocol's own beat, no decisions.
const (
	ringSize  = 16 << 10
	beatsStop = 2500 * time.Millisecond // two of the board's beats and a margin
	firstWait = 100 * time.Millisecond
	mostWait  = 400 * time.Millisecond
	dialLimit = time.Second
)

// Client follows the notice board and posts each event after Last once, in the order of the numbers.
type Client struct {
	Address      string
	LastRevision uint64
	OnEvent      func(Event)
	Telemetry    *telemetry.Book
	// Moves brings the board's new addresses. The connection to the old one is hung up: from then on the new board
	// is asked, with the number of the last event had.
	AddressChanges chan string
	// Raw, where set, is handed every event as it came, beats too, in place of Post; its error ends the connection.
	// From then says for each new connection after which number the board is asked.
	OnRawEvent    func(Event) error
	StartRevision func() uint64

	silence time.Duration // as beatsStop, where set
	missed  uint64        // the number that came where Last+1 was due, when it was seen first
}

// errMoved tells of a new address.
var errMoved = errors.New("the notice board moved")

// Run dials again, with a wait that grows, until the context ends. At a new address it dials at once.
func (c *Client) Run(ctx context.Context) error {
	for wait := firstWait; ctx.Err() == nil; {
		here, hangUp := context.WithCancelCause(ctx)
		ended := make(chan bool, 1)
		go func() { ended <- c.follow(here) }()
		moved := ""
		select {
		case moved = <-c.AddressChanges:
			hangUp(errMoved)
			<-ended
		case heard := <-ended:
			hangUp(nil)
			if heard {
				wait = firstWait
			}
			select {
			case <-ctx.Done():
			case moved = <-c.AddressChanges:
			case <-time.After(wait):
			}
			wait = min(2*wait, mostWait)
		}
		if moved != "" {
			c.Address, wait = moved, firstWait
		}
	}
	return nil
}

// errGap tells of numbers that do not follow.
var errGap = errors.New("numbers do not follow")

// follow reads from one connection until it ends and says whether anything came.
func (c *Client) follow(ctx context.Context) (heard bool) {
	c.Telemetry.Began("board")
	began := time.Now()
	raw, err := (&net.Dialer{Timeout: dialLimit}).DialContext(ctx, "tcp", c.Address)
	if err != nil {
		c.Telemetry.Ended(telemetry.Ended{Side: "board", Peer: c.Address, Code: netconn.ConnectFailed.String(), Err: err, Since: began})
		return false
	}
	if c.silence == 0 {
		c.silence = beatsStop
	}
	k := netconn.New(raw, ringSize, c.silence)
	defer k.LogEnd(c.Telemetry, "board", c.Address)
	defer context.AfterFunc(ctx, func() {
		code := netconn.Shutdown
		if errors.Is(context.Cause(ctx), errMoved) {
			code = netconn.AddressChanged
		}
		k.Close(code, nil)
	})()
	defer func() {
		if p := recover(); p != nil {
			c.Telemetry.Log.Error("panic", "where", "board", "what", fmt.Sprint(p), "stack", string(debug.Stack()))
			k.Close(netconn.Panic, nil)
		}
	}()
	code, err := c.read(k, &heard)
	k.Close(code, err)
	return heard
}

func (c *Client) read(k *netconn.Conn, heard *bool) (netconn.EndCode, error) {
	from := c.LastRevision
	if c.OnRawEvent != nil {
		from = c.StartRevision()
	}
	if err := errors.Join(k.Write(binary.BigEndian.AppendUint64(nil, from)), k.Flush()); err != nil {
		return netconn.ClassifyError(err), err
	}
	for head := make([]byte, HeaderSize); ; {
		k.SetReadDeadline(time.Now().Add(c.silence))
		err := k.ReadFull(head)
		if err == nil {
			var number uint64
			var kind byte
			var size int
			if number, kind, size, err = ParseHeader(head); err != nil {
				return netconn.ProtocolError, err
			}
			payload := make([]byte, size)
			if err = k.ReadFull(payload); err == nil {
				ev, err := ParsePayload(number, kind, payload)
				if err != nil {
					return netconn.ProtocolError, err
				}
				if c.OnRawEvent != nil {
					ev.Checksum = crc32.Update(crc32.ChecksumIEEE(head), crc32.IEEETable, payload)
					err = c.OnRawEvent(ev)
				} else {
					err = c.take(ev)
				}
				if err != nil {
					return netconn.SequenceGap, err
				}
				*heard = true
				continue
			}
		}
		if code := netconn.ClassifyError(err); code != netconn.SlowReader {
			return code, err
		}
		return netconn.MissedHeartbeats, err
	}
}

// take posts an event that follows the last one; one that was had before is passed over. A number that skips some is
// asked for again once, from the last event had; if the same comes again the board holds nothing between, and it is
// taken. So is a beat that names a later event than the last one had: on a connection that brings beats and no news a drain
// would never be heard of.
func (c *Client) take(ev Event) error {
	if ev.Heartbeat { // it names the board's last event: one that was not had got lost, or is held back on this connection
		if ev.Revision > c.LastRevision && c.missed != ev.Revision {
			c.missed = ev.Revision
			return fmt.Errorf("%w: a beat at %d after %d", errGap, ev.Revision, c.LastRevision)
		}
		return nil
	}
	if ev.Revision <= c.LastRevision {
		c.Telemetry.Add("board.had-before", 1)
		return nil
	}
	if ev.Revision > c.LastRevision+1 && c.missed != ev.Revision {
		c.missed = ev.Revision
		return fmt.Errorf("%w: %d after %d", errGap, ev.Revision, c.LastRevision)
	}
	c.LastRevision, c.missed = ev.Revision, 0
	c.OnEvent(ev)
	return nil
}
