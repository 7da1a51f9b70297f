package cacheproto

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"cairnfront/internal/request"
	"cairnfront/internal/wirenames"
	"cairnfront/routing"
)

// Response is a line from a cache as parsed by a router: the end of an attempt or the reply to a probe. A body of
// BodyBytes and LineEnd follow it.
type Response struct {
	ID           string
	IsProbeReply bool
	request.AttemptEnd
	BodyBytes int
}

const responseWords = 4

// ParseResponse parses a line, without its line ending, as received by a router. Its errors wrap ErrMalformed.
func ParseResponse(line []byte) (Response, error) {
	words := strings.Split(string(line), " ")
	if len(words) != responseWords || words[0] == "" {
		return Response{}, fmt.Errorf("%w: response is not of the form ID WORD FIELDS LENGTH", ErrMalformed)
	}
	response := Response{ID: words[0]}
	word := words[1]
	result, ok := results[word]
	if !ok {
		return response, fmt.Errorf("%w: unknown word %.40q", ErrMalformed, word)
	}
	response.Result = result
	response.IsProbeReply = word == wordHealthy || word == wordUnhealthy
	response.NotModified = word == wordNotModified
	var err error
	if response.BodyBytes, err = parseBodyBytes(words[3], MaxObjectBytes); err != nil {
		return response, err
	}
	response.parseFields(words[2])
	if response.NotModified && response.BodyBytes > 0 {
		return response, fmt.Errorf("%w: %s with a body of %d bytes", ErrMalformed, word, response.BodyBytes)
	}
	return response, nil
}

// parseFields parses the known fields and ignores invalid ones. None is required: the response to a write has neither
// ETag nor origin time.
func (r *Response) parseFields(text string) {
	if text == noFields {
		return
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(pair, "=")
		switch name {
		case fieldETag:
			r.ETag = value
		case fieldOriginTime:
			// An invalid time does not make the response invalid.
			r.OriginUnixMillis, _ = strconv.ParseInt(value, 10, 64)
		case fieldPurgeGroup:
			if group, err := strconv.ParseUint(value, 10, 16); err == nil {
				r.PurgeGroupPlusOne = int(group) + 1
			}
		case fieldDetail:
			r.Detail = details[value]
		case fieldLoadReport:
			r.LoadReport = parseLoadReport(value)
		}
	}
}

// parseLoadReport parses name:value pairs separated by semicolons. Pairs whose value is no finite number are ignored.
func parseLoadReport(text string) []routing.LoadMetric {
	var metrics []routing.LoadMetric
	for pair := range strings.SplitSeq(text, ";") {
		name, valueText, _ := strings.Cut(pair, ":")
		value, err := strconv.ParseFloat(valueText, 64)
		if err != nil || math.IsNaN(value) || math.IsInf(value, 0) {
			continue
		}
		metrics = append(metrics, routing.LoadMetric{Name: string(wirenames.LoadMetric(name)), Value: value})
	}
	return metrics
}

// AttemptReply is the end of an attempt as sent by a cache.
type AttemptReply struct {
	Result           routing.AttemptResult
	Detail           routing.ResultDetail
	NotModified      bool
	ETag             string
	OriginUnixMillis int64 // Unix time in milliseconds at which the origin served the copy; 0 if unknown
	PurgeGroup       int   // UnknownPurgeGroup if not known
	BodyBytes        int
}

// AppendAttemptReply appends the line of a reply. The caller must append its body and LineEnd.
func AppendAttemptReply(b []byte, id string, reply AttemptReply) []byte {
	word := resultWords[reply.Result]
	if reply.NotModified {
		word = wordNotModified
	}
	b = append(b, id...)
	b = append(b, ' ')
	b = append(b, word...)
	b = append(b, ' ')
	w := fieldWriter{line: b, start: len(b)}
	if reply.Result == routing.Completed {
		w.copyFields(reply)
	}
	return w.end(reply.BodyBytes)
}

// copyFields writes the fields that describe the copy from which the reply was served.
func (w *fieldWriter) copyFields(reply AttemptReply) {
	if reply.ETag != "" {
		w.text(fieldETag, reply.ETag)
	}
	if reply.OriginUnixMillis > 0 {
		w.integer(fieldOriginTime, reply.OriginUnixMillis)
		if reply.PurgeGroup != UnknownPurgeGroup {
			w.integer(fieldPurgeGroup, int64(reply.PurgeGroup))
		}
	}
	if mark, ok := detailMarks[reply.Detail]; ok {
		w.text(fieldDetail, mark)
	}
}

// LoadReport is the text of a load report: name:value pairs, or empty.
type LoadReport string

// utilizationDecimals is the number of decimals of the utilization in a load report.
const utilizationDecimals = 3

// NewLoadReport returns the report of a cache with inFlight requests in progress. The utilization of its cores is
// between 0 and 1.
func NewLoadReport(inFlight int, utilization float64) LoadReport {
	return LoadReport(string(wirenames.LoadInFlight) + ":" + strconv.Itoa(inFlight) + ";" +
		string(wirenames.LoadUtilization) + ":" + strconv.FormatFloat(utilization, 'f', utilizationDecimals, 64))
}

// AppendProbeReply appends the reply to a probe, with the load report unless it is empty.
func AppendProbeReply(b []byte, id string, healthy bool, loadReport LoadReport) []byte {
	word := wordUnhealthy
	if healthy {
		word = wordHealthy
	}
	b = append(b, id...)
	b = append(b, ' ')
	b = append(b, word...)
	b = append(b, ' ')
	w := fieldWriter{line: b, start: len(b)}
	if loadReport != "" {
		w.text(fieldLoadReport, string(loadReport))
	}
	return w.end(0)
}
