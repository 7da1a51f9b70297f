package simadapter

import (
	"fmt"
	"strings"

	"cairnfront/internal/wirenames"
	"cairnfront/routing"
)

// Keywords and codes of the simulator's protocol.
var (
	updateKinds = map[string]routing.UpdateKind{
		"INCREMENTAL": routing.Incremental,
		"FULL":        routing.Snapshot,
		"SAVED":       routing.Restored,
		"FAILED":      routing.Unavailable,
	}

	endpointStatuses = map[string]routing.EndpointStatus{
		"ready":    routing.Ready,
		"draining": routing.Draining,
		"gone":     routing.Removed,
	}

	attemptResults = map[string]routing.AttemptResult{
		"200": routing.Completed,
		"204": routing.CacheMiss,
		"408": routing.TimedOut,
		"409": routing.NotSent,
		"429": routing.Overloaded,
		"444": routing.Cancelled,
		"502": routing.ServerError,
		"520": routing.ConnectionBroken,
		"521": routing.ConnectFailed,
	}
)

const (
	requestFlagWrite = 4   // request flag: the request is a write
	groupPurgeObject = "0" // value of the object field in a purge of an object group
)

// parseEvent parses the fields of an event. It returns nil for event names that the routing module does not handle.
func (s *server) parseEvent(name string, f *fieldReader) routing.Event {
	switch name {
	case "ENDPOINTS":
		return s.parseEndpointUpdate(f)
	case "ACCEPT":
		return parseRequestArrived(f)
	case "REPLY":
		return parseAttemptEnded(f)
	case "TIMED_OUT_CLIENT":
		return routing.ClientDisconnected{Request: routing.RequestID(f.id())}
	case "BELL":
		return routing.TimerFired{Token: f.unsigned()}
	case "STATUS_BACK":
		return parseProbeResult(f)
	case "EXPIRED_NOW":
		return parsePurge(f)
	default:
		return nil
	}
}

func (s *server) parseEndpointUpdate(f *fieldReader) routing.Event {
	list := f.integer()
	kind, ok := updateKinds[f.text()]
	if !ok {
		f.fail("unknown kind of list")
	}
	update := routing.EndpointUpdate{Kind: kind}
	if kind == routing.Unavailable {
		return update
	}
	if update.Endpoints, ok = s.endpointLists[list]; !ok {
		f.fail("unknown list")
	}
	return update
}

func parseRequestArrived(f *fieldReader) routing.Event {
	var event routing.RequestArrived
	event.Request = routing.RequestID(f.id())
	event.Class = routing.ClassIndex(f.integer())
	f.next() // tenant
	event.Object = f.text()
	event.Deadline = f.float()
	event.SizeKB = f.float()
	event.ObjectGroup = f.integer()
	event.Chunk = f.integer()
	event.Write = f.integer()&requestFlagWrite != 0
	return event
}

func parseAttemptEnded(f *fieldReader) routing.Event {
	var event routing.AttemptEnded
	event.Request = routing.RequestID(f.id())
	event.FirstByteSeconds = f.float()
	event.Result = f.attemptResult()
	event.Detail = routing.ResultDetail(f.integer())
	event.Endpoint = routing.EndpointID(f.text())
	event.ElapsedSeconds = f.float()
	event.Attempt = f.integer()
	event.RequestDone = f.integer() == 1
	event.LoadReport = f.loadReport()
	return event
}

func parseProbeResult(f *fieldReader) routing.Event {
	var event routing.ProbeResult
	event.Endpoint = routing.EndpointID(f.id())
	event.Result = f.attemptResult()
	event.ElapsedSeconds = f.float()
	event.LoadReport = f.loadReport()
	return event
}

func parsePurge(f *fieldReader) routing.Event {
	var event routing.Purge
	event.AgeSeconds = f.float()
	event.ObjectGroup = f.integer()
	if object := f.text(); object != groupPurgeObject {
		event.Object = object
	}
	return event
}

// readEndpointList reads a numbered list of endpoints. A list in use is not modified: the new list replaces it under
// the same number.
func (s *server) readEndpointList(f *fieldReader, line []byte) error {
	list := f.integer()
	count := f.integer()
	if f.err != nil || count < 0 {
		return fmt.Errorf("%w: list %q", ErrSyntax, clip(line))
	}
	var endpoints []routing.Endpoint
	for range count {
		line, err := s.lines.nextInBatch()
		if err != nil {
			return err
		}
		endpoint, err := parseEndpoint(line)
		if err != nil {
			return err
		}
		endpoints = append(endpoints, endpoint)
	}
	s.endpointLists[list] = endpoints
	return nil
}

func parseEndpoint(line []byte) (routing.Endpoint, error) {
	f := fieldReader{rest: line}
	if string(f.next()) != "ROW" {
		return routing.Endpoint{}, fmt.Errorf("%w: expected a row of the list, found %q", ErrSyntax, clip(line))
	}
	var endpoint routing.Endpoint
	endpoint.ID = routing.EndpointID(f.id())
	endpoint.Zone = f.integer()
	endpoint.Kind = f.integer()
	endpoint.Cell = f.integer()
	endpoint.Status = f.endpointStatus()
	endpoint.Weight = f.float()
	endpoint.StartedAt = f.float()
	if f.err != nil {
		return routing.Endpoint{}, f.errorIn(line)
	}
	return endpoint, nil
}

// settings parses the remaining path=value pairs of the line into settings under the names of the routing module.
func (f *fieldReader) settings() routing.Settings {
	settings := routing.Settings{}
	for pair := f.next(); len(pair) > 0; pair = f.next() {
		path, value, _ := strings.Cut(string(pair), "=")
		name, translated := wirenames.Setting(path, value)
		settings[name] = translated
	}
	return settings
}

func (f *fieldReader) attemptResult() routing.AttemptResult {
	result, ok := attemptResults[string(f.next())]
	if !ok {
		f.fail("unknown result")
	}
	return result
}

func (f *fieldReader) endpointStatus() routing.EndpointStatus {
	status, ok := endpointStatuses[string(f.next())]
	if !ok {
		f.fail("unknown status")
	}
	return status
}

// loadReport parses name:value pairs separated by commas. Pairs without a colon are skipped; a value that is not a
// number is an error.
func (f *fieldReader) loadReport() []routing.LoadMetric {
	var metrics []routing.LoadMetric
	for pair := range strings.SplitSeq(f.text(), ",") {
		name, text, ok := strings.Cut(pair, ":")
		if !ok {
			continue
		}
		metrics = append(metrics, routing.LoadMetric{
			Name:  string(wirenames.LoadMetric(name)),
			Value: f.metricValue(text),
		})
	}
	return metrics
}
