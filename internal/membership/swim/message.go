package swim

// MessageKind is the kind of a message. Its values are on the wire.
type MessageKind uint8

// The kinds of messages.
const (
	Ping                 MessageKind = iota + 1 // a probe
	Ack                                         // the answer to a ping
	IndirectPing                                // asks the receiver to ping Target on behalf of the sender
	IndirectPingAccepted                        // the receiver of an IndirectPing does so; sent at once
	IndirectAck                                 // Target's answer, passed on to who asked
	PushPullRequest                             // a part of the sender's table
	PushPullReply                               // what the receiver knows better, and what it asks for
	Push                                        // records that nobody answers
)

// PushPullEntry is what the sender of a push-pull message holds of a member.
type PushPullEntry struct {
	Member      MemberID
	Incarnation Incarnation
	State       State
}

// Message is what one member sends another. The lists are bounded by the constants maxRecords, maxAccusations and
// maxEntries.
type Message struct {
	Kind      MessageKind
	Nonce     uint64   // of the probe that the message belongs to
	Requester MemberID // whose probe it is: the sender, or another on whose behalf the sender pings
	Target    MemberID // IndirectPing and IndirectAck: the member that is probed
	// Ack and IndirectAck: the target's signature over nonce and requester; made and verified by the caller
	Proof       []byte
	ViewHash    uint64 // of the present members in the sender's view; 0: not given
	Records     []MemberRecord
	Accusations []Accusation
	Entries     []PushPullEntry
}

func (m *Message) hasRecordOf(id MemberID) bool {
	for i := range m.Records {
		if m.Records[i].Member == id {
			return true
		}
	}
	return false
}
