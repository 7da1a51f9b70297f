package standin

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"cairnfront/internal/discovery"
	"cairnfront/internal/lab/timing"
)

// heartbeatInterval is how often a watcher that has everything hears from the discovery server.
const heartbeatInterval = time.Second

// DiscoveryServer is a stand-in of the discovery service. It records when each event had been written to every
// connection that was open.
type DiscoveryServer struct {
	listener net.Listener
	workers  sync.WaitGroup

	mu          sync.Mutex
	frames      [][]byte  // of the events, in order
	deliveredAt []float64 // Unix s by which every connection had the event
	watchers    map[*watcher]bool
	refusing    bool // new connections are refused
}

// watcher is a connection that watches.
type watcher struct {
	conn net.Conn
	wake chan struct{} // signals new events; holds one
}

// NewDiscoveryServer starts one on a port of the system's choice. Its goroutines end at Close, which waits for them.
func NewDiscoveryServer() (*DiscoveryServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // an IP address: there is nothing to wait for
	if err != nil {
		return nil, err
	}
	server := &DiscoveryServer{listener: listener, watchers: map[*watcher]bool{}}
	server.workers.Go(server.accept)
	return server, nil
}

func (server *DiscoveryServer) accept() {
	for {
		conn, err := server.listener.Accept()
		if err != nil {
			return
		}
		server.workers.Go(func() { server.serve(conn) })
	}
}

// Addr is the address at which it listens.
func (server *DiscoveryServer) Addr() string { return server.listener.Addr().String() }

// Close ends it and all its connections.
func (server *DiscoveryServer) Close() {
	_ = server.listener.Close() // ends accept
	server.mu.Lock()
	server.refusing = true
	for w := range server.watchers {
		_ = w.conn.Close() // ends its serve
	}
	server.mu.Unlock()
	server.workers.Wait()
}

// Publish publishes an event and returns its index.
func (server *DiscoveryServer) Publish(event discovery.Event) int {
	server.mu.Lock()
	defer server.mu.Unlock()
	event.Revision = uint64(len(server.frames) + 1)
	frame, err := discovery.AppendEvent(nil, event)
	if err != nil {
		panic(err) // the scenario's own mistake
	}
	server.frames = append(server.frames, frame)
	server.deliveredAt = append(server.deliveredAt, timing.UnixSeconds(time.Now()))
	for w := range server.watchers {
		select {
		case w.wake <- struct{}{}:
		default:
		}
	}
	return len(server.frames) - 1
}

// LastEvent is the index of the event that was published last.
func (server *DiscoveryServer) LastEvent() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return len(server.frames) - 1
}

// DeliveryTime is when an event had been delivered to all, Unix s.
func (server *DiscoveryServer) DeliveryTime(event int) float64 {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.deliveredAt[event]
}

// serve sends a connection the events after the revision that it says it has, and then the new ones. Its goroutine
// reads until the connection ends, which it does when serve returns.
func (server *DiscoveryServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the other side may have closed it already
	request := make([]byte, 8)
	if _, err := io.ReadFull(conn, request); err != nil {
		return
	}
	w := &watcher{conn: conn, wake: make(chan struct{}, 1)}
	if !server.addWatcher(w) {
		return
	}
	defer server.removeWatcher(w)
	disconnected := make(chan struct{})
	go func() {
		_, _ = conn.Read(make([]byte, 1)) // it sends nothing more: this ends with the connection
		close(disconnected)
	}()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	revision := binary.BigEndian.Uint64(request)
	for first := true; ; first = false {
		var sent bool
		if revision, sent = server.sendEvents(conn, revision, first); !sent {
			return
		}
		select {
		case <-disconnected:
			return
		case <-w.wake:
		case <-heartbeat.C:
		}
	}
}

// addWatcher returns false where new connections are refused.
func (server *DiscoveryServer) addWatcher(w *watcher) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.refusing {
		return false
	}
	server.watchers[w] = true
	return true
}

func (server *DiscoveryServer) removeWatcher(w *watcher) {
	server.mu.Lock()
	defer server.mu.Unlock()
	delete(server.watchers, w)
}

// sendEvents sends the events after a revision, and a heartbeat where it has none. The first time the heartbeat
// follows the events: it says that the list is complete. It returns the revision that the connection has now.
func (server *DiscoveryServer) sendEvents(conn net.Conn, revision uint64, first bool) (now uint64, sent bool) {
	out, latest := server.framesAfter(revision)
	if len(out) == 0 || first {
		heartbeat := discovery.Event{Revision: latest, Kind: discovery.Heartbeat}
		out, _ = discovery.AppendEvent(out, heartbeat) // a heartbeat has nothing that cannot be encoded
	}
	if _, err := conn.Write(out); err != nil {
		return revision, false
	}
	if !first { // a connection that comes later does not count
		server.markDelivered(revision, latest)
	}
	return max(revision, latest), true
}

// framesAfter is the events after a revision, on the wire, and the latest revision.
func (server *DiscoveryServer) framesAfter(revision uint64) (out []byte, latest uint64) {
	server.mu.Lock()
	defer server.mu.Unlock()
	latest = uint64(len(server.frames))
	for _, frame := range server.frames[min(revision, latest):] {
		out = append(out, frame...)
	}
	return out, latest
}

// markDelivered records that a connection has the events after a revision up to another.
func (server *DiscoveryServer) markDelivered(after, upTo uint64) {
	now := timing.UnixSeconds(time.Now())
	server.mu.Lock()
	defer server.mu.Unlock()
	for i := after; i < upTo; i++ {
		server.deliveredAt[i] = max(server.deliveredAt[i], now)
	}
}
