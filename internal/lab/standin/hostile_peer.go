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
	// ForgedIncarnation is the start time of an incarnation that no honest peer has. A router that knows of it took a
	// forgery.
	ForgedIncarnation = 1 << 60

	attackInterval        = 50 * time.Millisecond
	maxCapturedDatagrams  = 500
	receiveQueueLength    = 1024
	floodDatagramsPerTurn = 500 // sent before the peer receives again
)

// HostilePeer is a peer with a key of the roster that does all the harm it can. It answers health checks, so that it
// stays a member, and accuses every peer, reports every endpoint as failing, forges and replays messages, answers for
// failed peers and floods.
type HostilePeer struct {
	id            swim.MemberID
	conn          *net.UDPConn
	codec         *datagram.Codec
	core          *swim.Core
	endpoints     []string
	routes        []netip.AddrPort // to the other peers, by their index
	rnd           *rand.Rand
	captured      [][]byte         // datagrams to replay
	signedRecords [][]byte         // of other peers, to replay
	Counts        map[string]int64 // attacks by the keys of the report; to be read once Run has ended
	flood         atomic.Int64     // datagrams left to be sent as fast as they go
}

// HostileConfig says who a hostile peer is and whom it attacks.
type HostileConfig struct {
	Index     int // in the roster
	Key       ed25519.PrivateKey
	Roster    []datagram.Identity
	Conn      *net.UDPConn     // of the peer from now on
	Routes    []netip.AddrPort // to the other peers, by their index
	Endpoints []string         // ids, to report as failing
	Seed      uint64
}

// NewHostilePeer makes a hostile peer. It attacks when it runs.
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

// Close closes the peer's connection, which ends its reader.
func (peer *HostilePeer) Close() { _ = peer.conn.Close() } // a second close changes nothing

// StartFlood lets the peer send so many datagrams as fast as it can.
func (peer *HostilePeer) StartFlood(datagrams int64) { peer.flood.Store(datagrams) }

// Run attacks until the context ends. Its reader's goroutine ends with the peer's connection, at Close.
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
		case text := <-received:
			peer.handle(text, time.Since(startedAt).Seconds())
		case <-attacks.C:
			peer.perform(peer.core.Tick(time.Since(startedAt).Seconds()))
			peer.attack(sequence)
			sequence++
		}
	}
}

// receive reads datagrams until the connection ends. It drops what the queue does not hold.
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

// handle keeps a datagram for later replays and gives it to the core, now in seconds since the start.
func (peer *HostilePeer) handle(text []byte, now float64) {
	if len(peer.captured) < maxCapturedDatagrams {
		peer.captured = append(peer.captured, text)
	}
	decoded, err := peer.codec.Decode(text, peer.core.IsNewer)
	if err != nil {
		return
	}
	for _, record := range decoded.Message.Records {
		peer.signedRecords = append(peer.signedRecords, record.Signed)
	}
	peer.perform(peer.core.HandleMessage(now, decoded.From, decoded.Message))
}

// perform sends what the core wants, which keeps the peer a member. It answers no indirect probes of others.
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
	if text, err := peer.codec.Encode(startMillis, to, message, observations); err == nil {
		peer.write(to, text)
	}
}

// write sends a datagram to a peer.
func (peer *HostilePeer) write(to swim.MemberID, text []byte) {
	if int(to) < len(peer.routes) && peer.routes[to].IsValid() {
		_, _ = peer.conn.WriteToUDPAddrPort(text, peer.routes[to]) // one that is not sent counts as lost
	}
}
