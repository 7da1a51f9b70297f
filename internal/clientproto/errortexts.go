package clientproto

// Texts of faults that a client is sent. They are part of the protocol and keep its words: a txn is a request, a remap
// rule a request class.
const (
	TextStreamZero      = "a txn on stream 0"
	TextStreamUsed      = "stream %d is not new"
	TextUnknownType     = "unknown type %d"
	TextRequestTooLarge = "txn too large"
	TextUnknownClass    = "unknown remap rule %.40q"
)
