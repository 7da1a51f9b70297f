// Package standin has stand-ins for the environment of the product: the discovery service, endpoints with several
// addresses that can misbehave, clients and their load, and hostile peers.
//
// The stand-ins speak the users' protocols and record the traffic that they send and receive. They verify nothing:
// package verify checks the records.
package standin
