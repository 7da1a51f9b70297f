package membership

import (
	"cairnfront/internal/membership/swim"
	"cairnfront/internal/sim/faults"
)

// Encoded sizes of a datagram's parts in bytes, for the wire codec and instance names of eight letters.
const (
	headerBytes     = 118
	recordBytes     = 160
	accusationBytes = 120
	entryBytes      = 27
)

// Parameters of the simulation. Times are in seconds unless a comment states another unit.
const (
	networkLatency             = 0.0005 // one way, as on loopback or within a data center
	networkJitter              = 0.001  // maximum random addition to networkLatency
	startSpread                = 0.05   // instances start at random times within this period
	minTimer                   = 0.001
	timerResetThreshold        = 0.3               // a message resets the timer if the deadline is sooner than this
	maxPausedDatagrams         = 512               // datagrams queued for a paused process
	settleTime                 = 12.0              // failures within this time after the start are not checked
	faultGraceTime             = 4.0               // a cut or pause explains failures until this long after its end
	agreementPollInterval      = 0.05              // interval between checks for agreement
	startUnixSeconds           = 1_700_000_000     // Unix time in seconds of the start
	preloadedStartMillis       = 1_600_000_000_000 // Unix time in milliseconds at which preloaded instances started
	maxFailureDetails          = 10
	falseAccusationsPerMessage = 3 // accusations added to each message of a hostile instance
	networkRandomStream        = 7 // random number stream of the network
	instanceRandomStream       = 8 // random number stream of the instances
)

// Config configures a simulation.
type Config struct {
	Script           faults.Script
	SWIM             swim.Config
	Hostile          []int // instances that send every kind of false statement that they can sign themselves
	MeasureAgreement bool  // measure the time from the last fault until all instances agree
	Preloaded        bool  // all instances know each other from the start, as in a long-running cluster
}

// Result holds the measurements of a simulation.
type Result struct {
	Members int
	// FalseFailures counts how often an instance was declared failed while it ran, worked and could reach the observer.
	FalseFailures        int
	FalseFailureDetails  []string  // texts for the first maxFailureDetails false failures
	DetectionSeconds     []float64 // from a kill until an observer declared the instance failed; sorted
	FullDetectionSeconds []float64 // from a kill until all running observers declared the instance failed
	AgreementSeconds     float64   // from the last fault until all see exactly the running instances; -1 if never
	DatagramsPerSecond   []float64 // mean per instance, for each second
	BytesPerSecond       float64   // mean per instance after settleTime
	MaxQueueLength       int       // maximum length of any gossip queue
	Resurrected          int       // members that went from failed to present without a higher incarnation
	TraceHash            uint64    // hash of all state changes in order
	Suspicions           int
	NameConflicts        int
	FinalPresent         []int // number of present members that each running instance sees at the end
	Restarts             int
}
