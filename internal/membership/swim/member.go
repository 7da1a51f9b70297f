package swim

// MemberID is the index of a member in the roster. Both ends of a connection use the same roster, which only grows.
type MemberID int32

// State is the state of a member in the membership view. Its values are sent in datagrams.
type State uint8

// The states of a member.
const (
	Unknown State = iota // no record of the member was received
	Alive
	Stuck // answers probes, but reports that its event loop makes no progress
	Suspect
	Failed
	Left
)

var stateNames = [...]string{"unknown", "alive", "stuck", "suspect", "failed", "left"}

func (s State) String() string { return stateNames[s] }

// Present reports whether a member in this state counts as present.
func (s State) Present() bool { return s == Alive || s == Stuck || s == Suspect }

// Incarnation is the version of a member's record: its start time and the number of refutations since. Only the
// member itself increases it.
type Incarnation struct {
	StartMillis uint64 // Unix time in ms at which the process started
	Refutations uint32 // number of refutations since that start
}

// Less reports whether a is older than b.
func (a Incarnation) Less(b Incarnation) bool {
	return a.StartMillis < b.StartMillis || a.StartMillis == b.StartMillis && a.Refutations < b.Refutations
}

// next returns the incarnation that refutes accusations against a.
func (a Incarnation) next() Incarnation {
	return Incarnation{StartMillis: a.StartMillis, Refutations: a.Refutations + 1}
}

// MemberRecord is a member's statement about itself, signed by it. Other members relay it unchanged.
type MemberRecord struct {
	Member      MemberID
	Incarnation Incarnation
	InstanceID  uint64 // drawn at each start, to distinguish two processes with the same name
	State       State  // Alive, Stuck or Left
	Signed      []byte // signed encoding, opaque to this package; nil in this member's own record
}

// Accusation states that its accuser failed to reach a member at an incarnation. The accuser signs it.
type Accusation struct {
	Accuser      MemberID
	Member       MemberID
	Incarnation  Incarnation
	Dead         bool   // the accuser declared the member failed and receivers do too; Config.PublishedSWIM only
	FromPushPull bool   // derived from a push-pull entry in a message signed by its sender; not relayed
	Signed       []byte // signed encoding, opaque to this package; nil in accusations by this member
}

// NameHash returns the hash of a member's name. The hash of a membership view is the XOR of the name hashes of all
// present members.
func NameHash(name string) uint64 {
	const (
		fnvOffset = 0xcbf29ce484222325
		fnvPrime  = 0x100000001b3
	)
	h := uint64(fnvOffset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * fnvPrime
	}
	// The finalizer of splitmix64, so that names that differ only in the last letter differ in all bits.
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
