package membership

import (
	"crypto/ed25519"
	"time"

	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/ratelimit"
	"cairnfront/internal/membership/swim"
)

// Limits and intervals of the node. Those of the protocol are in packages swim, partition and observation.
const (
	receiveQueueCapacity       = 1024                   // capacity of the queue of received datagrams
	attemptQueueCapacity       = 1024                   // capacity of the queue of attempt outcomes
	requestQueueCapacity       = 16                     // capacity of the queue of operator requests
	receiveBufferBytes         = 1 << 20                // large, so that a flood does not displace other datagrams
	eventLoopProbeInterval     = 500 * time.Millisecond // time between probes of the router's event loop
	eventLoopStuckAfter        = 2 * time.Second        // the event loop is stuck if a probe is unanswered for longer
	expireInterval             = time.Second            // time between checks for expired observations
	staleAnswerInterval        = time.Second            // time between answers to a member with a stale incarnation
	minTimerDelay              = time.Millisecond
	maxDetectionMillis         = 600_000 // ms, maximum value of the detection time histogram
	detectionSignificantDigits = 2       // significant digits of the detection time histogram
)

// ClockOffsetVariable names the environment variable with an offset, in seconds, that is added to the clock from
// which a router's incarnation is derived. Only the lab sets it.
const ClockOffsetVariable = "CAIRNFRONT_LAB_CLOCK_S"

// RosterEntry is a member of the roster in the configuration file.
type RosterEntry struct {
	Name    string
	Key     ed25519.PublicKey
	Address string // configured address; if empty, the address in the member's record is used
}

// Config holds the membership settings of a router.
type Config struct {
	Name, Zone        string
	Listen, Advertise string // UDP addresses; if Advertise is empty, the address of the socket is advertised
	Key               ed25519.PrivateKey
	Roster            []RosterEntry
	MaxByzantine      int
	ReceiveLimits     ratelimit.Limits
	SendLimits        ratelimit.Limits
	Seed              uint64
}

func identitiesOf(roster []RosterEntry) []datagram.Identity {
	identities := make([]datagram.Identity, len(roster))
	for i, entry := range roster {
		identities[i] = datagram.Identity{Name: entry.Name, Key: entry.Key}
	}
	return identities
}

func nameHashesOf(roster []RosterEntry) []uint64 {
	hashes := make([]uint64, len(roster))
	for i, entry := range roster {
		hashes[i] = swim.NameHash(entry.Name)
	}
	return hashes
}
