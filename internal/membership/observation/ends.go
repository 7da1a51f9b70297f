package observation

import "cairnfront/routing"

// Read says what the end of a hop tells of its member, if anything. Late is an answer past the txn's SLA time. What the
// txn or its client brought about says nothing; a full member is slow, not failing.
func Classify(code routing.AttemptResult, late bool) (Health, bool) {
	switch code {
	case routing.Completed, routing.CacheMiss:
		if late {
			return Slow, true
		}
		return Healthy, true
	case routing.Overloaded:
		return Slow, true
	case routing.ServerError, routing.ConnectFailed, routing.ConnectionBroken, routing.TimedOut:
		return Failing, true
	}
	return 0, false
}
