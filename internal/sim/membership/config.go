package membership

import (
	"cairnfront/internal/membership/swim"
	"cairnfront/internal/sim/faults"
)

// Sizes of datagrams in bytes, as measured with the wire's codec and names of eight letters.
const (
	headerBytes     = 118
	recordBytes     = 160
	accusationBytes = 120
	entryBytes      = 27
)

// Times in seconds unless a constant says otherwise.
const (
	latency            = 0.0005 // one way, on loopback or in a data center
	jitter             = 0.001
	startSpread        = 0.05 // within which the instances start
	minTimer           = 0.001
	earlyDeadline      = 0.3               // a message that asks for a tick sooner than this sets the timer anew
	pausedQueue        = 512               // datagrams that wait for a paused process
	settleTime         = 12.0              // after the start, before failures are checked
	blameTime          = 4.0               // after a cut or a pause, in which a failure that it caused may still come
	agreementPoll      = 0.05              // between checks for agreement
	epochStart         = 1_700_000_000     // Unix time of the start
	preloadedStart     = 1_600_000_000_000 // Unix time in ms, of instances that have run for long
	maxFailureDetails  = 10
	hostileAccusations = 3 // per message
	clockStream        = 7 // of random numbers, for the network
	scriptStream       = 8 // of random numbers, for the instances
)

// Config is what is simulated.
type Config struct {
	Script           faults.Script
	SWIM             swim.Config
	Hostile          []int // instances that lie in every way that their own signature allows
	MeasureAgreement bool  // measure how long it takes to agree after the last fault
	Preloaded        bool  // all know each other from the start, as in a cluster that has run for long
}

// Result is what a simulation measured.
type Result struct {
	Members int
	// FalseFailures counts failures of an instance that ran, worked and was not cut off from the observer.
	FalseFailures        int
	FalseFailureDetails  []string  // the first maxFailureDetails of them
	DetectionSeconds     []float64 // from a kill until an observer held the instance failed, for each observer; sorted
	FullDetectionSeconds []float64 // from a kill until all running observers held the instance failed
	AgreementSeconds     float64   // from the end of the last fault until all see just the running instances; -1: never
	DatagramsPerSecond   []float64 // of an instance, by the second
	BytesPerSecond       float64   // of an instance, after settleTime
	MaxQueueLength       int       // of the gossip queues
	Resurrected          int       // changes from failed to present without a higher incarnation
	TraceHash            uint64    // of all state changes in their order
	Suspicions           int
	NameConflicts        int
	FinalPresent         []int // what each running instance sees at the end
	Restarts             int
}
