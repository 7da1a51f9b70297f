package report

import (
	"fmt"
	"strconv"
	"strings"
)

// Names of scenarios and simulations in JSON reports that differ from their names in text and HTML.
const (
	ScenarioDiskAdmission         = "disk-admit"
	ScenarioHealthObservations    = "rumours"
	ScenarioMembership            = "peers"
	ScenarioMembershipCost        = "peers-cost"
	ScenarioOriginBrownout        = "brownout"
	ScenarioPartialObservation    = "thin-views"
	ScenarioMembershipSimulation  = "sim-peers"
	ScenarioReplicationSimulation = "sim-ledger"

	// SizeOneScript is the size of a simulation that runs one script twice.
	SizeOneScript = "one script, played twice"
)

// Keys of counts in the JSON report. They are the same as in reports of earlier versions, so a key stays when its term
// is renamed; text and HTML show the label instead. Key appends suffixes to keys.
const (
	Requests               = "txns"
	Completed              = "completed"
	Rejected               = "rejected" // also a figure: the share of requests rejected
	Aborted                = "aborted"
	Attempts               = "hops"
	AttemptsSeen           = "hops_seen"
	AttemptsUnresponsive   = "hung_hops"
	AttemptsReset          = "resets"
	AttemptsOverlapping    = "overlapping_hops"
	ConnectionsUnanswered  = "hung_connects"
	NonIdempotentRepeats   = "order_repeats"
	OrdersExecuted         = "orders_run"
	Pairs                  = "pairs"
	Purges                 = "purges"
	ChunksChecked          = "parts_checked"
	ChunksCorrupt          = "wrong_bytes"
	StaleAfterPurge        = "stale_after_purge"
	Restarts               = "restarts"
	DiskChunks             = "disk_parts"
	DiskChunksInvalidated  = "disk_parts_voided"
	DiskBadRecords         = "disk_bad_records"
	PowerLosses            = "power_cuts"
	PowerLossChunksChecked = "cut_parts_checked"
	PowerLossChunksValid   = "cut_parts_whole"
	PowerLossPurges        = "cut_purges"
	PowerLossViolations    = "cut_wrong"
	ChunkRequests          = "requests"
	DistinctChunks         = "parts"
	Peers                  = "peers"
	PeersPresent           = "there"
	Processes              = "processes"
	HostilePeers           = "hostile"
	LinkCuts               = "cuts"
	Kills                  = "kills"
	Pauses                 = "pauses"
	Panics                 = "panics"
	ForgeriesAccepted      = "forged_taken"
	HealthyPeersFailed     = "wrongly_dropped"
	EndpointsUnused        = "members_dropped"
	HostileAccusations     = "hostile_charges"
	HostileObservations    = "hostile_slanders"
	HostileForgeries       = "hostile_forgeries"
	HostileReplays         = "hostile_replays"
	HostileFalseAcks       = "hostile_false_answers"
	HostileFlood           = "hostile_flood"
	Runs                   = "plays"
	RunsWithFalseFailures  = "plays_wrong"
	FalseFailures          = "wrong" // also a figure, by group size and loss
	FalseFailuresPublished = "wrong_swim"
	Suspicions             = "suspicions" // also a figure
	Resurrected            = "resurrected"
	MaxQueueLength         = "most_queued"
	ReservationRequests    = "claims"
	Reads                  = "reads"
	Answered               = "answered"
	MachinesLost           = "machines_lost_with_disk"
	ConfChanges            = "changes_of_holders"
	ReservationsLost       = "promises_lost"
	ConflictingGrants      = "second_grants"
	NotLinearizable        = "not_linear"
)

// Keys of figures in the JSON report.
const (
	Elapsed              = "took_s"
	CPUPerRequest        = "cpu_us_a_txn"
	CPURatio             = "cpu_several_over_single"
	ResidentMemory       = "rss_mb"
	AddressRecovery      = "healed_s"
	LatencyP50           = "p50_ms"
	LatencyP99           = "p99_ms"
	SlowestAtFirst       = "slowest_at_first_ms"
	OnTimeShare          = "in_time"
	OrderingMargin       = "order_told_ms"
	PairsHealthy         = "pairs_good_ms"
	PairsUnresponsive    = "pairs_hung_ms"
	PairsRatio           = "pairs_ratio"
	CompletedShare       = "completed_share"
	LocalByteShare       = "from_own_boxes"
	AttemptsPerRequest   = "hops_a_txn"
	AttemptsPerSecond    = "hops_a_s"
	LocalShareBefore     = "hit_before"
	LocalShareWithDisk   = "hit_disk"
	LocalShareEmptied    = "hit_empty"
	MeasuredWindow       = "window_s"
	Recovery             = "recovery_s"
	IndexBytesPerChunk   = "index_bytes_a_part"
	Efficiency           = "efficiency"
	FilledShare          = "filled"
	PassedShare          = "passed"
	XLRUDiskRatio        = "xlru_disk_for_the_same"
	FailingCacheAttempts = "bad_hops"
	StoredFillShare      = "fills_kept"
	ManyOverFewRouters   = "after_300_over_3"
	CoresWithPeers       = "cores_with"
	CoresWithoutPeers    = "cores_without"
	MemoryWithPeers      = "mb_with"
	MemoryWithoutPeers   = "mb_without"
	BytesSent            = "bytes_s_out"
	BytesReceived        = "bytes_s_in"
	BytesPerPeer         = "bytes_s_each"
	BytesPerSecond       = "bytes_s"
	WrongPartitionState  = "standing_wrong_s"
	DetectionP50         = "detect_p50_s"
	DetectionP99         = "detect_p99_s"
	AgreementAfterCut    = "agree_after_cut_s"
	FalseFailuresPerPeer = "wrong_a_play_and_peer"
	ReservationP50       = "claim_p50_s"
	ReservationP99       = "claim_p99_s"
	LongestLeaderless    = "leaderless_most_s"
	AnsweredShare        = "answered_share"
)

// Prefixes of key suffixes that contain a number, and the digit counts of numeric suffixes.
const (
	alphaSuffix             = "alpha"
	diskSuffix              = "disk"
	lossSuffix              = "loss"
	routerCountSuffixDigits = 3
	peerCountSuffixDigits   = 4
)

// Key suffixes that identify the variant of a count or figure.
const (
	VariantNoBudget           = "none"
	VariantRetryBudget        = "budget"
	VariantAllHealthy         = "all_good"
	VariantUnresponsive       = "one_hung"
	VariantReset              = "one_reset"
	VariantClosed             = "one_shut"
	VariantTruncating         = "one_half"
	VariantFlapping           = "one_flapping"
	VariantSingle             = "single_good"
	VariantSingleUnresponsive = "single_hung"
	VariantWithoutGossip      = "without"
	VariantGossip             = "with"
	VariantFaultyGossip       = "with_liars"
	VariantTrafficBurst       = "burst"
	VariantParentZoneLost     = "hub"
	VariantLRU                = "lru"
	VariantXLRU               = "xlru"
	VariantCafe               = "tier"
	VariantPublishedSWIM      = "swim"
)

// labels are the printed names of keys.
var labels = map[string]string{
	Requests:               "requests of clients",
	Completed:              "requests of clients, completed",
	Rejected:               "requests of clients, rejected",
	Aborted:                "requests of clients, aborted",
	Attempts:               "attempts that stand-ins recorded in the variants",
	AttemptsSeen:           "attempts received by endpoints",
	AttemptsUnresponsive:   "attempts at an unresponsive address",
	AttemptsReset:          "attempts reset",
	AttemptsOverlapping:    "overlapping attempts of one request",
	ConnectionsUnanswered:  "connections to an unresponsive address",
	NonIdempotentRepeats:   "non-idempotent requests sent twice",
	OrdersExecuted:         "requests with idempotency key executed",
	Pairs:                  "alternations of a healthy and an unresponsive phase",
	ChunksChecked:          "chunks checked",
	ChunksCorrupt:          "chunks with wrong bytes",
	StaleAfterPurge:        "stale responses after a purge",
	Restarts:               "restarts of edge caches",
	DiskChunks:             "chunks on disk",
	DiskChunksInvalidated:  "chunks on disk, invalidated",
	DiskBadRecords:         "bad records on disk",
	PowerLosses:            "losses of power",
	PowerLossChunksChecked: "chunks checked after a loss of power",
	PowerLossChunksValid:   "chunks valid after a loss of power",
	PowerLossPurges:        "purges before a loss of power",
	PowerLossViolations:    "violations after a loss of power",
	ChunkRequests:          "requests for chunks",
	DistinctChunks:         "distinct chunks",
	PeersPresent:           "peers present",
	HostilePeers:           "hostile peers",
	LinkCuts:               "network partitions",
	Pauses:                 "pauses of processes",
	ForgeriesAccepted:      "forged incarnations accepted",
	HealthyPeersFailed:     "healthy peers declared failed",
	EndpointsUnused:        "intervals without requests to a healthy edge cache",
	HostileAccusations:     "hostile: accusations",
	HostileObservations:    "hostile: false endpoint observations",
	HostileForgeries:       "hostile: forged records",
	HostileReplays:         "hostile: replayed datagrams",
	HostileFalseAcks:       "hostile: false indirect acks",
	HostileFlood:           "hostile: flood datagrams",
	Runs:                   "runs",
	RunsWithFalseFailures:  "runs with false failures",
	FalseFailures:          "false failures",
	FalseFailuresPublished: "false failures of published SWIM",
	Resurrected:            "failed peers back without a higher incarnation",
	MaxQueueLength:         "longest gossip queue",
	ReservationRequests:    "reservation requests",
	MachinesLost:           "machines lost with their disk",
	ConfChanges:            "changes of shard members",
	ReservationsLost:       "reservations lost",
	ConflictingGrants:      "reservations granted to two groups",
	NotLinearizable:        "histories not linearizable",

	Elapsed:              "duration, s",
	CPUPerRequest:        "CPU time per request, µs",
	CPURatio:             "CPU time, several addresses over one",
	ResidentMemory:       "resident memory, MB",
	AddressRecovery:      "time until a recovered address is used, s",
	LatencyP50:           "latency p50, ms",
	LatencyP99:           "latency p99, ms",
	SlowestAtFirst:       "slowest request before the fault is known, ms",
	OnTimeShare:          "share within the latency objective",
	OrderingMargin:       "margin for ordering events, ms",
	PairsHealthy:         "alternating phases: p99 with all addresses healthy, ms",
	PairsUnresponsive:    "alternating phases: p99 with one unresponsive, ms",
	PairsRatio:           "alternating phases: p99, unresponsive over healthy",
	CompletedShare:       "share completed",
	LocalByteShare:       "share of bytes from the zones' edge caches",
	AttemptsPerRequest:   "attempts per request",
	AttemptsPerSecond:    "attempts per second",
	LocalShareBefore:     "share of bytes from edge caches before",
	LocalShareWithDisk:   "share of bytes from edge caches after a restart",
	LocalShareEmptied:    "share of bytes from edge caches with empty disks",
	MeasuredWindow:       "measured interval, s",
	Recovery:             "mean restart time, s",
	IndexBytesPerChunk:   "index size per chunk, bytes",
	FilledShare:          "share of bytes filled",
	PassedShare:          "share of bytes passed",
	XLRUDiskRatio:        "disk that xLRU needs for the same efficiency",
	FailingCacheAttempts: "attempts at the failing edge cache",
	StoredFillShare:      "share of fills stored",
	ManyOverFewRouters:   "share on time after the fault, 300 routers over 3",
	CoresWithPeers:       "CPU with peers, cores",
	CoresWithoutPeers:    "CPU without peers, cores",
	MemoryWithPeers:      "memory with peers, MB",
	MemoryWithoutPeers:   "memory without peers, MB",
	BytesSent:            "bytes sent per second",
	BytesReceived:        "bytes received per second",
	BytesPerPeer:         "bytes per second and peer",
	BytesPerSecond:       "bytes per second and peer",
	WrongPartitionState:  "time in a wrong partition state per router, s",
	DetectionP50:         "failure detection p50, s",
	DetectionP99:         "failure detection p99, s",
	AgreementAfterCut:    "agreement after a partition, s",
	FalseFailuresPerPeer: "false failures per run and peer",
	ReservationP50:       "reservation latency p50, s",
	ReservationP99:       "reservation latency p99, s",
	LongestLeaderless:    "longest time without a leader, s",
	AnsweredShare:        "share answered",
}

// figureLabels are the printed names of figures whose keys are also keys of counts.
var figureLabels = map[string]string{
	Rejected: "share of requests rejected",
}

// suffixLabels are the printed names of suffixes.
var suffixLabels = map[string]string{
	VariantNoBudget:           "no retry budget",
	VariantRetryBudget:        "with retry budget",
	VariantAllHealthy:         "all addresses healthy",
	VariantUnresponsive:       "one address unresponsive",
	VariantReset:              "one address resetting",
	VariantClosed:             "one address closed",
	VariantTruncating:         "one address truncating",
	VariantFlapping:           "one address flapping",
	VariantSingle:             "single address",
	VariantSingleUnresponsive: "single address unresponsive",
	VariantWithoutGossip:      "without gossip",
	VariantGossip:             "with gossip",
	VariantFaultyGossip:       "with gossip and faulty routers",
	VariantTrafficBurst:       "traffic burst",
	VariantParentZoneLost:     "parent zone lost",
	VariantLRU:                "LRU",
	VariantXLRU:               "xLRU",
	VariantCafe:               "Cafe",
	VariantPublishedSWIM:      "published SWIM",
	"calm":                    "before the fault",
	"trouble":                 "during the fault",
	"after":                   "after the fault",
	"least":                   "minimum",
	"most":                    "maximum",
	"loaded":                  "under load",
}

// Key appends suffixes to the key of a count or figure.
func Key(key string, suffixes ...string) string {
	return strings.Join(append([]string{key}, suffixes...), ".")
}

// CountLabel returns the printed name of a count's key: the label of the key itself, followed by the labels of its
// suffixes, separated by commas.
func CountLabel(key string) string {
	base, suffixes, _ := strings.Cut(key, ".")
	label, known := labels[base]
	if !known {
		label = strings.ReplaceAll(base, "_", " ")
	}
	return withSuffixLabels(label, suffixes)
}

// FigureLabel returns the printed name of a figure's key. It differs from CountLabel if the key is also the key of a
// count.
func FigureLabel(key string) string {
	base, suffixes, _ := strings.Cut(key, ".")
	if label, isOther := figureLabels[base]; isOther {
		return withSuffixLabels(label, suffixes)
	}
	return CountLabel(key)
}

// withSuffixLabels appends the labels of a key's suffixes, which are separated by dots, to the label of the key.
func withSuffixLabels(label, rest string) string {
	if rest == "" {
		return label
	}
	suffixes := strings.Split(rest, ".")
	parts := []string{label}
	for i := 0; i < len(suffixes); i++ {
		suffix := suffixes[i]
		if strings.HasPrefix(suffix, alphaSuffix) && i+1 < len(suffixes) { // the dot in alpha is a decimal point
			i++
			suffix += "." + suffixes[i]
		}
		parts = append(parts, SuffixLabel(suffix))
	}
	return strings.Join(parts, ", ")
}

// SuffixLabel returns the printed name of one suffix, for example of a variant.
func SuffixLabel(suffix string) string {
	if label, known := suffixLabels[suffix]; known {
		return label
	}
	if count, err := strconv.Atoi(suffix); err == nil {
		switch len(suffix) {
		case routerCountSuffixDigits:
			return fmt.Sprintf("%d routers", count)
		case peerCountSuffixDigits:
			return fmt.Sprintf("%d peers", count)
		}
	}
	if percent, isLoss := strings.CutPrefix(suffix, lossSuffix); isLoss {
		if loss, err := strconv.Atoi(percent); err == nil {
			return fmt.Sprintf("%d%% loss", loss)
		}
	}
	for _, prefix := range []string{alphaSuffix, diskSuffix} {
		if value, found := strings.CutPrefix(suffix, prefix); found {
			return prefix + " " + value
		}
	}
	return strings.ReplaceAll(suffix, "_", " ")
}
