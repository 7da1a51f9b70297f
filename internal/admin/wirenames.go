package admin

import "cairnfront/internal/telemetry"

// This file maps the names of requests and arguments in the admin protocol to the terms of the code. The protocol names
// must not change, because existing clients send them; help texts, printed output and counters use the terms. States in
// the JSON of responses are mapped by the packages that define the states (address.Condition, partition.State).

// RequestName is the name of a request in the admin protocol.
type RequestName string

// The requests. CooldownAddress and ReinstateAddress call the Dispatcher's DisableAddress and ReinstateAddress.
const (
	ShowAddresses    RequestName = "reach"       // returns the addresses of all endpoints and their state
	CooldownAddress  RequestName = "rest"        // disables an address until it is reinstated
	ReinstateAddress RequestName = "unrest"      // puts an address that is disabled or in cooldown back into use
	ShowPeers        RequestName = "peers"       // returns the membership view
	LeavePeers       RequestName = "peers-leave" // leaves the membership until the program is restarted
)

// The arguments of CooldownAddress and ReinstateAddress.
const (
	ArgEndpoint = "member"  // id of the endpoint
	ArgAddress  = "address" // IP:PORT or unix:/PATH
)

// requestLabels maps each request to its label in the metric admin_requests_total.
var requestLabels = map[RequestName]telemetry.AdminRequest{
	ShowAddresses:    "addresses",
	CooldownAddress:  "cooldown",
	ReinstateAddress: "reinstate",
	ShowPeers:        "peers",
	LeavePeers:       "peers_leave",
}

// label returns the request's label in the metric admin_requests_total, or the request's name if it has no label.
func (n RequestName) label() telemetry.AdminRequest {
	if label, ok := requestLabels[n]; ok {
		return label
	}
	return telemetry.AdminRequest(n)
}
