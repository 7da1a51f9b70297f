package partition

// State is how much of the cluster a router sees. The states are ordered by what they allow: a later one allows
// more.
type State uint8

// The states. docs/membership.md says what each part of a router may do in which.
const (
	Alone       State = iota // no other member is present
	Minority                 // at most half of the roster is present and working
	Disagreeing              // more members than may be byzantine have another view
	Majority                 // most of the roster is present and working
	Complete                 // all of the roster is present and working
)

var stateNames = [...]string{"alone", "minority", "disagreeing", "majority", "complete"}

// String is the state's name in logs, counters and printed text.
func (s State) String() string { return stateNames[s] }

// WireName is the state's name in the JSON of reports. It is String, except for
//
//	complete: whole
func (s State) WireName() string {
	if s == Complete {
		return "whole"
	}
	return s.String()
}

// ParseWireName returns the state with a name in the JSON of reports, and false for an unknown name.
func ParseWireName(name string) (State, bool) {
	for state := Alone; state <= Complete; state++ {
		if state.WireName() == name {
			return state, true
		}
	}
	return Alone, false
}

// MayGossip reports whether the router's own observations of endpoints are passed on. Alone there is no receiver.
func (s State) MayGossip() bool { return s > Alone }

// TrustsReports reports whether the router acts on other members' observations of endpoints.
func (s State) TrustsReports() bool { return s >= Disagreeing }
