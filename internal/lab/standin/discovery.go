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

// heartbeatInterval is the interval of heartbeats to a watcher that has all events.
const heartbeatInterval = time.Second

// DiscoveryServer is a stand-in of the discovery service. For each event it records the time by which the event had
// been written to every open connection.
type DiscoveryServer struct {
	listener net.Listener
	workers  sync.WaitGroup

	mu          sync.Mutex
	frames      [][]byte  // encoded events, in order
	deliveredAt []float64 // Unix time in seconds by which every connection had the event
	watchers    map[*watcher]bool
	closing     bool // reject new connections
}

// watcher is a connection that receives events.
type watcher struct {
	conn net.Conn
	wake chan struct{} // signals new events; has a capacity of one
}

// NewDiscoveryServer starts a server on a port that the system assigns. Close stops its goroutines and waits for them.
func NewDiscoveryServer() (*DiscoveryServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // an IP address: no lookup that could block
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

// Addr returns the address on which the server listens.
func (server *DiscoveryServer) Addr() string { return server.listener.Addr().String() }

// Close stops the server and closes all its connections.
func (server *DiscoveryServer) Close() {
	_ = server.listener.Close() // makes accept return
	server.mu.Lock()
	server.closing = true
	for w := range server.watchers {
		_ = w.conn.Close() // makes serve return for this connection
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
		panic(err) // the scenario passed an invalid event
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

// LastEvent returns the index of the latest published event.
func (server *DiscoveryServer) LastEvent() int {
	server.mu.Lock()
	defer server.mu.Unlock()
	return len(server.frames) - 1
}

// DeliveryTime returns the Unix time in seconds by which an event had been delivered to all watchers.
func (server *DiscoveryServer) DeliveryTime(event int) float64 {
	server.mu.Lock()
	defer server.mu.Unlock()
	return server.deliveredAt[event]
}

// serve sends a connection the events after the revision in its request, and then new events as they are published. Its
// goroutine reads until the connection ends, which happens at the latest when serve returns.
func (server *DiscoveryServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the client may have closed it already
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
		_, _ = conn.Read(make([]byte, 1)) // the client sends nothing more: the read returns when the connection ends
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

// addWatcher registers a watcher. It returns false if the server is closing.
func (server *DiscoveryServer) addWatcher(w *watcher) bool {
	server.mu.Lock()
	defer server.mu.Unlock()
	if server.closing {
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

// sendEvents sends the events after a revision, or a heartbeat if there are none. On the first call a heartbeat follows
// the events, to mark the list as complete. It returns the revision that the connection has now.
func (server *DiscoveryServer) sendEvents(conn net.Conn, revision uint64, first bool) (now uint64, sent bool) {
	out, latest := server.framesAfter(revision)
	if len(out) == 0 || first {
		heartbeat := discovery.Event{Revision: latest, Kind: discovery.Heartbeat}
		out, _ = discovery.AppendEvent(out, heartbeat) // encoding a heartbeat cannot fail
	}
	if _, err := conn.Write(out); err != nil {
		return revision, false
	}
	if !first { // the initial events of a new connection do not change delivery times
		server.markDelivered(revision, latest)
	}
	return max(revision, latest), true
}

// framesAfter returns the encoded events after a revision, and the latest revision.
func (server *DiscoveryServer) framesAfter(revision uint64) (out []byte, latest uint64) {
	server.mu.Lock()
	defer server.mu.Unlock()
	latest = uint64(len(server.frames))
	for _, frame := range server.frames[min(revision, latest):] {
		out = append(out, frame...)
	}
	return out, latest
}

// markDelivered records that a connection has received the events between two revisions.
func (server *DiscoveryServer) markDelivered(after, upTo uint64) {
	now := timing.UnixSeconds(time.Now())
	server.mu.Lock()
	defer server.mu.Unlock()
	for i := after; i < upTo; i++ {
		server.deliveredAt[i] = max(server.deliveredAt[i], now)
	}
}
