package request

import "cairnfront/routing"

// AttemptEnd is the outcome of an attempt, as observed on the connection to the endpoint. The fields after LoadReport
// describe the copy that was served; they are zero if the endpoint did not send them.
type AttemptEnd struct {
	Result            routing.AttemptResult
	Detail            routing.ResultDetail
	LoadReport        []routing.LoadMetric
	ETag              string
	OriginUnixMillis  int64 // Unix time in milliseconds at which the origin served the copy
	PurgeGroupPlusOne int   // number of the object's purge group plus one, as the number may be 0; 0 if not sent
	NotModified       bool  // the client's copy is current
	Body              *Body // nil if there is none
	BodyDropped       bool  // a body was received and dropped, as the client's share of the memory has no room for it
}
