package board

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"time"

	"cairnfront/internal/book"
	"cairnfront/internal/conn"
)

// How the client keeps its connection: resources and the protocol's own beat, no decisions.
const (
	ringSize  = 16 << 10
	beatsStop = 3 * time.Second // three of the board's beats
	firstWait = 100 * time.Millisecond
	mostWait  = 2 * time.Second
	dialLimit = 2 * time.Second
)

// Client follows the notice board and posts each event after Last once, in the order of the numbers.
type Client struct {
	Addr string
	Last uint64
	Post func(Event)
	Book *book.Book

	silence time.Duration // as beatsStop, where set
	missed  uint64        // the number that came where Last+1 was due, when it was seen first
}

// Run dials again, with a wait that grows, until the context ends.
func (c *Client) Run(ctx context.Context) error {
	for wait := firstWait; ctx.Err() == nil; {
		if c.follow(ctx) {
			wait = firstWait
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, mostWait)
	}
	return nil
}

// errGap tells of numbers that do not follow.
var errGap = errors.New("numbers do not follow")

// follow reads from one connection until it ends and says whether anything came.
func (c *Client) follow(ctx context.Context) (heard bool) {
	c.Book.Began("board")
	began := time.Now()
	raw, err := (&net.Dialer{Timeout: dialLimit}).DialContext(ctx, "tcp", c.Addr)
	if err != nil {
		c.Book.Ended(book.Ended{Side: "board", Peer: c.Addr, Code: conn.NoConnect, Err: err, Since: began})
		return false
	}
	if c.silence == 0 {
		c.silence = beatsStop
	}
	k := conn.New(raw, ringSize, c.silence)
	defer k.Done(c.Book, "board", c.Addr)
	defer context.AfterFunc(ctx, func() { k.End(conn.Shutdown, nil) })()
	defer func() {
		if p := recover(); p != nil {
			c.Book.Log.Error("panic", "where", "board", "what", fmt.Sprint(p), "stack", string(debug.Stack()))
			k.End(conn.Panic, nil)
		}
	}()
	code, err := c.read(k, &heard)
	k.End(code, err)
	return heard
}

func (c *Client) read(k *conn.Conn, heard *bool) (string, error) {
	if err := errors.Join(k.Write(binary.BigEndian.AppendUint64(nil, c.Last)), k.Flush()); err != nil {
		return conn.Reason(err), err
	}
	for head := make([]byte, HeadSize); ; {
		k.SetReadDeadline(time.Now().Add(c.silence))
		err := k.ReadFull(head)
		if err == nil {
			var number uint64
			var kind byte
			var size int
			if number, kind, size, err = ParseHead(head); err != nil {
				return conn.Protocol, err
			}
			payload := make([]byte, size)
			if err = k.ReadFull(payload); err == nil {
				ev, err := Parse(number, kind, payload)
				if err != nil {
					return conn.Protocol, err
				}
				if err := c.take(ev); err != nil {
					return conn.Gap, err
				}
				*heard = true
				continue
			}
		}
		if code := conn.Reason(err); code != conn.Slow {
			return code, err
		}
		return conn.Beats, err
	}
}

// take posts an event that follows the last one. A number that skips some is asked for again once, from the last
// event had; if the same comes again the board holds nothing between, and it is taken.
func (c *Client) take(ev Event) error {
	if ev.Beat {
		return nil
	}
	if ev.Number <= c.Last || ev.Number > c.Last+1 && c.missed != ev.Number {
		c.missed = ev.Number
		return fmt.Errorf("%w: %d after %d", errGap, ev.Number, c.Last)
	}
	c.Last, c.missed = ev.Number, 0
	c.Post(ev)
	return nil
}
