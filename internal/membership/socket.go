package membership

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/ratelimit"
	"cairnfront/internal/membership/swim"
	"cairnfront/internal/telemetry"
)

// location is the address of a member and its origin.
type location struct {
	address         netip.AddrPort
	configured      bool             // the address is from the configuration file
	incarnation     swim.Incarnation // incarnation of the record with this address
	staleAnsweredAt time.Time        // time of the last answer to a datagram with a stale incarnation
}

func listen(address string) (*net.UDPConn, error) {
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(receiveBufferBytes) // best effort: a smaller buffer works too
	return conn, nil
}

// growLocations adds the locations of the members that were appended to the roster.
func (n *Node) growLocations(roster []RosterEntry) {
	for i := len(n.locations); i < len(roster); i++ {
		address, err := netip.ParseAddrPort(roster[i].Address)
		n.locations = append(n.locations, location{address: address, configured: err == nil})
	}
}

// receive reads datagrams from the socket and queues those within the receive limits. Run starts its goroutine and,
// when the context is cancelled, unblocks the last read with a deadline.
func (n *Node) receive(ctx context.Context) error {
	limiter := ratelimit.New(n.config.ReceiveLimits)
	buffer := make([]byte, datagram.MaxSize+1)
	for ctx.Err() == nil {
		size, from, err := n.conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			// The context was cancelled, or an ICMP error was reported for a sent datagram, which does not affect
			// the next read.
			continue
		}
		if size > datagram.MaxSize || !limiter.AllowReceive(n.now(), from, size) {
			n.metrics.Inc(telemetry.PeerReceiveLimited)
			continue
		}
		select {
		case n.received <- slices.Clone(buffer[:size]):
		default:
			n.metrics.Inc(telemetry.PeerQueueFull)
		}
	}
	return nil
}

func (n *Node) handleDatagram(raw []byte) {
	if n.hasNameConflict {
		return
	}
	n.receivedTotal.add(len(raw))
	r, err := n.codec.Decode(raw, n.view.IsNewer)
	if err != nil {
		n.metrics.Inc(telemetry.PeerDatagramsRefused.With(classifyRefusal(err)))
		if errors.Is(err, datagram.ErrStaleIncarnation) {
			n.answerStale(r.From)
		}
		return
	}
	if r.Skipped > 0 {
		n.metrics.IncBy(telemetry.PeerRecordsRefused, int64(r.Skipped))
	}
	now := n.now()
	n.executeActions(n.view.HandleMessage(now, r.From, r.Message))
	if n.isPresent(r.From) {
		n.partition.RecordViewComparison(now, r.From, n.view.ViewDiffers(now, r.From))
	}
	for _, o := range r.Observations {
		if n.isPresent(o.Witness) {
			doubts, _ := n.observations.HandleObservation(now, o) // a stale observation returns no doubts
			n.handleDoubts(doubts)
		}
	}
}

func (n *Node) isPresent(id swim.MemberID) bool {
	state, _ := n.view.Lookup(id)
	return state.Present()
}

// answerStale sends a member its own record of a later start. A member whose clock was set back between two starts
// does not have that record: all other members refuse its datagrams as stale until it adopts a higher incarnation.
func (n *Node) answerStale(id swim.MemberID) {
	l := &n.locations[id]
	if time.Since(l.staleAnsweredAt) <= staleAnswerInterval {
		return
	}
	l.staleAnsweredAt = time.Now()
	_, record := n.view.Lookup(id)
	n.executeActions([]swim.Action{swim.Send{To: id, Message: swim.Message{
		Kind:     swim.Push,
		ViewHash: n.view.ViewHash(),
		Records:  []swim.MemberRecord{record},
	}}})
}

// addressOf returns the address of a member: the configured one, or else the one in the member's record. The address
// is invalid if neither is known.
func (n *Node) addressOf(id swim.MemberID) netip.AddrPort {
	l := &n.locations[id]
	if l.configured {
		return l.address
	}
	_, record := n.view.Lookup(id)
	if l.incarnation != record.Incarnation && record.Signed != nil {
		text, _ := datagram.RecordLocation(record.Signed) // the zone is not needed here
		if address, err := netip.ParseAddrPort(text); err == nil {
			l.address, l.incarnation = address, record.Incarnation
		}
	}
	return l.address
}

func (n *Node) send(now float64, s swim.Send) {
	to := n.addressOf(s.To)
	if !to.IsValid() {
		return
	}
	present, _, _ := n.view.Counts()
	var signed [][]byte
	for _, o := range n.observations.Piggyback(s.To, present) {
		signed = append(signed, o.Signed)
	}
	raw, err := n.codec.Encode(n.view.SelfRecord().Incarnation.StartMillis, s.To, s.Message, signed)
	if err != nil {
		n.metrics.Log.Error("datagram send failed", "peer", n.codec.Name(s.To), "error", err.Error())
		return
	}
	lowPriority := s.Kind >= swim.PushPullRequest
	if !n.sendLimiter.AllowSend(now, s.To, len(raw), lowPriority) {
		n.sendsDropped++
		n.metrics.Inc(telemetry.PeerSendLimited)
		return
	}
	n.sentTotal.add(len(raw))
	_, _ = n.conn.WriteToUDPAddrPort(raw, to) // the protocol tolerates loss
}
