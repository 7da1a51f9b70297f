// Package observation manages the observations that members make of the health of endpoints: the outcomes of their
// requests to an endpoint, not a decision about the endpoint. An observation is signed by its witness and expires.
// Its weight depends on the reputation of the witness, and is lower for each further witness of the same zone. The
// result is a doubt about an endpoint, which makes the routing module probe it sooner but never takes it out of
// service. The package performs no I/O, reads no clock, and is deterministic: the same calls at the same times
// produce the same doubts.
package observation
