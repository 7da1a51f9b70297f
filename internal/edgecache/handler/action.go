package handler

import (
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/routing"
)

// Action is an action for the caller to perform: one of Respond, ReadDisk, Fetch, CancelFetch, WriteDisk, TouchDisk,
// DeleteFromDisk and ConfirmOnDisk.
type Action interface{ action() }

// Respond ends a request with a response.
type Respond struct {
	Request     uint64
	Result      routing.AttemptResult
	Detail      routing.ResultDetail
	NotModified bool         // the client's copy is still current
	Copy        *Copy        // cached content of the response, nil if there is none
	Forwarded   *FetchResult // response of a source, which is not cached; nil if there is none
}

// ReadDisk reads a chunk from the disk. The caller passes the result to HandleDiskRead.
type ReadDisk struct{ Key eviction.Key }

// Fetch requests a chunk from a source. The caller passes the result to HandleFetched.
type Fetch struct {
	Fill           uint64
	Request        uint64 // request whose body is sent along, 0 if none
	Key            eviction.Key
	Class          string
	Source         string
	ETag           string // ETag of the copy to revalidate, empty if none
	TimeoutSeconds float64
	MaxAgeSeconds  float64 // maximum age of the copy, 0 for the class's fresh time
	Rank           int

	// CacheOnly: the source must respond from its cache only. NoStore: it must not cache the response. JoinFill: it may
	// let the request wait for a fetch in progress.
	CacheOnly, NoStore, JoinFill bool
}

// CancelFetch cancels a fetch. The handler expects no result for it.
type CancelFetch struct{ Fill uint64 }

// WriteDisk offers a copy to the disk cache. Epoch is the validity epoch in which the source was requested.
type WriteDisk struct {
	Copy  *Copy
	Epoch uint16
}

// TouchDisk records a hit in memory as a use of the chunk in the disk cache's eviction policy.
type TouchDisk struct{ Copy *Copy }

// DeleteFromDisk deletes a chunk from the disk cache.
type DeleteFromDisk struct{ Key eviction.Key }

// ConfirmOnDisk records that the source has confirmed that the copy on the disk is valid.
type ConfirmOnDisk struct {
	Key   eviction.Key
	Seq   uint64
	Epoch uint16
}

func (Respond) action()        {}
func (ReadDisk) action()       {}
func (Fetch) action()          {}
func (CancelFetch) action()    {}
func (WriteDisk) action()      {}
func (TouchDisk) action()      {}
func (DeleteFromDisk) action() {}
func (ConfirmOnDisk) action()  {}
