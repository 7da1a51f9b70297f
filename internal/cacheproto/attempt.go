package cacheproto

import (
	"math"

	"cairnfront/internal/request"
	"cairnfront/routing"
)

// Attempt is an attempt of a request, as a router sends it to an endpoint.
type Attempt struct {
	Request        *request.Request
	TimeoutSeconds float64
	FillSource     string // ID of the endpoint that a miss is filled from; empty for no fill
	StartAttempt   routing.StartAttempt
}

// AppendAttempt appends the line of an attempt. The caller must append the body and LineEnd.
func AppendAttempt(b []byte, attempt Attempt) []byte {
	r := attempt.Request
	b = append(b, wordAttempt...)
	b = append(b, ' ')
	b = append(b, r.ID...)
	b = append(b, ' ')
	w := fieldWriter{line: b, start: len(b)}
	w.text(fieldClass, r.ClassName)
	w.text(fieldObject, r.Object)
	w.text(fieldPart, r.Part)
	w.integer(fieldTimeout, floorMillis(attempt.TimeoutSeconds))
	if r.IdempotencyKey != "" {
		w.text(fieldIdempotencyKey, r.IdempotencyKey)
	}
	if attempt.FillSource != "" {
		w.text(fieldFillSource, attempt.FillSource)
	}
	if attempt.StartAttempt.RetentionRank > 0 {
		w.integer(fieldRetentionRank, int64(attempt.StartAttempt.RetentionRank))
	}
	if attempt.StartAttempt.MaxAgeSeconds > 0 { // rounded down: a younger copy is acceptable too
		w.integer(fieldMaxAge, floorMillis(attempt.StartAttempt.MaxAgeSeconds))
	}
	w.options(attempt.StartAttempt)
	if r.ETag != "" {
		w.text(fieldClientETag, r.ETag)
	}
	return w.end(r.Body.Len())
}

// floorMillis converts seconds to milliseconds, rounded down but at least 1, as 0 means no limit on the wire.
func floorMillis(seconds float64) int64 {
	return max(int64(math.Floor(seconds*millisInSecond)), 1)
}

func (w *fieldWriter) options(attempt routing.StartAttempt) {
	first := true
	add := func(set bool, option string) {
		switch {
		case !set:
		case first:
			w.text(fieldOptions, option)
			first = false
		default:
			w.line = append(w.line, optionSeparator...)
			w.line = append(w.line, option...)
		}
	}
	add(attempt.JoinFill, optionJoinFill)
	add(attempt.CacheOnly, optionCacheOnly)
	add(attempt.ParentNoStore, optionParentNoStore)
	add(attempt.Revalidate, optionRevalidate)
}

// AppendCancel appends the line that cancels an attempt. A cancel has no response.
func AppendCancel(b []byte, id string) []byte {
	return appendShortCommand(b, wordCancel, id)
}

// AppendProbe appends the line of a probe. If withLoad is set, the probe requests a load report.
func AppendProbe(b []byte, id string, withLoad bool) []byte {
	if withLoad {
		return appendShortCommand(b, wordProbeLoad, id)
	}
	return appendShortCommand(b, wordProbe, id)
}

func appendShortCommand(b []byte, word, id string) []byte {
	b = append(b, word...)
	b = append(b, ' ')
	b = append(b, id...)
	return append(b, LineEnd...)
}
