package swim

// Config is what an installation sets, and what the lab sets to compare variants.
type Config struct {
	ProbeIntervalSeconds float64 // between two probes of a member; 0: defaultProbeInterval
	MaxByzantine         int     // members that may be byzantine at the same time
	// PublishedSWIM is SWIM as published, for comparison: fixed timeout, one accuser suffices, no health score.
	PublishedSWIM bool
}

// Times in seconds unless a constant says otherwise; "intervals" are probe intervals.
const (
	// Probes.
	defaultProbeInterval = 0.25 // a killed member is known to all within 3 s, at some 3 KB/s
	minAckTimeout        = 0.08 // a pause of the garbage collector or of the scheduler is shorter
	maxAckTimeout        = 2.0  // a member with a longer round trip is no help in a probe
	initialAckTimeout    = 0.15 // until a round trip time is known
	maxScaledAckTimeout  = 2.0  // with the health score: a probe must not outlast a short failure
	indirectProbes       = 3    // members asked to ping on our behalf: SWIM's k
	indirectCandidates   = 9    // drawn, of which the indirectProbes heard last are asked
	leaveFanout          = 6    // members that a leaving one tells at once
	maxProbes            = 64   // under way, and as many missed ones whose ack may still come
	absentPingEvery      = 2    // probes between pings of a member that is not present: the way back after a partition
	leftPingEvery        = 16   // probes between pings that may go to a member that left
	pauseThreshold       = 0.3  // a tick that is later means that this process was stopped: probes under way are void

	// The estimate of round trip time and loss.
	rttGain       = 1.0 / 8  // of a sample
	deviationGain = 1.0 / 4  // of a sample
	lossGain      = 1.0 / 32 // of a sample
	maxLossRate   = 0.9      // of round trips, in calculations

	// Suspicions.
	suspicionFactor          = 3.5  // intervals times log10 of the members: until a refutation reached all
	suspicionRange           = 6    // times the shortest, while nobody else suspects: Lifeguard's beta
	confirmations            = 3    // independent accusers that bring the timeout down to the shortest: Lifeguard's K
	publishedSuspicionFactor = 5    // PublishedSWIM: intervals times log2 of the members
	minFailedProbes          = 2    // own failed probes, each direct and indirect, before a member is declared failed
	maxFailedProbes          = 8    // own failed probes that suffice at any loss rate
	chanceThreshold          = 1e-3 // probability below which failed probes are no longer put down to loss
	failureFreshFor          = 1.5  // for which a failed probe may end in a failure; later the member is probed again
	suspectProbesPerInterval = 3    // more would make the failure of many members a storm
	maxSuspectProbes         = 64   // waiting
	maxAccusers              = 8    // held of a suspect

	// Our own health and refutations.
	maxHealthScore     = 8    // Lifeguard's bound on the health multiplier
	selfAccusationsFor = 5.0  // for which an accusation against us counts towards our health score
	refuteInterval     = 1.0  // intervals between two refutations: a byzantine member must not make us gossip
	adoptWithin        = 20.0 // after the start, in which the incarnation of an earlier start is adopted

	// Reputation of accusers.
	minRefuted         = 4.0  // refuted accusations before an accuser may be ignored
	refutedOverMean    = 4.0  // times the mean of all members: with loss everybody errs
	reputationHalfLife = 60.0 // of the counts

	// Gossip.
	gossipFactor          = 2 // times log2 of the members: how often a thing is passed on
	minTransmissions      = 3
	maxEchoes             = 3 // receptions of what we pass on ourselves before we stop; push-pull finds who lacks it
	maxRecords            = 5 // a message: with accusations and entries it stays under 1,400 bytes
	maxRecordsWithEntries = 3 // a message that has entries
	maxAccusations        = 3 // a message
	maxEntries            = 24

	// Push-pull.
	pushPullInterval          = 4.0  // while all views agree
	pushPullIntervalDiffering = 0.5  // while some view differs
	viewSettleFor             = 0.75 // after an own change, before a different view is worth a push-pull
	pushPullJitterMin         = 0.75 // of the interval
	pushPullJitterRange       = 0.5  // of the interval
	maxPingsPerPushPull       = 3    // of members that we hold failed and the sender holds present
)
