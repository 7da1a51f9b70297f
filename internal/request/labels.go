package request

import "cairnfront/routing"

// ResultLabel is the result of an attempt as a counter label.
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

// DetailLabel is the detail of a cache's response as a counter label: how the copy was found.
type DetailLabel routing.ResultDetail

// noDetailLabel is the label of details that caches do not send and only the simulator uses.
const noDetailLabel = "none"

var detailLabels = map[DetailLabel]string{
	DetailLabel(routing.CacheHit):   "cache_hit",
	DetailLabel(routing.Filled):     "filled",
	DetailLabel(routing.JoinedFill): "joined_fill",
	DetailLabel(routing.StaleHit):   "stale_hit",
}

// String returns the label's value.
func (d DetailLabel) String() string {
	if label, ok := detailLabels[d]; ok {
		return label
	}
	return noDetailLabel
}
