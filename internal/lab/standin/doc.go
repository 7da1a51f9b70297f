// Package standin has the stand-ins for what surrounds the product: the discovery service, endpoints with several
// addresses that can misbehave, clients and their load, and hostile peers.
//
// They speak the users' protocols and record what they carried. They have no verdicts: package verify reads the
// records.
package standin
