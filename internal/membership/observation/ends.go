package observation

import "cairnfront/routing"

// Read says what the end of a hop tells of its member, if anything. Late is an answer past the txn's SLA time. What the
// txn or its client brought about says nothing; a full member is slow, not failing.
func Read(code routing.Code, late bool) (Says, bool) {
	switch code {
	case routing.Completed, routing.Miss:
		if late {
			return Slow, true
		}
		return Well, true
	case routing.Busy:
		return Slow, true
	case routing.Errored, routing.NoConnect, routing.Broken, routing.TimedOut:
		return Failing, true
	}
	return 0, false
}
