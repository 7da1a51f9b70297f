// Package line is the codec of the caches' lines. It does no I/O; the protocol's words end here.
package cacheproto

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"cairnfront/internal/request"
	"cairnfront/internal/wirenames"
	"cairnfront/routing"
)

// MostBody is the size of the largest object.
const MaxObjectBytes = 240000

// End follows each body.
const LineEnd = "\r\n"

// Do is a hop as it goes to a member. Fill names who fills a miss, empty for nobody.
type Attempt struct {
	Request        *request.Request
	TimeoutSeconds float64 // seconds
	FillSource     string
	routing.StartAttempt
}

// AppendDo writes the line of a hop; the body and End have to follow.
func AppendAttempt(b []byte, d Attempt) []byte {
	t := d.Request
	b = append(append(append(b, "do "...), t.ID...), " profile="...)
	b = append(append(b, t.ClassName...), ",thing="...)
	b = append(append(b, t.Object...), ",nth="...)
	b = append(append(b, t.Part...), ",max="...)
	b = strconv.AppendInt(b, max(int64(math.Floor(d.TimeoutSeconds*1000)), 1), 10)
	if t.IdempotencyKey != "" {
		b = append(append(b, ",replay="...), t.IdempotencyKey...)
	}
	if d.FillSource != "" {
		b = append(append(b, ",parent="...), d.FillSource...)
	}
	if d.RetentionRank > 0 {
		b = strconv.AppendInt(append(b, ",shelf="...), int64(d.RetentionRank), 10)
	}
	if d.MaxAgeSeconds > 0 { // rounded down: a younger copy will do as well; 0 would mean any
		b = strconv.AppendInt(append(b, ",accept="...), max(int64(math.Floor(d.MaxAgeSeconds*1000)), 1), 10)
	}
	mark := ",hints="
	for _, h := range []struct {
		on   bool
		word string
	}{{d.JoinFill, "ride"}, {d.CacheOnly, "have-only"}, {d.ParentNoStore, "through"}, {d.Revalidate, "update"}} {
		if h.on {
			b = append(append(b, mark...), h.word...)
			mark = "+"
		}
	}
	if t.ETag != "" {
		b = append(append(b, ",got="...), t.ETag...)
	}
	b = strconv.AppendInt(append(b, ' '), int64(t.Body.Len()), 10)
	return append(b, LineEnd...)
}

// AppendUndo writes the line that gives a hop up.
func AppendCancel(b []byte, id string) []byte {
	return append(append(append(b, "undo "...), id...), LineEnd...)
}

// AppendCheck writes a check, with the load report if that is wanted.
func AppendProbe(b []byte, tag string, load bool) []byte {
	word := "ping "
	if load {
		word = "top "
	}
	return append(append(append(b, word...), tag...), LineEnd...)
}

// Answer is a line of a member. The body of Size bytes and End follow it.
type Response struct {
	ID           string
	IsProbeReply bool // it answers a check
	request.AttemptEnd
	BodyBytes int
}

var ends = map[string]routing.AttemptResult{
	"served": routing.Completed, "still_good": routing.Completed, "not_here": routing.CacheMiss, "overload": routing.Overloaded,
	"crashed": routing.ServerError, "nobody": routing.NotSent, "green": routing.Completed, "red": routing.ServerError,
}

var remarks = map[string]routing.ResultDetail{"h": routing.CacheHit, "f": routing.Filled, "j": routing.JoinedFill, "s": routing.StaleHit}

var errShape = errors.New("answer is not of the form ID WORD FIELDS LENGTH")

// ParseAnswer reads a member's line. After an error the connection is out of step.
func ParseResponse(text []byte) (Response, error) {
	w := bytes.Split(text, []byte{' '})
	if len(w) != 4 || len(w[0]) == 0 {
		return Response{}, errShape
	}
	a := Response{ID: string(w[0])}
	word := string(w[1])
	code, ok := ends[word]
	if !ok {
		return a, fmt.Errorf("unknown word %.40q", word)
	}
	a.Result, a.IsProbeReply, a.NotModified = code, word == "green" || word == "red", word == "still_good"
	n, err := strconv.ParseUint(string(w[3]), 10, 32)
	if err != nil || n > MaxObjectBytes {
		return a, fmt.Errorf("bad length %.40q", w[3])
	}
	a.BodyBytes = int(n)
	if string(w[2]) != "-" {
		for pair := range strings.SplitSeq(string(w[2]), ",") {
			name, value, _ := strings.Cut(pair, "=")
			dating(name, value, &a.AttemptEnd)
			switch name {
			case "digest":
				a.ETag = value
			case "remark":
				a.Detail = remarks[value]
			case "report":
				a.LoadReport = readings(value)
			}
		}
	}
	// A write's answer has neither digest nor date: what was served is completed with or without them.
	if a.NotModified && a.BodyBytes > 0 {
		return a, errors.New("bytes with the word that there are none")
	}
	return a, nil
}

func readings(text string) []routing.LoadMetric {
	var out []routing.LoadMetric
	for pair := range strings.SplitSeq(text, ";") {
		name, value, _ := strings.Cut(pair, ":")
		if x, err := strconv.ParseFloat(value, 64); err == nil && !math.IsNaN(x) && !math.IsInf(x, 0) {
			out = append(out, routing.LoadMetric{Name: wirenames.LoadMetric(name), Value: x})
		}
	}
	return out
}
