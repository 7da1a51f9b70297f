// Package transport exchanges frames between the routers that replicate shards. Each pair of
// routers has one TLS connection, and each side is authenticated by its public key in the list of
// peers.
//
// The package owns the connections and a bounded queue of frames per peer. A frame is dropped if
// the queue is full or its connection fails: the sender of every kind of frame repeats it or asks
// again. The package does not interpret the content of frames.
package transport

import (
	"context"
	"crypto/ed25519"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// Timeouts and intervals of connections.
const (
	dialInterval      = 200 * time.Millisecond // delay before the second dial attempt; doubles after each one
	maxDialInterval   = 2 * time.Second
	handshakeTimeout  = 2 * time.Second
	idleTimeout       = 10 * time.Second
	heartbeatInterval = time.Second
)

// Peer is another router of the cluster.
type Peer struct {
	Name      string
	PublicKey ed25519.PublicKey
	Address   string
}

// Transport manages the connections of one router. Its exported fields must be set before Run. Both
// callbacks must return quickly; they are called from the connections' goroutines.
type Transport struct {
	Name        string
	PrivateKey  ed25519.PrivateKey
	Peers       []Peer
	OnFrame     func(from string, frame Frame)
	OnPeerState func(name string, connected bool) // called if not nil

	mu       sync.Mutex
	queues   map[string]*queue  // by peer
	sessions map[string]session // by peer
}

// Run serves connections until the context ends. Of two routers, the one whose name sorts first
// dials. Run owns the goroutines that accept, dial and serve, and returns after all of them have
// ended.
func (t *Transport) Run(ctx context.Context, listener net.Listener) error {
	config, err := t.tlsConfig()
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return listener.Close()
	})
	group.Go(func() error {
		for ctx.Err() == nil {
			conn, err := listener.Accept()
			if err != nil {
				continue // the context ended and closed the listener, or only this connection failed
			}
			group.Go(func() error {
				t.serve(ctx, tls.Server(conn, config), "")
				return nil
			})
		}
		return nil
	})
	for _, peer := range t.Peers {
		if t.Name < peer.Name {
			group.Go(func() error {
				t.dial(ctx, peer, config)
				return nil
			})
		}
	}
	return group.Wait()
}

// dial maintains a connection to a peer until the context ends.
func (t *Transport) dial(ctx context.Context, peer Peer, config *tls.Config) {
	interval := dialInterval
	for ctx.Err() == nil {
		dialer := net.Dialer{Timeout: handshakeTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", peer.Address)
		if err == nil {
			connectedAt := time.Now()
			t.serve(ctx, tls.Client(conn, config), peer.Name)
			if time.Since(connectedAt) > idleTimeout {
				interval = dialInterval
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
		interval = min(2*interval, maxDialInterval)
	}
}

// session is the latest connection of a peer.
type session struct {
	conn  *tls.Conn
	ended chan struct{} // closed when the connection's goroutines have ended
}

// serve handles one connection until it ends. The expected name is empty unless this side dialed.
// serve owns the goroutine that writes, and waits for it. It first ends an earlier connection of
// the same peer.
//
// Otherwise, if a peer restarts and reconnects before the end of its earlier connection is noticed,
// that end would be attributed to the new connection, and the writer of the earlier connection
// would take frames from the queue. The peer would be connected but never receive a frame.
func (t *Transport) serve(ctx context.Context, conn *tls.Conn, expected string) {
	defer func() { _ = conn.Close() }() // closed by whichever goroutine ends first
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	name, err := t.handshake(ctx, conn)
	if err != nil || expected != "" && name != expected {
		return
	}
	ended := make(chan struct{})
	defer close(ended)
	t.mu.Lock()
	if t.sessions == nil {
		t.sessions = map[string]session{}
	}
	earlier, known := t.sessions[name]
	t.sessions[name] = session{conn, ended}
	t.mu.Unlock()
	if known {
		_ = earlier.conn.Close()
		<-earlier.ended
	}
	queue := t.queue(name)
	if t.OnPeerState != nil {
		t.OnPeerState(name, true)
		defer t.OnPeerState(name, false)
	}
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		defer func() { _ = conn.Close() }()
		queue.writeTo(ctx, conn)
	}()
	t.readFrames(name, conn)
	_ = conn.Close() // the writer may have closed it already
	queue.notify()   // wakes the writer, whose next write fails
	<-writerDone
}

// handshake completes the TLS handshake and identifies the peer.
func (t *Transport) handshake(ctx context.Context, conn *tls.Conn) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout)) // if the connection is closed, the handshake fails
	if err := conn.HandshakeContext(ctx); err != nil {
		return "", err
	}
	_ = conn.SetDeadline(time.Time{}) // if the connection is closed, the next read fails
	return t.identify(conn)
}

// readFrames passes a peer's frames to OnFrame until the connection fails or an invalid frame
// arrives.
func (t *Transport) readFrames(name string, conn net.Conn) {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout)) // if the connection is closed, readFrame fails
		frame, err := readFrame(conn)
		if err != nil {
			return
		}
		if frame.Kind != KindHeartbeat {
			t.OnFrame(name, frame)
		}
	}
}

// queue returns the queue of a peer.
func (t *Transport) queue(name string) *queue {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.queues == nil {
		t.queues = map[string]*queue{}
	}
	if t.queues[name] == nil {
		t.queues[name] = newQueue()
	}
	return t.queues[name]
}

// Send queues a frame for a peer. It returns false if the frame was dropped, because it cannot be
// encoded or the queue is full.
func (t *Transport) Send(to string, frame Frame) bool {
	encoded, err := encodeFrame(frame)
	if err != nil {
		return false
	}
	return t.queue(to).push(encoded)
}
