package lab

import (
	"context"
	"crypto/ed25519"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/observation"
	"cairnfront/internal/membership/swim"
	"cairnfront/routing"
)

// forgedIncarnation is an incarnation that no honest peer has: a view in which it turns up took a forgery.
const forgedIncarnation = 1 << 60

// hostilePeer is a peer with a key of the roster that does all the harm it can: it answers checks, so that it stays in,
// and charges
// every peer, speaks ill of every member, forges others' words, replays what it heard, answers for the dead and floods.
type hostilePeer struct {
	id            swim.MemberID
	conn          *net.UDPConn
	codec         *datagram.Codec
	core          *swim.Core
	endpoints     []string
	routes        []netip.AddrPort // the ways to the others
	rnd           *rand.Rand
	captured      [][]byte // datagrams and seals to replay
	signedRecords [][]byte
	counts        map[string]int64
	flood         atomic.Int64 // datagrams to be sent as fast as they go
}

func newHostilePeer(
	me int, key ed25519.PrivateKey, people []datagram.Identity, at *net.UDPConn, members []string, seed uint64,
) (*hostilePeer, error) {
	codec, err := datagram.New(swim.MemberID(me), key, at.LocalAddr().String(), "nowhere", people)
	if err != nil {
		return nil, err
	}
	var marks []uint64
	for _, p := range people {
		marks = append(marks, swim.NameHash(p.Name))
	}
	peer := &hostilePeer{
		id:        swim.MemberID(me),
		conn:      at,
		codec:     codec,
		endpoints: members,
		rnd:       rand.New(rand.NewPCG(seed, uint64(me))),
		counts:    map[string]int64{},
	}
	peer.core = swim.New(swim.Config{MaxByzantine: 1}, peer.id, marks, seed, uint64(time.Now().UnixMilli()), seed, 0)
	return peer, nil
}

// run lies until the context ends.
func (peer *hostilePeer) run(ctx context.Context) {
	began := time.Now()
	now := func() float64 { return time.Since(began).Seconds() }
	in := make(chan []byte, 1024)
	go func() {
		buf := make([]byte, datagram.MaxSize+1)
		for {
			size, _, err := peer.conn.ReadFromUDPAddrPort(buf)
			if err != nil {
				if ctx.Err() != nil {
					return
				}
				continue
			}
			select {
			case in <- append([]byte(nil), buf[:size]...):
			default:
			}
		}
	}()
	seq := uint32(0)
	lies := time.NewTicker(50 * time.Millisecond)
	defer lies.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case text := <-in:
			if len(peer.captured) < 500 {
				peer.captured = append(peer.captured, text)
			}
			if d, err := peer.codec.Decode(text, peer.core.IsNewer); err == nil {
				for _, c := range d.Message.Records {
					peer.signedRecords = append(peer.signedRecords, c.Signed)
				}
				peer.perform(peer.core.HandleMessage(now(), d.From, d.Message))
			}
		case <-lies.C:
			peer.perform(peer.core.Tick(now()))
			seq++
			peer.attack(seq)
		}
	}
}

// perform sends what its core wants, which keeps it in, but answers nobody who asks it to look for them.
func (peer *hostilePeer) perform(acts []swim.Action) {
	for _, a := range acts {
		s, ok := a.(swim.Send)
		if !ok || s.Kind == swim.IndirectAck || s.Kind == swim.Ack && s.Requester != s.To {
			continue
		}
		peer.send(s.To, s.Message, nil)
	}
}

func (peer *hostilePeer) send(to swim.MemberID, m swim.Message, words [][]byte) {
	if text, err := peer.codec.Encode(peer.core.SelfRecord().Incarnation.StartMillis, to, m, words); err == nil {
		peer.write(to, text)
	}
}

func (peer *hostilePeer) write(to swim.MemberID, text []byte) {
	if int(to) < len(peer.routes) && peer.routes[to].IsValid() {
		_, _ = peer.conn.WriteToUDPAddrPort(text, peer.routes[to])
	}
}

func (peer *hostilePeer) attack(seq uint32) {
	to, of := swim.MemberID(peer.rnd.IntN(len(peer.routes))), swim.MemberID(peer.rnd.IntN(len(peer.routes)))
	if to == peer.id {
		return
	}
	_, cl := peer.core.Lookup(of)
	switch seq % 6 {
	case 0: // charges, and a table in which all have failed
		m := swim.Message{Kind: swim.PushPullReply, ViewHash: peer.rnd.Uint64()}
		for p := range peer.routes {
			_, cl := peer.core.Lookup(swim.MemberID(p))
			m.Accusations = append(
				m.Accusations,
				swim.Accusation{Accuser: peer.id, Member: swim.MemberID(p), Incarnation: cl.Incarnation},
			)
			m.Entries = append(
				m.Entries,
				swim.PushPullEntry{Member: swim.MemberID(p), Incarnation: cl.Incarnation, State: swim.Failed},
			)
		}
		peer.rnd.Shuffle(
			len(m.Accusations),
			func(i, j int) { m.Accusations[i], m.Accusations[j] = m.Accusations[j], m.Accusations[i] },
		)
		m.Accusations = m.Accusations[:min(len(m.Accusations), 4)]
		peer.send(to, m, nil)
		peer.counts["charges"] += int64(len(m.Accusations))
	case 1: // every member fails
		var words [][]byte
		for range 3 {
			seal, err := peer.codec.SignObservation(observation.Observation{
				Witness:            peer.id,
				WitnessStartMillis: peer.core.SelfRecord().Incarnation.StartMillis,
				Sequence:           seq*4 + uint32(len(words)),
				Endpoint:           routing.EndpointID(peer.endpoints[peer.rnd.IntN(len(peer.endpoints))]),
				Health:             observation.Failing,
				Zone:               string(rune('a' + peer.rnd.IntN(26))),
			})
			if err == nil {
				words = append(words, seal)
			}
		}
		peer.send(to, swim.Message{Kind: swim.Push, ViewHash: peer.core.ViewHash()}, words)
		peer.counts["slanders"] += int64(len(words))
	case 2: // a claim and a charge in others' names: its own seal under them, and one of theirs with another life
		var forged [][]byte
		if len(peer.signedRecords) > 0 {
			forged = append(forged, append([]byte(nil), peer.signedRecords[peer.rnd.IntN(len(peer.signedRecords))]...))
			forged[0][len(forged[0])-1-peer.rnd.IntN(40)] ^= 1
		}
		m := swim.Message{
			Kind: swim.Push, ViewHash: peer.core.ViewHash(),
			Records: []swim.MemberRecord{{
				Member: of,
				Signed: peer.codec.ForgeRecord(of, swim.Incarnation{StartMillis: forgedIncarnation}, swim.Alive),
			}, {Member: of, Signed: peer.codec.ForgeRecord(of, swim.Incarnation{StartMillis: forgedIncarnation}, swim.Left)}},
		}
		for _, f := range forged {
			m.Records = append(m.Records, swim.MemberRecord{Member: of, Signed: f})
		}
		peer.send(to, m, nil)
		peer.counts["forgeries"] += int64(len(m.Records))
	case 3: // what it heard, to whom it came from and to others
		if len(peer.captured) > 0 {
			peer.write(to, peer.captured[peer.rnd.IntN(len(peer.captured))])
			peer.counts["replays"]++
		}
		if len(peer.signedRecords) > 0 { // an old claim of somebody
			peer.send(
				to,
				swim.Message{
					Kind:     swim.Push,
					ViewHash: peer.core.ViewHash(),
					Records:  []swim.MemberRecord{{Member: of, Signed: peer.signedRecords[peer.rnd.IntN(len(peer.signedRecords))]}},
				},
				nil,
			)
		}
	case 4: // an answer for anybody, dead or not
		peer.send(
			to,
			swim.Message{
				Kind:      swim.IndirectAck,
				Nonce:     peer.rnd.Uint64(),
				Requester: to,
				Target:    of,
				Proof:     make([]byte, ed25519.SignatureSize),
			},
			nil,
		)
		peer.counts["false_answers"]++
	case 5: // an own life far ahead
		peer.send(to, swim.Message{
			Kind: swim.Push,
			Records: []swim.MemberRecord{{
				Member:      of,
				Incarnation: swim.Incarnation{StartMillis: cl.Incarnation.StartMillis, Refutations: 1 << 30},
				Signed:      cl.Signed,
			}},
			Accusations: []swim.Accusation{{
				Accuser:     peer.id,
				Member:      of,
				Incarnation: swim.Incarnation{StartMillis: cl.Incarnation.StartMillis, Refutations: 1 << 30},
			}},
		}, nil)
	}
	for n := 0; n < 500 && peer.flood.Load() > 0 && len(peer.captured) > 0; n++ { // the rest at the next turn
		peer.flood.Add(-1)
		peer.write(to, peer.captured[peer.rnd.IntN(len(peer.captured))])
		peer.counts["flood"]++
	}
}
