package swim

// MemberID is a place in the roster. Both sides of a connection use the same roster, which only grows.
type MemberID int32

// State is what the view holds of a member. Its values are on the wire.
type State uint8

// The states of a member.
const (
	Unknown State = iota // never heard of
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

// Incarnation numbers the starts of a member and its refutations since each. Only the member itself raises it.
type Incarnation struct {
	StartMillis uint64 // Unix time in ms at which the process started
	Refutations uint32 // since that start
}

// Less reports whether a is older than b.
func (a Incarnation) Less(b Incarnation) bool {
	return a.StartMillis < b.StartMillis || a.StartMillis == b.StartMillis && a.Refutations < b.Refutations
}

// next is the incarnation that refutes accusations against a.
func (a Incarnation) next() Incarnation {
	return Incarnation{StartMillis: a.StartMillis, Refutations: a.Refutations + 1}
}

// MemberRecord is what a member says of itself, signed by it. Others pass it on unchanged.
type MemberRecord struct {
	Member      MemberID
	Incarnation Incarnation
	InstanceID  uint64 // drawn at each start; it differs between two processes under one name
	State       State  // Alive, Stuck or Left
	Signed      []byte // the signed encoding, opaque to this package; nil for the own record
}

// Accusation says that its accuser failed to reach a member at an incarnation. It is signed by the accuser.
type Accusation struct {
	Accuser      MemberID
	Member       MemberID
	Incarnation  Incarnation
	Dead         bool   // only with Config.PublishedSWIM: the accuser declares the member failed, and receivers follow
	FromPushPull bool   // derived from a push-pull entry, which its sender signed with the message; it is not passed on
	Signed       []byte // the signed encoding, opaque to this package; nil for an own accusation
}

// NameHash is the share of a member's name in the hash of a view. A view's hash is the XOR over all present
// members.
func NameHash(name string) uint64 {
	const (
		fnvOffset = 0xcbf29ce484222325
		fnvPrime  = 0x100000001b3
	)
	h := uint64(fnvOffset)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * fnvPrime
	}
	// The finalizer of splitmix64: names that differ in the last letter alone differ in all bits.
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
