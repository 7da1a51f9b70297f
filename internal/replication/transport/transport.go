// Package link is the connections between the ledger's routers: one a pair, with frames of CBOR in it, each side known by the key that
// the roster has of it. Frames that can't be sent at once wait, bounded; what does not fit is dropped, for everything on it is asked
// or said again. It decides nothing.
package transport

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"sync"
	"time"

	"cairnfront/internal/cborcodec"
	"cairnfront/internal/replication/statemachine"

	"golang.org/x/sync/errgroup"
)

// Bounds and times of connections.
const (
	MaxFrameBytes   = 8 << 20 // bytes of a frame: a snapshot of a slice with 40,000 promises
	maxQueuedFrames = 4096    // frames that wait for a peer
	maxQueuedBytes  = 16 << 20
	dialEvery       = 200 * time.Millisecond // between attempts, up to
	dialMost        = 2 * time.Second
	patience        = 2 * time.Second // for a handshake
	idleMost        = 10 * time.Second
	beatEvery       = time.Second
	protocol        = "cairnfront-ledger/1" // of the handshake: another version is refused before a frame is read
)

// Kind of a frame.
type Kind uint8

// The kinds: who speaks; a message of raft; a command or a read for a slice, its answer, and who leads instead; nothing.
const (
	KindHello Kind = iota + 1
	KindRaft
	KindPropose
	KindRead
	KindResult
	KindNotLeader
	KindHeartbeat
)

// Frame is what goes between two routers. Parts that a version does not know are skipped.
type Frame struct {
	Kind            Kind                 `cbor:"1,keyasint"`
	Shard           int                  `cbor:"2,keyasint,omitempty"`
	Payload         []byte               `cbor:"3,keyasint,omitempty"` // Raft: the message; Ask: the command
	Number          uint64               `cbor:"4,keyasint,omitempty"` // of a question
	Key             string               `cbor:"5,keyasint,omitempty"` // Read
	ReservationKind statemachine.Kind    `cbor:"6,keyasint,omitempty"` // Read
	Result          *statemachine.Result `cbor:"7,keyasint,omitempty"` // Answer
	Replica         uint64               `cbor:"8,keyasint,omitempty"` // Hello: the disk's number; NotHere: who leads, 0 for nobody known
	StartCount      uint32               `cbor:"9,keyasint,omitempty"` // Hello
	Zone            string               `cbor:"10,keyasint,omitempty"`
	ShardVoters     map[int][]uint64     `cbor:"11,keyasint,omitempty"` // Hello: the slices held, with their voters
	SeenStartCounts map[uint64]uint32    `cbor:"12,keyasint,omitempty"` // Hello: how often each disk was seen to start
}

var enc, dec = cborcodec.Modes(1 << 16)

// Peer is another router.
type Peer struct {
	Name      string
	PublicKey ed25519.PublicKey
	Address   string
}

// Net is one router's connections. Took hears each frame with who sent it; it must not wait for long.
type Transport struct {
	Name        string
	PrivateKey  ed25519.PrivateKey
	Peers       []Peer
	OnFrame     func(from string, f Frame)
	OnPeerState func(name string, up bool)

	mu    sync.Mutex
	lines map[string]*line
}

// line is what waits for one peer.
type line struct {
	mu    sync.Mutex
	queue [][]byte
	bytes int
	wake  chan struct{}
	drops int64
}

// certificate names this router by its key; nobody signs for it but itself, the roster does.
func (n *Transport) certificate() (tls.Certificate, error) {
	t := &x509.Certificate{SerialNumber: big.NewInt(1), DNSNames: []string{n.Name}, NotBefore: time.Unix(0, 0), NotAfter: time.Unix(1<<33, 0)}
	der, err := x509.CreateCertificate(rand.Reader, t, t, n.PrivateKey.Public(), n.PrivateKey)
	if err != nil {
		return tls.Certificate{}, fmt.Errorf("the ledger's certificate: %w", err)
	}
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: n.PrivateKey}, nil
}

func (n *Transport) terms() (*tls.Config, error) {
	cert, err := n.certificate()
	if err != nil {
		return nil, err
	}
	return &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13, NextProtos: []string{protocol}, ClientAuth: tls.RequireAnyClientCert,
		InsecureSkipVerify:     true, // the roster's keys are what is believed, see who
		SessionTicketsDisabled: true}, nil
}

// who is the peer at the other end, by its key.
func (n *Transport) who(c *tls.Conn) (string, error) {
	s := c.ConnectionState()
	if s.NegotiatedProtocol != protocol {
		return "", fmt.Errorf("it speaks %q, this program %q", s.NegotiatedProtocol, protocol)
	}
	if len(s.PeerCertificates) == 0 {
		return "", errors.New("it shows no key")
	}
	key, ok := s.PeerCertificates[0].PublicKey.(ed25519.PublicKey)
	for _, p := range n.Peers {
		if ok && key.Equal(p.PublicKey) && p.Name != n.Name {
			return p.Name, nil
		}
	}
	return "", errors.New("its key is not in the roster")
}

// Run serves until the context ends. Of a pair the one with the lesser name dials.
func (n *Transport) Run(ctx context.Context, ln net.Listener) error {
	terms, err := n.terms()
	if err != nil {
		return err
	}
	n.mu.Lock()
	if n.lines == nil {
		n.lines = map[string]*line{}
	}
	n.mu.Unlock()
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		<-ctx.Done()
		return ln.Close()
	})
	g.Go(func() error {
		for {
			c, err := ln.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				continue
			}
			g.Go(func() error {
				n.serve(ctx, tls.Server(c, terms), "")
				return nil
			})
		}
	})
	for _, p := range n.Peers {
		if n.Name < p.Name {
			g.Go(func() error {
				n.dial(ctx, p, terms)
				return nil
			})
		}
	}
	return g.Wait()
}

func (n *Transport) dial(ctx context.Context, p Peer, terms *tls.Config) {
	wait := dialEvery
	for ctx.Err() == nil {
		d := net.Dialer{Timeout: patience}
		c, err := d.DialContext(ctx, "tcp", p.Address)
		if err == nil {
			began := time.Now()
			n.serve(ctx, tls.Client(c, terms), p.Name)
			if time.Since(began) > idleMost {
				wait = dialEvery
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, dialMost)
	}
}

// serve carries one connection until it ends.
func (n *Transport) serve(ctx context.Context, c *tls.Conn, want string) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	_ = c.SetDeadline(time.Now().Add(patience))
	if c.HandshakeContext(ctx) != nil {
		return
	}
	name, err := n.who(c)
	if err != nil || want != "" && name != want {
		return
	}
	_ = c.SetDeadline(time.Time{})
	l := n.line(name)
	if n.OnPeerState != nil {
		n.OnPeerState(name, true)
		defer n.OnPeerState(name, false)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer c.Close()
		l.write(ctx, c, done)
	}()
	head := make([]byte, 4)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleMost))
		if _, err := io.ReadFull(c, head); err != nil {
			break
		}
		size := binary.BigEndian.Uint32(head)
		if size > MaxFrameBytes {
			break
		}
		text := make([]byte, size)
		if _, err := io.ReadFull(c, text); err != nil {
			break
		}
		var f Frame
		if dec.Unmarshal(text, &f) != nil {
			break
		}
		if f.Kind != KindHeartbeat {
			n.OnFrame(name, f)
		}
	}
	_ = c.Close()
	l.kick()
	<-done
}

func (n *Transport) line(name string) *line {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lines == nil {
		n.lines = map[string]*line{}
	}
	l := n.lines[name]
	if l == nil {
		l = &line{wake: make(chan struct{}, 1)}
		n.lines[name] = l
	}
	return l
}

func (l *line) kick() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// write sends what waits, and a beat where nothing does.
func (l *line) write(ctx context.Context, c net.Conn, _ chan struct{}) {
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	empty, _ := framed(Frame{Kind: KindHeartbeat})
	for {
		l.mu.Lock()
		list := l.queue
		l.queue, l.bytes = nil, 0
		l.mu.Unlock()
		_ = c.SetWriteDeadline(time.Now().Add(idleMost))
		bufs := net.Buffers(list)
		if _, err := bufs.WriteTo(c); err != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-beat.C:
			if _, err := c.Write(empty); err != nil {
				return
			}
		}
	}
}

func framed(f Frame) ([]byte, error) {
	text, err := enc.Marshal(f)
	if err != nil {
		return nil, fmt.Errorf("a frame: %w", err)
	}
	if len(text) > MaxFrameBytes {
		return nil, fmt.Errorf("a frame of %d bytes, over %d", len(text), MaxFrameBytes)
	}
	return append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(text)), uint32(len(text))), text...), nil
}

// Send queues a frame for a peer; false where there is no room, and then it is lost.
func (n *Transport) Send(to string, f Frame) bool {
	text, err := framed(f)
	if err != nil {
		return false
	}
	l := n.line(to)
	l.mu.Lock()
	ok := len(l.queue) < maxQueuedFrames && l.bytes+len(text) <= maxQueuedBytes
	if ok {
		l.queue, l.bytes = append(l.queue, text), l.bytes+len(text)
	} else {
		l.drops++
	}
	l.mu.Unlock()
	l.kick()
	return ok
}
