package handler

import (
	"math"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/validity"
)

// Class is what the handler knows of a request class.
type Class struct {
	Name         string
	Cacheable    bool
	FreshSeconds float64 // age up to which a copy is fresh, 0 for any
	StaleSeconds float64 // age beyond that up to which a stale copy may be served
}

// Request is a request for a chunk. Times are Unix seconds.
type Request struct {
	ID            uint64 // assigned by the caller; 0 for a renewal that nobody waits for
	Key           eviction.Key
	Class         Class
	Deadline      float64
	Source        string  // endpoint that a miss is fetched from, empty for none
	Rank          int     // with which a copy is cached, 0 for not at all
	MaxAgeSeconds float64 // seconds, 0 for the class's fresh time

	JoinFill   bool // may wait for a fetch under way
	CacheOnly  bool // the source must not fetch
	NoStore    bool // must not be cached
	Revalidate bool // a stale copy is to be renewed

	ETag string // of the copy that the client holds

	receivedAt float64
}

// maxAge is the greatest age in seconds of a copy that satisfies the request.
func (r *Request) maxAge() float64 {
	switch {
	case r.MaxAgeSeconds > 0:
		return r.MaxAgeSeconds
	case r.Class.FreshSeconds > 0:
		return r.Class.FreshSeconds
	}
	return math.Inf(1)
}

// Copy is a copy of a chunk.
type Copy struct {
	eviction.Key
	ETag           string
	IssuedAt       int64 // Unix ms
	Group          uint16
	Rank           int
	Seq            uint64 // sequence number on the disk, 0 if it is not from there
	ConfirmedEpoch uint16 // epoch in which its source delivered or confirmed it
	Body           []byte
}

// validityCopy is the description that the environment evaluates.
func (c *Copy) validityCopy() validity.Copy {
	return validity.Copy{
		Object:         c.Object,
		Group:          c.Group,
		IssuedAt:       c.IssuedAt,
		Seq:            c.Seq,
		ConfirmedEpoch: c.ConfirmedEpoch,
	}
}
