package handler

import (
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/routing"
)

// Action is one of Respond, ReadDisk, Fetch, CancelFetch, WriteDisk, TouchDisk, DeleteFromDisk and ConfirmOnDisk.
type Action interface{ action() }

// Respond ends a request.
type Respond struct {
	Request     uint64
	Result      routing.AttemptResult
	Detail      routing.ResultDetail
	NotModified bool   // the client's copy is current
	Copy        *Copy  // what it is completed with, nil for none
	PassThrough bool   // completed with the response of Fill, which is not cached
	Fill        uint64 // of a pass-through
}

// ReadDisk reads a chunk from the disk. HandleDiskRead takes the result.
type ReadDisk struct{ Key eviction.Key }

// Fetch requests a chunk from a source. HandleFetched takes the result.
type Fetch struct {
	Fill           uint64
	Request        uint64 // whose body goes with it, 0 for none
	Key            eviction.Key
	Class          string
	Source         string
	ETag           string // of the copy to be confirmed
	TimeoutSeconds float64
	MaxAgeSeconds  float64 // seconds, 0 for the class's fresh time
	Rank           int

	CacheOnly, NoStore, JoinFill bool
}

// CancelFetch cancels a fetch; no result is expected.
type CancelFetch struct{ Fill uint64 }

// WriteDisk offers a copy to the disk. Epoch is the epoch in which its source was asked.
type WriteDisk struct {
	Copy  *Copy
	Epoch uint16
}

// TouchDisk counts a request that memory answered in the disk's eviction policy.
type TouchDisk struct{ Copy *Copy }

// DeleteFromDisk deletes a chunk from the disk.
type DeleteFromDisk struct{ Key eviction.Key }

// ConfirmOnDisk records that the source has confirmed the copy on the disk.
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
