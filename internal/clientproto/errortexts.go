package clientproto

// Texts of errors that are sent to clients. They are part of the protocol and use its terms: a txn is a request, a
// remap rule is a request class.
const (
	TextStreamZero      = "a txn on stream 0"
	TextStreamUsed      = "stream %d is not new"
	TextUnknownType     = "unknown type %d"
	TextRequestTooLarge = "txn too large"
	TextUnknownClass    = "unknown remap rule %.40q"
)
