package admin

import "cairnfront/internal/telemetry"

// This file has the names of requests and arguments on the admin socket's wire, and the terms for them. Clients in use
// send the wire's names, so these stay as they are; help texts, printed output and counters have the terms. States in
// the JSON of responses are mapped by the packages of the states (address.Condition, partition.State).

// RequestName names a request on the wire.
type RequestName string

// The requests.
const (
	ShowAddresses    RequestName = "reach"       // the addresses of all endpoints and their state
	CooldownAddress  RequestName = "rest"        // takes an address out of use until it is reinstated
	ReinstateAddress RequestName = "unrest"      // ends the cooldown of an address
	ShowPeers        RequestName = "peers"       // the membership view
	LeavePeers       RequestName = "peers-leave" // leaves the membership until the next start
)

// The arguments of CooldownAddress and ReinstateAddress.
const (
	ArgEndpoint = "member"  // id of the endpoint
	ArgAddress  = "address" // IP:PORT or unix:/PATH
)

// requestLabels has the label of each request in the counter of requests.
var requestLabels = map[RequestName]telemetry.AdminRequest{
	ShowAddresses:    "addresses",
	CooldownAddress:  "cooldown",
	ReinstateAddress: "reinstate",
	ShowPeers:        "peers",
	LeavePeers:       "peers_leave",
}

// label returns the request's label in the counter of requests: its own name if it is none of this file's.
func (n RequestName) label() telemetry.AdminRequest {
	if label, ok := requestLabels[n]; ok {
		return label
	}
	return telemetry.AdminRequest(n)
}
