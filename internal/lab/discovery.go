package lab

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"cairnfront/internal/discovery"
)

// discoveryServer is a stand-in of the discovery service. It notes when each event had been written to every
// connection that
// was there.
type discoveryServer struct {
	listener net.Listener

	mu          sync.Mutex
	events      []discovery.Event
	frames      [][]byte
	deliveredAt []float64 // Unix s by which every connection had the event
	watchers    map[*watcher]bool
	refusing    bool // new connections are turned away: the discovery server is out of reach
	workers     sync.WaitGroup
}

type watcher struct {
	conn net.Conn
	wake chan struct{}
}

func newDiscoveryServer() (*discoveryServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &discoveryServer{listener: ln, watchers: map[*watcher]bool{}}
	server.workers.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			server.workers.Go(func() { server.serve(c) })
		}
	})
	return server, nil
}

func (server *discoveryServer) addr() string { return server.listener.Addr().String() }

// close ends it and all its connections.
func (server *discoveryServer) close() {
	_ = server.listener.Close()
	server.dropConnections(true)
	server.workers.Wait()
}

// dropConnections ends all connections; with stay, new ones are turned away until it is called without.
func (server *discoveryServer) dropConnections(stay bool) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.refusing = stay
	for w := range server.watchers {
		_ = w.conn.Close()
	}
}

// publish publishes an event and returns its place.
func (server *discoveryServer) publish(ev discovery.Event) int {
	server.mu.Lock()
	defer server.mu.Unlock()
	ev.Revision = uint64(len(server.events) + 1)
	f, err := discovery.AppendEvent(nil, ev)
	if err != nil {
		panic(err) // the scenario's own mistake
	}
	server.events, server.frames = append(server.events, ev), append(server.frames, f)
	server.deliveredAt = append(server.deliveredAt, unixSeconds(time.Now()))
	for w := range server.watchers {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(server.events) - 1
}

// deliveryTime says by when an event was told to all.
func (server *discoveryServer) deliveryTime(i int) float64 {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.deliveredAt[i]
}

func (server *discoveryServer) serve(c net.Conn) {
	defer c.Close()
	last := make([]byte, 8)
	if _, err := io.ReadFull(c, last); err != nil {
		return
	}
	w := &watcher{conn: c, wake: make(chan struct{}, 1)}
	server.mu.Lock()
	if server.refusing {
		server.mu.Unlock()
		return
	}
	server.watchers[w] = true
	server.mu.Unlock()
	defer func() {
		server.mu.Lock()
		delete(server.watchers, w)
		server.mu.Unlock()
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
		server.mu.Lock()
		live := len(server.frames)
		var out []byte
		for from := min(int(at), live); from < live; from++ {
			out = append(out, server.frames[from]...)
		}
		server.mu.Unlock()
		if len(out) == 0 || first { // what there was is told whole: the beat says so
			out, _ = discovery.AppendEvent(out, discovery.Event{Revision: uint64(live), Kind: discovery.Heartbeat})
		}
		if _, err := c.Write(out); err != nil {
			return
		}
		now := unixSeconds(time.Now())
		server.mu.Lock()
		for i := int(at); i < live; i++ {
			if !first { // a connection that comes later does not count
				server.deliveredAt[i] = max(server.deliveredAt[i], now)
			}
		}
		server.mu.Unlock()
		at = max(at, uint64(live))
		select {
		case <-gone:
			return
		case <-w.wake:
		case <-beat.C:
		}
	}
}
