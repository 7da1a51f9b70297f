// Package observation owns what members observe of endpoints' health: how their requests to an endpoint ended, not
// what is to be done about it. An observation is signed by its witness and expires. Its weight depends on the
// witness's record, and is less for each further witness of one zone. The result is a doubt about an endpoint,
// which makes the routing module probe it sooner and never takes it out of service. The package has no I/O and no
// clock: the same calls at the same times give the same doubts.
package observation
