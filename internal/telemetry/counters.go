package telemetry

import "strings"

// Counter is the name of a counter, as the dump writes it.
type Counter string

// CounterFamily is a pattern of counter names. Each word in braces, such as {class}, stands for a label.
type CounterFamily string

// With returns the counter of a family for the values of its labels, in the order in which they stand in the pattern.
func (f CounterFamily) With(labels ...string) Counter {
	var name strings.Builder
	rest := string(f)
	for _, label := range labels {
		before, after, _ := strings.Cut(rest, "{")
		_, after, _ = strings.Cut(after, "}")
		name.WriteString(before)
		name.WriteString(label)
		rest = after
	}
	name.WriteString(rest)
	return Counter(name.String())
}

// Counters of requests. At any time received = answered + cancelled + open.
const (
	RequestsReceived         Counter       = "taken"
	RequestsReceivedByClass  CounterFamily = "taken.{class}"
	RequestsOpen             Counter       = "open"
	RequestsAnswered         Counter       = "answered"
	RequestsAnsweredByCode   CounterFamily = "answered.{class}.{code}.{reason}"
	RequestsCancelled        Counter       = "left"
	RequestsCancelledByClass CounterFamily = "left.{class}.{reason}"
	ResponsesAfterDeadline   Counter       = "answers.after-limit"
	MaxResponseDelayMicros   Counter       = "answers.after-limit.most-us"
)

// Counters of connections. The side is client, member, board or asker.
const (
	ConnectionsOpened   CounterFamily = "conn.{side}.begun"
	ConnectionsOpen     CounterFamily = "conn.{side}.open"
	ConnectionsEnded    CounterFamily = "conn.{side}.ended.{code}"
	ConnectionsRejected CounterFamily = "conn.{side}.turned-away"
	BytesReceived       CounterFamily = "bytes.{side}.in"
	BytesSent           CounterFamily = "bytes.{side}.out"
)

// Counters of the event loop, attempts and address selection.
const (
	Panics                  Counter       = "panics"
	MaxTimerDelayMicros     Counter       = "loop.late.most-us"
	AttemptsSent            CounterFamily = "hops.{class}.sent"
	AttemptsEnded           CounterFamily = "hops.{class}.{result}"
	LateResponses           Counter       = "member.late-answers"
	AttemptsStalled         Counter       = "reach.stuck"
	ConnectionsSilent       Counter       = "reach.silent"
	AddressProbes           Counter       = "reach.looks"
	RetryBudgetChanges      Counter       = "spend.changes"
	RetryBudgetsExhausted   Counter       = "spend.spent"
	DiscoveryEventsRepeated Counter       = "board.had-before"
)

// Counters of the configuration and of the admin socket.
const (
	Reloads                  Counter       = "reloads"
	ReloadsFailed            Counter       = "reloads.failed"
	AdminConnectionsRejected Counter       = "hatch.turned-away"
	AdminUsersRefused        Counter       = "hatch.refused"
	AdminRequests            CounterFamily = "hatch.{request}"
)

// Counters of the membership of routers.
const (
	PeerStateChanges      CounterFamily = "peers.became.{state}"
	PartitionStateChanges CounterFamily = "peers.standing.{state}"
	PeerDoubts            Counter       = "peers.doubts"
	PeerDoubtsDropped     Counter       = "peers.doubts-untold"
	PeerAttemptsDropped   Counter       = "peers.ends-untold"
	PeerQueueFull         Counter       = "peers.in.full"
	PeerReceiveLimited    Counter       = "peers.in.over"
	PeerSendLimited       Counter       = "peers.out.over"
	PeerDatagramsRefused  CounterFamily = "peers.refused.{reason}"
	PeerPartsRefused      Counter       = "peers.refused.part"
	PeerOwnObservations   Counter       = "peers.rumours.own"
	PeerNameYielded       Counter       = "peers.yielded"
)

// Counters of an edge cache.
const (
	CacheRequests          CounterFamily = "box.txns.{class}"
	CacheResponses         CounterFamily = "box.answers.{class}.{code}{detail}"
	CacheResponseBytes     CounterFamily = "box.bytes.{detail}"
	CacheRequestsRejected  Counter       = "box.turned-away"
	CacheUnknownClass      Counter       = "box.unknown-rule"
	CacheOverloaded        Counter       = "box.overload"
	CacheRequestsExecuted  Counter       = "box.ran"
	CacheRequestsCancelled Counter       = "box.left"
	CacheCopiesConfirmed   Counter       = "box.confirmed"
	CacheFetches           Counter       = "box.fetches"
	CacheFetchedBytes      Counter       = "box.fetched-bytes"
	CacheDiscoveryRestarts Counter       = "box.board-anew"
	CachePurges            Counter       = "box.purges"
)

// Counters of a disk cache.
const (
	DiskFaults            CounterFamily = "tier.fault.{code}"
	DiskReadQueueFull     Counter       = "tier.read.queue-full"
	DiskReadsInvalidated  Counter       = "tier.read.void"
	DiskReadsServed       Counter       = "tier.read.served"
	DiskReadsSlow         Counter       = "tier.read.slow"
	DiskOffersDeclined    Counter       = "tier.offer.passed"
	DiskOfferQueueFull    Counter       = "tier.offer.queue-full"
	DiskSyncsFailed       Counter       = "tier.sync.failed"
	DiskWritesFailed      Counter       = "tier.write.failed"
	DiskChunksWritten     Counter       = "tier.write.parts"
	DiskBytesWritten      Counter       = "tier.write.bytes"
	DiskSnapshots         Counter       = "tier.snapshots"
	DiskBytesFreed        Counter       = "tier.compact.freed"
	DiskCompactionsFailed Counter       = "tier.compact.failed"
	DiskSegmentsCompacted Counter       = "tier.compact.segments"
)

// Values that are read when the counters are dumped.
const (
	ProcessDescriptors Counter = "process.descriptors"
	ProcessGoroutines  Counter = "process.goroutines"
	ProcessHeapBytes   Counter = "process.heap-bytes"
)
