package telemetry

import "fmt"

// Metrics of requests. At any time, requests received = answered + cancelled + open, summed over the labels.
var (
	RequestsReceived = newCounterVec[Class]("requests_received_total", "class",
		"Requests that clients sent, by request class.")
	RequestsOpen = newGauge("requests_open",
		"Requests that have neither a final response nor been cancelled.")
	RequestsAnswered = newCounterVec3[Class, fmt.Stringer, fmt.Stringer]("requests_answered_total",
		"class", "result", "reason",
		"Final responses to requests, by request class, result and the reason for the result.")
	RequestsCancelled = newCounterVec2[Class, fmt.Stringer]("requests_cancelled_total", "class", "reason",
		"Requests whose client stopped waiting before their final response.")
	ResponsesAfterDeadline = newCounter("responses_after_deadline_total",
		"Final responses that were written to the socket after the request's deadline.")
	ResponsesDropped = newCounter("responses_dropped_total",
		"Responses with a large body that their client could not have taken in time, and that failed instead.")
	MaxResponseDelay = newMaximum("response_delay_max_seconds",
		"Longest time after a request's deadline at which its response was written to the socket.")
)

// Metrics of connections.
var (
	ConnectionsOpened = newCounterVec[Side]("connections_opened_total", "side",
		"Connections that were accepted, or that were dialled whether or not that succeeded.")
	ConnectionsOpen = newGaugeVec[Side]("connections_open", "side",
		"Connections that have not been closed, including those that are being dialled.")
	ConnectionsClosed = newCounterVec2[Side, fmt.Stringer]("connections_closed_total", "side", "reason",
		"Connections that ended, by the reason that their log line has.")
	// RequestsTakenByClose includes those whose client closed or reset the connection.
	RequestsTakenByClose = newCounterVec[fmt.Stringer]("connection_requests_unanswered_total", "reason",
		"Requests without a complete response as their client's connection ended, by the reason of the end.")
	ConnectionsRejected = newCounterVec[Side]("connections_rejected_total", "side",
		"Connections that were closed at once because too many were open.")
	BytesReceived = newCounterVec[Side]("connection_received_bytes_total", "side",
		"Bytes received on connections that have been closed.")
	BytesSent = newCounterVec[Side]("connection_sent_bytes_total", "side",
		"Bytes sent on connections that have been closed.")
)

// Metrics of the event loop, attempts and address selection.
var (
	Panics = newCounter("panics_total",
		"Panics that were recovered.")
	MaxTimerDelay = newMaximum("dispatch_timer_delay_max_seconds",
		"Longest time after its due time at which a timer of the dispatch loop fired.")
	TimersPending = newGauge("dispatch_timers_pending",
		"Timers of the dispatch loop that have not fired, as of the last second.")
	// AttemptsSent includes attempts that could not be sent because no connection could be opened.
	AttemptsSent = newCounterVec[Class]("upstream_attempts_total", "class",
		"Attempts that were started before their deadline.")
	AttemptsEnded = newCounterVec2[Class, fmt.Stringer]("upstream_attempts_ended_total", "class", "result",
		"Attempts that ended, by result, including those that could not be sent.")
	LateResponses = newCounter("upstream_late_responses_total",
		"Responses of endpoints to attempts that were cancelled or are unknown.")
	AttemptsStalled = newCounter("upstream_attempts_stalled_total",
		"Attempts whose connection was silent while the endpoint answered over another address.")
	ConnectionsSilent = newCounter("upstream_connections_silent_total",
		"Times that a connection received no data while an attempt waited for a response on it.")
	// ConnectionsUnwritable has the label answered if all attempts on the connection ended, silent if a cancelled one
	// was pending and no input arrived in time, and failed if the endpoint closed it or violated the protocol.
	ConnectionsUnwritable = newCounterVec[fmt.Stringer]("upstream_unwritable_connections_total", "end",
		"Connections that ended after their endpoint had stopped reading: answered, silent or failed.")
	AddressProbes = newCounter("upstream_address_probes_total",
		"Connections that were opened to probe an address of an endpoint.")
	RetryBudgetChanges = newCounter("retry_budget_changes_total",
		"Retry budgets that became exhausted or available again.")
	RetryBudgetsExhausted = newCounter("retry_budgets_exhausted_total",
		"Retry budgets that became exhausted.")
	DiscoveryEventsRepeated = newCounter("discovery_events_repeated_total",
		"Events of the discovery service that had been applied before and were ignored.")
)

// Metrics of the configuration and of the admin socket.
var (
	Reloads = newCounter("configuration_reloads_total",
		"Reloads of the configuration that took effect.")
	ReloadsFailed = newCounter("configuration_reload_failures_total",
		"Reloads of the configuration that failed, so that the previous configuration remains in use.")
	AdminConnectionsRejected = newCounter("admin_connections_rejected_total",
		"Connections to the admin socket that were closed because too many were open.")
	AdminUsersRefused = newCounter("admin_users_refused_total",
		"Connections to the admin socket from users that are not allowed.")
	AdminRequests = newCounterVec[AdminRequest]("admin_requests_total", "request",
		"Requests on the admin socket.")
)

// Metrics of the membership of routers.
var (
	PeerStateChanges = newCounterVec[fmt.Stringer]("peer_state_changes_total", "state",
		"Changes of a peer's state, by the new state.")
	PartitionStateChanges = newCounterVec[fmt.Stringer]("partition_state_changes_total", "state",
		"Changes of the partition state, by the new state.")
	// PeerDoubts counts changes of doubt levels. A doubt level is the degree to which an endpoint's health is doubted,
	// from 0 to 1 (observation.Doubt).
	PeerDoubts = newCounter("endpoint_doubts_total",
		"Changes of the doubt level of an endpoint that were caused by observations of peers.")
	PeerDoubtsDropped = newCounter("endpoint_doubts_dropped_total",
		"Changes of the doubt level of endpoints that were dropped because the dispatch queue was full.")
	PeerAttemptsDropped = newCounter("peer_attempt_results_dropped_total",
		"Results of attempts that were dropped because too many waited for the membership loop.")
	PeerQueueFull = newCounter("peer_datagrams_queue_full_total",
		"Received datagrams that were dropped because too many waited for the membership loop.")
	PeerReceiveLimited = newCounter("peer_datagrams_receive_limited_total",
		"Received datagrams that were dropped for their size or by the rate limit.")
	PeerSendLimited = newCounter("peer_datagrams_send_limited_total",
		"Datagrams that were not sent because of the rate limit.")
	PeerDatagramsRefused = newCounterVec[fmt.Stringer]("peer_datagrams_refused_total", "reason",
		"Received datagrams that were refused.")
	PeerRecordsRefused = newCounter("peer_records_refused_total",
		"Records in accepted datagrams that were ignored because they are unverifiable or of unknown members.")
	PeerOwnObservations = newCounter("peer_observations_sent_total",
		"Own observations of endpoints that were queued for the peers.")
	PeerNameConflicts = newCounter("peer_name_conflicts_total",
		"Times that a newer process with this router's name was detected, after which this one sends nothing.")
)

// Metrics of an edge cache.
var (
	CacheRequests = newCounterVec[Class]("cache_requests_total", "class",
		"Requests that the edge cache admitted.")
	CacheResponses = newCounterVec3[Class, fmt.Stringer, fmt.Stringer]("cache_responses_total",
		"class", "result", "detail",
		"Responses of the edge cache, by request class, result and how the copy was found.")
	CacheResponseBytes = newCounterVec[fmt.Stringer]("cache_response_bytes_total", "detail",
		"Bytes of the bodies of responses, by how the copy was found.")
	CacheRequestsRejected = newCounter("cache_requests_rejected_total",
		"Requests that were rejected because their connection had too many open requests or their id was in use.")
	CacheUnknownClass = newCounter("cache_unknown_class_requests_total",
		"Requests of a class that the configuration does not have.")
	CacheOverloaded = newCounter("cache_overloads_total",
		"Requests that the capacity model rejected.")
	CacheRequestsExecuted = newCounter("cache_requests_executed_total",
		"Requests of classes that are not cached and that the origin executed.")
	CacheRequestsCancelled = newCounter("cache_requests_cancelled_total",
		"Requests that were cancelled before their response was sent.")
	CacheCopiesConfirmed = newCounter("cache_copies_confirmed_total",
		"Copies that their source confirmed to be current.")
	CacheFetches = newCounter("cache_fetches_total",
		"Fetches of chunks from a source.")
	CacheFetchedBytes = newCounter("cache_fetched_bytes_total",
		"Bytes of the bodies that were fetched.")
	CacheDiscoveryRestarts = newCounter("cache_discovery_restarts_total",
		"Times that the revisions of the discovery service restarted.")
	CachePurges = newCounter("cache_purges_total",
		"Purges that were applied.")
)

// Metrics of a disk cache.
var (
	DiskFaults = newCounterVec[fmt.Stringer]("disk_faults_total", "reason",
		"Faults of the disk or of files, by the reason that their log line has.")
	DiskReadQueueFull = newCounter("disk_read_queue_full_total",
		"Reads that became misses because too many waited.")
	DiskReadsInvalidated = newCounter("disk_reads_invalidated_total",
		"Reads that found a copy which a purge invalidates.")
	DiskReadsServed = newCounter("disk_reads_served_total",
		"Reads that found a copy which may be served.")
	DiskReadsSlow = newCounter("disk_reads_slow_total",
		"Reads that became misses because the disk took too long.")
	DiskOffersDeclined = newCounter("disk_offers_declined_total",
		"Chunks that the eviction policy did not admit.")
	DiskOfferQueueFull = newCounter("disk_offer_queue_full_total",
		"Chunks that were not stored because too many waited to be written.")
	DiskSyncsFailed = newCounter("disk_sync_failures_total",
		"Syncs to the disk that failed.")
	DiskWritesFailed = newCounter("disk_write_failures_total",
		"Writes of chunks that failed.")
	DiskChunksWritten = newCounter("disk_chunks_written_total",
		"Chunks that were written.")
	DiskBytesWritten = newCounter("disk_written_bytes_total",
		"Bytes of the bodies of chunks that were written.")
	DiskSnapshots = newCounter("disk_snapshots_total",
		"Index snapshots that were written.")
	DiskBytesFreed = newCounter("disk_compaction_freed_bytes_total",
		"Bytes of disk that compaction freed.")
	DiskCompactionsFailed = newCounter("disk_compaction_failures_total",
		"Compactions that failed.")
	DiskSegmentsCompacted = newCounter("disk_segments_compacted_total",
		"Segments that compaction removed.")
)

// Metrics whose values are read at the time of the dump.
var (
	ProcessDescriptors = newGauge("process_open_descriptors",
		"File descriptors that the process has open.")
	ProcessGoroutines = newGauge("process_goroutines",
		"Goroutines of the process.")
	ProcessHeapBytes = newGauge("process_heap_bytes",
		"Bytes of the heap that are in use after a garbage collection.")
)
