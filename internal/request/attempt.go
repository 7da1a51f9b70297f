package request

import "cairnfront/routing"

// AttemptEnd is how an attempt ended, as seen on the connection to the endpoint. The fields after LoadReport describe
// the copy that was served; they are zero where the endpoint did not tell them.
type AttemptEnd struct {
	Result            routing.AttemptResult
	Detail            routing.ResultDetail
	LoadReport        []routing.LoadMetric
	ETag              string
	OriginUnixMillis  int64 // Unix time in milliseconds at which the origin served the copy
	PurgeGroupPlusOne int   // number of the object's purge group plus one
	NotModified       bool  // the copy that the client has is current
	Body              *Body // nil for none
}
