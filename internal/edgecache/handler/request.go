package handler

import (
	"math"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
)

// Class contains properties of a request class. The handler uses all of them except StaleSeconds.
type Class struct {
	Name         string
	Cacheable    bool
	FreshSeconds float64 // maximum age of a fresh copy, 0 if copies are fresh at any age
	StaleSeconds float64 // time beyond FreshSeconds for which a stale copy may be served; set by the caller only
}

// Request is a request for a chunk. Times are in Unix seconds.
type Request struct {
	ID            uint64 // assigned by the caller; 0 for a background revalidation
	Key           eviction.Key
	Class         Class
	Deadline      float64
	Source        string  // endpoint to fetch a miss from, empty if there is none
	Rank          int     // retention rank with which a copy is cached, 0 if it must not be cached
	MaxAgeSeconds float64 // maximum age of the copy, 0 for the class's fresh time

	JoinFill   bool // may wait for a fetch in progress
	CacheOnly  bool // the source must respond from its cache only
	NoStore    bool // the response must not be cached
	Revalidate bool // a stale copy is to be revalidated in the background

	ETag string // ETag of the client's copy, empty if it has none

	receivedAt float64
}

// maxAge returns the maximum age in seconds of a copy that satisfies the request.
func (r *Request) maxAge() float64 {
	switch {
	case r.MaxAgeSeconds > 0:
		return r.MaxAgeSeconds
	case r.Class.FreshSeconds > 0:
		return r.Class.FreshSeconds
	}
	return math.Inf(1)
}

// Copy is a cached copy of a chunk.
type Copy struct {
	eviction.Key
	ETag           string
	IssuedAt       int64 // Unix ms
	Group          uint16
	Rank           int
	Seq            uint64 // sequence number on the disk, 0 if the copy was not read from disk
	ConfirmedEpoch uint16 // validity epoch in which the source delivered or confirmed the copy
	Body           []byte
}

// validityCopy returns the properties of the copy that the validity check uses.
func (c *Copy) validityCopy() validity.Copy {
	return validity.Copy{
		Object:         c.Object,
		Group:          c.Group,
		IssuedAt:       c.IssuedAt,
		Seq:            c.Seq,
		ConfirmedEpoch: c.ConfirmedEpoch,
	}
}
