package lab

import (
	"bytes"
	"context"
	"crypto/ed25519"
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
	// forgedIncarnation is the start time of an incarnation that no honest peer has. A router that knows of it took a
	// forgery.
	forgedIncarnation = 1 << 60

	attackInterval        = 50 * time.Millisecond
	maxCapturedDatagrams  = 500
	receiveQueueLength    = 1024
	floodDatagramsPerTurn = 500 // sent before the peer receives again
)

// hostilePeer is a peer with a key of the roster that does all the harm it can. It answers health checks, so that it
// stays a member, and accuses every peer, reports every endpoint as failing, forges and replays messages, answers for
// failed peers and floods.
type hostilePeer struct {
	id            swim.MemberID
	conn          *net.UDPConn
	codec         *datagram.Codec
	core          *swim.Core
	endpoints     []string
	routes        []netip.AddrPort // to the other peers, by their index
	rnd           *rand.Rand
	captured      [][]byte         // datagrams to replay
	signedRecords [][]byte         // of other peers, to replay
	counts        map[string]int64 // by the keys of the report
	flood         atomic.Int64     // datagrams left to be sent as fast as they go
}

func newHostilePeer(
	index int, key ed25519.PrivateKey, roster []datagram.Identity, conn *net.UDPConn, endpoints []string, seed uint64,
) (*hostilePeer, error) {
	id := swim.MemberID(index)
	codec, err := datagram.New(id, key, conn.LocalAddr().String(), "nowhere", roster)
	if err != nil {
		return nil, err
	}
	var hashes []uint64
	for _, identity := range roster {
		hashes = append(hashes, swim.NameHash(identity.Name))
	}
	startMillis := uint64(clock.Now().UnixMillis())
	return &hostilePeer{
		id:        id,
		conn:      conn,
		codec:     codec,
		core:      swim.New(swim.Config{MaxByzantine: 1}, id, hashes, seed, startMillis, seed, 0),
		endpoints: endpoints,
		rnd:       rand.New(rand.NewPCG(seed, uint64(index))),
		counts:    map[string]int64{},
	}, nil
}

// run attacks until the context ends.
func (peer *hostilePeer) run(ctx context.Context) {
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
func (peer *hostilePeer) receive(ctx context.Context, received chan<- []byte) {
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
func (peer *hostilePeer) handle(text []byte, now float64) {
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
func (peer *hostilePeer) perform(actions []swim.Action) {
	for _, action := range actions {
		send, isSend := action.(swim.Send)
		if !isSend || send.Kind == swim.IndirectAck || send.Kind == swim.Ack && send.Requester != send.To {
			continue
		}
		peer.send(send.To, send.Message, nil)
	}
}

// send signs and sends a message with signed observations.
func (peer *hostilePeer) send(to swim.MemberID, message swim.Message, observations [][]byte) {
	startMillis := peer.core.SelfRecord().Incarnation.StartMillis
	if text, err := peer.codec.Encode(startMillis, to, message, observations); err == nil {
		peer.write(to, text)
	}
}

// write sends a datagram to a peer.
func (peer *hostilePeer) write(to swim.MemberID, text []byte) {
	if int(to) < len(peer.routes) && peer.routes[to].IsValid() {
		_, _ = peer.conn.WriteToUDPAddrPort(text, peer.routes[to])
	}
}
