package request

import "cairnfront/routing"

// ResultLabel is the result of an attempt as a label of counters.
type ResultLabel routing.AttemptResult

var resultLabels = [...]string{
	routing.Completed:        "completed",
	routing.ServerError:      "server_error",
	routing.Overloaded:       "overloaded",
	routing.TimedOut:         "timed_out",
	routing.ConnectFailed:    "connect_failed",
	routing.ConnectionBroken: "connection_broken",
	routing.Cancelled:        "cancelled",
	routing.NotSent:          "not_sent",
	routing.CacheMiss:        "cache_miss",
}

// String returns the label's value.
func (r ResultLabel) String() string { return resultLabels[r] }

// DetailLabel is the detail of a cache's response as a label of counters.
type DetailLabel routing.ResultDetail

var detailLabels = [...]string{
	routing.NoDetail:           "none",
	routing.CacheHit:           "cache_hit",
	routing.Filled:             "filled",
	routing.FilledByOrigin:     "filled_by_origin",
	routing.JoinedFill:         "joined_fill",
	routing.StaleHit:           "stale_hit",
	routing.SourceRefused:      "source_refused",
	routing.SourceUnreachable:  "source_unreachable",
	routing.SourceCacheMiss:    "source_cache_miss",
	routing.FillSlotsExhausted: "fill_slots_exhausted",
	routing.OriginFailed:       "origin_failed",
}

// String returns the label's value.
func (d DetailLabel) String() string { return detailLabels[d] }
