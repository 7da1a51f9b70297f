// Package transport carries frames between the routers that replicate shards: one TLS connection a
// pair of routers, each side known by its public key in the list of peers.
//
// It owns the connections and the bounded queue of frames a peer. A frame that finds no room is
// dropped, as is one on a connection that fails: whatever goes by frames is asked or sent again by
// its sender. It decides nothing about what the frames say.
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

// Times of connections.
const (
	dialInterval      = 200 * time.Millisecond // before the second attempt; it doubles
	maxDialInterval   = 2 * time.Second
	handshakeTimeout  = 2 * time.Second
	idleTimeout       = 10 * time.Second
	heartbeatInterval = time.Second
)

// Peer is another router.
type Peer struct {
	Name      string
	PublicKey ed25519.PublicKey
	Address   string
}

// Transport is one router's connections. Its exported fields are set before Run. Both callbacks
// must return soon; they are called from the connections' goroutines.
type Transport struct {
	Name        string
	PrivateKey  ed25519.PrivateKey
	Peers       []Peer
	OnFrame     func(from string, frame Frame)
	OnPeerState func(name string, connected bool) // nil for nobody

	mu       sync.Mutex
	queues   map[string]*queue  // by peer
	sessions map[string]session // by peer
}

// Run serves connections until the context ends. Of two routers the one whose name sorts first dials. Run owns the
// goroutines that accept, dial and serve, and returns when they have ended.
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
				continue // the context ended and closed the listener, or this one connection failed
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

// dial keeps a connection to a peer until the context ends.
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

// session is a peer's newest connection.
type session struct {
	conn  *tls.Conn
	ended chan struct{} // closed once nothing of it goes on
}

// serve carries one connection until it ends. The peer's name is known before where this side dialed. It owns the
// goroutine that writes and waits for it. A peer's earlier connection is ended first.
//
// It guards against a peer that restarts and is back before the end of its earlier connection is noticed: that end
// would count as the peer's own, and the earlier connection's writer would take what waits for the new one. It shows as
// a peer that is connected and never heard of.
func (t *Transport) serve(ctx context.Context, conn *tls.Conn, expected string) {
	defer func() { _ = conn.Close() }() // both ends close it
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
	written := make(chan struct{})
	go func() {
		defer close(written)
		defer func() { _ = conn.Close() }()
		queue.writeTo(ctx, conn)
	}()
	t.readFrames(name, conn)
	_ = conn.Close() // the writer may have closed it
	queue.notify()   // the writer finds the connection closed
	<-written
}

// handshake finds out who the peer is.
func (t *Transport) handshake(ctx context.Context, conn *tls.Conn) (string, error) {
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout)) // a closed connection fails at the handshake
	if err := conn.HandshakeContext(ctx); err != nil {
		return "", err
	}
	_ = conn.SetDeadline(time.Time{}) // a closed connection fails at the next read
	return t.identify(conn)
}

// readFrames hands on a peer's frames until the connection fails or sends one that is invalid.
func (t *Transport) readFrames(name string, conn net.Conn) {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout)) // a closed connection fails at the read
		frame, err := readFrame(conn)
		if err != nil {
			return
		}
		if frame.Kind != KindHeartbeat {
			t.OnFrame(name, frame)
		}
	}
}

// queue is the frames that wait for a peer.
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

// Send queues a frame for a peer. It says false where the frame was dropped, as it is invalid or
// there is no room.
func (t *Transport) Send(to string, frame Frame) bool {
	encoded, err := encodeFrame(frame)
	if err != nil {
		return false
	}
	return t.queue(to).push(encoded)
}
