package lab

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"cairnfront/internal/discovery"
)

// noticeBoard is a stand-in of the notice board. It notes when each event had been written to every connection that
// was there.
type noticeBoard struct {
	ln net.Listener

	mu     sync.Mutex
	events []discovery.Event
	frames [][]byte
	told   []float64 // Unix s by which every connection had the event
	conns  map[*watcher]bool
	muted  bool // new connections are turned away: the board is out of reach
	all    sync.WaitGroup
}

type watcher struct {
	c    net.Conn
	wake chan struct{}
}

func newBoard() (*noticeBoard, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &noticeBoard{ln: ln, conns: map[*watcher]bool{}}
	b.all.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b.all.Go(func() { b.serve(c) })
		}
	})
	return b, nil
}

func (b *noticeBoard) addr() string { return b.ln.Addr().String() }

// close ends it and all its connections.
func (b *noticeBoard) close() {
	_ = b.ln.Close()
	b.hangUp(true)
	b.all.Wait()
}

// hangUp ends all connections; with stay, new ones are turned away until it is called without.
func (b *noticeBoard) hangUp(stay bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.muted = stay
	for w := range b.conns {
		_ = w.c.Close()
	}
}

func unix(t time.Time) float64 { return float64(t.UnixMicro()) / 1e6 }

// tell publishes an event and returns its place.
func (b *noticeBoard) tell(ev discovery.Event) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	ev.Revision = uint64(len(b.events) + 1)
	f, err := discovery.AppendEvent(nil, ev)
	if err != nil {
		panic(err) // the scenario's own mistake
	}
	b.events, b.frames = append(b.events, ev), append(b.frames, f)
	b.told = append(b.told, unix(time.Now()))
	for w := range b.conns {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(b.events) - 1
}

// toldAt says by when an event was told to all.
func (b *noticeBoard) toldAt(i int) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.told[i]
}

func (b *noticeBoard) serve(c net.Conn) {
	defer c.Close()
	last := make([]byte, 8)
	if _, err := io.ReadFull(c, last); err != nil {
		return
	}
	w := &watcher{c: c, wake: make(chan struct{}, 1)}
	b.mu.Lock()
	if b.muted {
		b.mu.Unlock()
		return
	}
	b.conns[w] = true
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		delete(b.conns, w)
		b.mu.Unlock()
	}()
	gone := make(chan struct{})
	go func() {
		_, _ = c.Read(make([]byte, 1)) // it brings nothing more: this ends with the connection
		close(gone)
	}()
	beat := time.NewTicker(time.Second)
	defer beat.Stop()
	at := binary.BigEndian.Uint64(last)
	for first := true; ; first = false {
		b.mu.Lock()
		live := len(b.frames)
		var out []byte
		for from := min(int(at), live); from < live; from++ {
			out = append(out, b.frames[from]...)
		}
		b.mu.Unlock()
		if len(out) == 0 || first { // what there was is told whole: the beat says so
			out, _ = discovery.AppendEvent(out, discovery.Event{Revision: uint64(live), Kind: discovery.Heartbeat})
		}
		if _, err := c.Write(out); err != nil {
			return
		}
		now := unix(time.Now())
		b.mu.Lock()
		for i := int(at); i < live; i++ {
			if !first { // a connection that comes later does not count
				b.told[i] = max(b.told[i], now)
			}
		}
		b.mu.Unlock()
		at = max(at, uint64(live))
		select {
		case <-gone:
			return
		case <-w.wake:
		case <-beat.C:
		}
	}
}
