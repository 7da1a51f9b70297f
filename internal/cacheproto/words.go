// Package cacheproto is the codec of the text lines between routers and caches.
//
// It owns the words of the protocol and the validation of their values, for both sides: routers write commands and
// parse responses, and caches parse commands and write responses. It does no I/O and has no state. The caller reads and
// writes the bodies, which follow the lines.
//
// The words are those of the caches' protocol and are used in this package only. Their meanings:
//
//	commands    do attempt, undo cancel, ping probe, top probe with a load report
//	fields      profile class, thing object, nth chunk, max timeout in ms, replay idempotency key,
//	            parent fill source, shelf retention rank, accept maximum age in ms, hints options, got client's ETag
//	options     ride join a fill, have-only cache only, through no store at the parent, update revalidate
//	results     served completed, still_good not modified, not_here cache miss, overload overloaded,
//	            crashed server error, nobody not sent, green healthy, red unhealthy
//	of a copy   digest ETag, dated origin time in ms, remark detail (h hit, f filled, j joined fill, s stale hit),
//	            report load report, bucket purge group
package cacheproto

import (
	"errors"
	"strconv"

	"cairnfront/routing"
)

const (
	// LineEnd is written after each line and each body.
	LineEnd = "\r\n"

	// MaxObjectBytes is the maximum size of the body of a response.
	MaxObjectBytes = 240000

	// MaxRequestBodyBytes is the maximum size of the body of an attempt.
	MaxRequestBodyBytes = 48000

	// UnknownPurgeGroup is the purge group of a copy whose purge group is not known.
	UnknownPurgeGroup = 0xffff
)

// Prefixes of probe IDs, each followed by a number. They distinguish health checks of an endpoint from probes of one of
// its addresses.
const (
	HealthCheckIDPrefix  = "check"
	AddressProbeIDPrefix = "look"
)

const (
	millisInSecond = 1000
	noFields       = "-" // an empty list of fields
)

// ErrMalformed is wrapped by the errors for lines that violate the protocol. The line boundaries of the connection are
// then unknown.
var ErrMalformed = errors.New("malformed line")

// Commands.
const (
	wordAttempt   = "do"
	wordCancel    = "undo"
	wordProbe     = "ping"
	wordProbeLoad = "top"
)

// Fields of an attempt.
const (
	fieldClass          = "profile"
	fieldObject         = "thing"
	fieldPart           = "nth"
	fieldTimeout        = "max"
	fieldIdempotencyKey = "replay"
	fieldFillSource     = "parent"
	fieldRetentionRank  = "shelf"
	fieldMaxAge         = "accept"
	fieldOptions        = "hints"
	fieldClientETag     = "got"
)

// Options of an attempt, joined by optionSeparator.
const (
	optionSeparator     = "+"
	optionJoinFill      = "ride"
	optionCacheOnly     = "have-only"
	optionParentNoStore = "through"
	optionRevalidate    = "update"
)

// Results.
const (
	wordCompleted   = "served"
	wordNotModified = "still_good"
	wordCacheMiss   = "not_here"
	wordOverloaded  = "overload"
	wordServerError = "crashed"
	wordNotSent     = "nobody"
	wordHealthy     = "green"
	wordUnhealthy   = "red"
)

// Fields of a response.
const (
	fieldETag       = "digest"
	fieldOriginTime = "dated"
	fieldDetail     = "remark"
	fieldLoadReport = "report"

	// fieldPurgeGroup is written only by this project's caches: a cache learns the purge group of an object from the
	// source of its copy, since routers do not send it. Other programs ignore the field.
	fieldPurgeGroup = "bucket"
)

// results maps each word of a response to its result.
var results = map[string]routing.AttemptResult{
	wordCompleted:   routing.Completed,
	wordNotModified: routing.Completed,
	wordCacheMiss:   routing.CacheMiss,
	wordOverloaded:  routing.Overloaded,
	wordServerError: routing.ServerError,
	wordNotSent:     routing.NotSent,
	wordHealthy:     routing.Completed,
	wordUnhealthy:   routing.ServerError,
}

// resultWords maps each result that a cache reports for an attempt to its word.
var resultWords = map[routing.AttemptResult]string{
	routing.Completed:   wordCompleted,
	routing.CacheMiss:   wordCacheMiss,
	routing.Overloaded:  wordOverloaded,
	routing.ServerError: wordServerError,
	routing.NotSent:     wordNotSent,
}

// details maps each mark in a response to its detail.
var details = map[string]routing.ResultDetail{
	"h": routing.CacheHit,
	"f": routing.Filled,
	"j": routing.JoinedFill,
	"s": routing.StaleHit,
}

// detailMarks is the inverse of details.
var detailMarks = func() map[routing.ResultDetail]string {
	marks := make(map[routing.ResultDetail]string, len(details))
	for mark, detail := range details {
		marks[detail] = mark
	}
	return marks
}()

// fieldWriter appends name=value pairs separated by commas.
type fieldWriter struct {
	line  []byte
	start int // length of the line before the first field
}

func (w *fieldWriter) text(name, value string) {
	w.name(name)
	w.line = append(w.line, value...)
}

func (w *fieldWriter) integer(name string, value int64) {
	w.name(name)
	w.line = strconv.AppendInt(w.line, value, 10)
}

func (w *fieldWriter) name(name string) {
	if len(w.line) > w.start {
		w.line = append(w.line, ',')
	}
	w.line = append(w.line, name...)
	w.line = append(w.line, '=')
}

// end appends the length of the body and the line ending.
func (w *fieldWriter) end(bodyBytes int) []byte {
	if len(w.line) == w.start {
		w.line = append(w.line, noFields...)
	}
	w.line = append(w.line, ' ')
	w.line = strconv.AppendInt(w.line, int64(bodyBytes), 10)
	return append(w.line, LineEnd...)
}
