package swim

// MessageKind is the kind of a message. Its values are sent in datagrams.
type MessageKind uint8

// The kinds of messages.
const (
	Ping                 MessageKind = iota + 1 // a probe
	Ack                                         // the answer to a ping
	IndirectPing                                // asks the receiver to ping Target on behalf of the sender
	IndirectPingAccepted                        // the receiver of an IndirectPing accepted it; sent immediately
	IndirectAck                                 // Target's ack, relayed to the requester
	PushPullRequest                             // a part of the sender's member table
	PushPullReply                               // newer records, and entries whose newer records are requested
	Push                                        // records to which no reply is sent
)

// PushPullEntry is a member's incarnation and state in the view of the sender of a push-pull message.
type PushPullEntry struct {
	Member      MemberID
	Incarnation Incarnation
	State       State
}

// Message is a protocol message from one member to another. The lengths of its lists are bounded by the constants
// maxRecords, maxAccusations and maxEntries.
type Message struct {
	Kind      MessageKind
	Nonce     uint64   // identifies the probe that the message belongs to
	Requester MemberID // member that started the probe: the sender, or the member for which the sender pings
	Target    MemberID // probed member of an IndirectPing or IndirectAck
	// Proof is the target's signature over nonce and requester, in an IndirectAck and in the Ack that is relayed as
	// one. The Ack to a direct ping has none. The core's caller creates and verifies the proof.
	Proof       []byte
	ViewHash    uint64 // hash of the present members in the sender's view; 0 if absent
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
