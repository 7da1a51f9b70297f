package membership

import (
	"crypto/ed25519"
	"time"

	"cairnfront/internal/membership/datagram"
	"cairnfront/internal/membership/ratelimit"
	"cairnfront/internal/membership/swim"
)

// Bounds and intervals of the node. Those of the protocol are in the cores.
const (
	receiveQueue       = 1024                   // datagrams received and not yet handled
	attemptQueue       = 1024                   // ends of attempts not yet handled
	requestQueue       = 16                     // requests of operators not yet handled
	receiveBufferBytes = 1 << 20                // of the socket: a flood must not push out what other members send
	eventLoopProbeEach = 500 * time.Millisecond // between probes of the router's event loop
	eventLoopStuckAt   = 2 * time.Second        // without an answer to a probe the event loop is stuck
	expireEach         = time.Second            // between checks for expired observations
	staleAnswerEach    = time.Second            // between answers to a member that sends as of an earlier start
	minTimer           = time.Millisecond
	longestDetection   = 600_000 // ms, the bound of the histogram
	detectionDigits    = 2       // significant digits of the histogram
)

// ClockOffsetVariable names the environment variable that shifts the clock of a router's incarnation, in seconds.
// Only the lab sets it.
const ClockOffsetVariable = "CAIRNFRONT_LAB_CLOCK_S"

// RosterEntry is a member of the roster in the configuration file.
type RosterEntry struct {
	Name    string
	Key     ed25519.PublicKey
	Address string // where it is reached; empty: as its own record says
}

// Config is what an installation sets.
type Config struct {
	Name, Zone        string
	Listen, Advertise string // UDP addresses; an empty Advertise is the one listened on
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
