package standin

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/swim"
)

const (
	// ForgedIncarnation is the start time of an incarnation that no honest peer has. A router that knows this
	// incarnation has accepted a forgery.
	ForgedIncarnation = 1 << 60

	attackInterval       = 50 * time.Millisecond
	maxCapturedDatagrams = 500
	receiveQueueLength   = 1024
	floodBatchDatagrams  = 500 // sent before the next received datagram is handled
)

// HostilePeer is a peer with a key in the roster that attacks the others. It answers health checks, so that it stays a
// member, and accuses every peer, reports every endpoint as failing, forges and replays messages, sends acks for failed
// peers and floods.
type HostilePeer struct {
	id            swim.MemberID
	conn          *net.UDPConn
	codec         *datagram.Codec
	core          *swim.Core
	endpoints     []string
	routes        []netip.AddrPort // addresses of the other peers, by index
	rnd           *rand.Rand
	captured      [][]byte         // received datagrams, to replay
	signedRecords [][]byte         // signed records of other peers, to replay
	Counts        map[string]int64 // number of attacks by report key; must not be read before Run has returned
	flood         atomic.Int64     // flood datagrams still to be sent
}

// HostileConfig is the identity of a hostile peer and its targets.
type HostileConfig struct {
	Index     int // in the roster
	Key       ed25519.PrivateKey
	Roster    []datagram.Identity
	Conn      *net.UDPConn     // owned by the hostile peer
	Routes    []netip.AddrPort // addresses of the other peers, by index
	Endpoints []string         // ids of endpoints to report as failing
	Seed      uint64
}

// NewHostilePeer creates a hostile peer. Its attacks start with Run.
func NewHostilePeer(config HostileConfig) (*HostilePeer, error) {
	id := swim.MemberID(config.Index)
	codec, err := datagram.New(id, config.Key, config.Conn.LocalAddr().String(), "unknown-zone", config.Roster)
	if err != nil {
		return nil, fmt.Errorf("make hostile peer %d: %w", config.Index, err)
	}
	var hashes []uint64
	for _, identity := range config.Roster {
		hashes = append(hashes, swim.NameHash(identity.Name))
	}
	startMillis := uint64(clock.Now().UnixMillis())
	seed := config.Seed
	return &HostilePeer{
		id:        id,
		conn:      config.Conn,
		codec:     codec,
		core:      swim.New(swim.Config{MaxByzantine: 1}, id, hashes, seed, startMillis, seed, 0),
		endpoints: config.Endpoints,
		routes:    config.Routes,
		rnd:       rand.New(rand.NewPCG(seed, uint64(config.Index))),
		Counts:    map[string]int64{},
	}, nil
}

// Close closes the peer's socket, which stops its reader.
func (peer *HostilePeer) Close() { _ = peer.conn.Close() } // closing twice is harmless

// StartFlood makes the peer send the given number of datagrams as fast as it can.
func (peer *HostilePeer) StartFlood(datagrams int64) { peer.flood.Store(datagrams) }

// Run attacks until the context ends. Its reader's goroutine stops when Close closes the socket.
func (peer *HostilePeer) Run(ctx context.Context) {
	startedAt := time.Now()
	received := make(chan []byte, receiveQueueLength)
	go peer.receive(ctx, received)
	attacks := time.NewTicker(attackInterval)
	defer attacks.Stop()
	for sequence := uint32(1); ; {
		select {
		case <-ctx.Done():
			return
		case payload := <-received:
			peer.handle(payload, time.Since(startedAt).Seconds())
		case <-attacks.C:
			peer.perform(peer.core.Tick(time.Since(startedAt).Seconds()))
			peer.attack(sequence)
			sequence++
		}
	}
}

// receive reads datagrams until the socket is closed. It drops datagrams when the queue is full.
func (peer *HostilePeer) receive(ctx context.Context, received chan<- []byte) {
	buffer := make([]byte, datagram.MaxSize+1)
	for {
		size, _, err := peer.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			continue
		}
		select {
		case received <- bytes.Clone(buffer[:size]):
		default:
		}
	}
}

// handle stores a datagram for later replays and passes it to the core. The parameter now is in seconds since the
// start.
func (peer *HostilePeer) handle(payload []byte, now float64) {
	if len(peer.captured) < maxCapturedDatagrams {
		peer.captured = append(peer.captured, payload)
	}
	decoded, err := peer.codec.Decode(payload, peer.core.IsNewer)
	if err != nil {
		return
	}
	for _, record := range decoded.Message.Records {
		peer.signedRecords = append(peer.signedRecords, record.Signed)
	}
	peer.perform(peer.core.HandleMessage(now, decoded.From, decoded.Message))
}

// perform sends the messages that the core requests, so that the peer stays a member. It does not answer indirect
// probes for others.
func (peer *HostilePeer) perform(actions []swim.Action) {
	for _, action := range actions {
		send, isSend := action.(swim.Send)
		if !isSend || send.Kind == swim.IndirectAck || send.Kind == swim.Ack && send.Requester != send.To {
			continue
		}
		peer.send(send.To, send.Message, nil)
	}
}

// send signs and sends a message with signed observations.
func (peer *HostilePeer) send(to swim.MemberID, message swim.Message, observations [][]byte) {
	startMillis := peer.core.SelfRecord().Incarnation.StartMillis
	if payload, err := peer.codec.Encode(startMillis, to, message, observations); err == nil {
		peer.write(to, payload)
	}
}

// write sends a datagram to a peer.
func (peer *HostilePeer) write(to swim.MemberID, payload []byte) {
	if int(to) < len(peer.routes) && peer.routes[to].IsValid() {
		_, _ = peer.conn.WriteToUDPAddrPort(payload, peer.routes[to]) // a datagram that cannot be sent counts as lost
	}
}
