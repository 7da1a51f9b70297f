package partition

// State describes how much of the cluster a router can reach. The states are ordered by what they permit: a higher
// state permits more.
type State uint8

// The partition states. docs/membership.md describes what each part of a router may do in each state.
const (
	Alone       State = iota // no other member is present
	Minority                 // at most half of the roster is present and working
	Disagreeing              // more members than may be byzantine have a different view
	Majority                 // most of the roster is present and working
	Complete                 // all members of the roster are present and working
)

var stateNames = [...]string{"alone", "minority", "disagreeing", "majority", "complete"}

// String returns the state's name in logs, counters and command output.
func (s State) String() string { return stateNames[s] }

// WireName returns the state's name in the JSON of reports. It equals String, except for
//
//	complete: whole
func (s State) WireName() string {
	if s == Complete {
		return "whole"
	}
	return s.String()
}

// ParseWireName returns the state that has a given name in the JSON of reports, and false for an unknown name.
func ParseWireName(name string) (State, bool) {
	for state := Alone; state <= Complete; state++ {
		if state.WireName() == name {
			return state, true
		}
	}
	return Alone, false
}

// MayGossip reports whether the router gossips its own observations of endpoints. In the state Alone there is no
// receiver.
func (s State) MayGossip() bool { return s > Alone }

// TrustsReports reports whether the router acts on other members' observations of endpoints.
func (s State) TrustsReports() bool { return s >= Disagreeing }
