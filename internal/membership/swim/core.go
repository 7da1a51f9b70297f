package swim

import "math/rand/v2"

// Core is the membership view of one router. Its methods belong to one goroutine.
type Core struct {
	config Config
	self   MemberID
	random *rand.Rand

	members   []member
	startedAt float64
	lastTick  float64
	dueTick   float64 // when the last tick asked to be called again
	suspects  []MemberID

	prober     prober
	roundTrips roundTrips
	gossip     gossipQueue
	pushPull   pushPullSchedule

	health       healthScore
	selfAccusers []selfAccusation
	refutedAt    float64

	viewHash      uint64
	viewChangedAt float64
	present       int // members present, this one among them
	left          int // members of the roster, other than this one, that left
	removed       int // members no longer in the roster
	stuck         int

	refutedTotal   float64 // refuted accusations of all, decayed
	refutedTotalAt float64

	adoptedIncarnation bool // of an earlier start; at most once
	conflicted         bool // another process has our name
	leaving            bool

	actions []Action
}

// member is what is held of one: about 140 bytes, its signed record of some 150 bytes, and a suspicion while there
// is one.
type member struct {
	record     MemberRecord
	state      State
	since      float64 // of the state
	suspicion  *suspicion
	viewHash   uint64  // last heard from it
	heardAt    float64 // when a view hash was heard; 0: never
	reputation reputation
	removed    bool // no longer in the roster
	nameHash   uint64
}

// New makes the view of the member self of a roster, which is given by the hashes of its names (NameHash).
// startMillis is the member's incarnation, instanceID a number that no other start has, now the time in seconds on
// any monotonic clock.
func New(
	config Config, self MemberID, roster []uint64, seed, startMillis, instanceID uint64, now float64,
) *Core {
	if config.ProbeIntervalSeconds == 0 {
		config.ProbeIntervalSeconds = defaultProbeInterval
	}
	c := &Core{
		config:    config,
		self:      self,
		random:    rand.New(rand.NewPCG(seed, uint64(self)+1)),
		startedAt: now,
		lastTick:  now,
		dueTick:   now,
		refutedAt: now - refuteInterval*config.ProbeIntervalSeconds,
		prober:    prober{nextAt: now},
		pushPull:  pushPullSchedule{nextAt: now},
		gossip:    gossipQueue{newest: map[gossipSubject]*queuedGossip{}},
	}
	c.prober.lastNonce = c.random.Uint64()
	c.Grow(roster)
	c.pushPull.cursor = c.random.IntN(len(roster))
	m := &c.members[self]
	m.record = MemberRecord{
		Member:      self,
		Incarnation: Incarnation{StartMillis: startMillis},
		InstanceID:  instanceID,
		State:       Alive,
	}
	m.state, m.since = Alive, now
	c.viewHash, c.present = m.nameHash, 1
	return c
}

// Grow takes a longer roster; the members that were in it keep their places.
func (c *Core) Grow(roster []uint64) {
	for i := len(c.members); i < len(roster); i++ {
		c.members = append(c.members, member{record: MemberRecord{Member: MemberID(i)}, nameHash: roster[i]})
	}
}

// SetRemoved takes a member out of the roster, or back into it.
func (c *Core) SetRemoved(now float64, id MemberID, removed bool) []Action {
	m := &c.members[id]
	if m.removed == removed || id == c.self {
		return c.takeActions()
	}
	if removed {
		c.endSuspicion(id)
		c.setState(now, id, Unknown, ReasonNotInRoster)
	}
	m.removed = removed
	c.removed += boolToInt(removed) - boolToInt(!removed)
	return c.takeActions()
}

// Preload takes records as known from before, without passing them on: the view of a cluster that has run for long.
func (c *Core) Preload(now float64, records []MemberRecord) []Action {
	for _, record := range records {
		if record.Member != c.self {
			c.members[record.Member].record = record
			c.setState(now, record.Member, record.State, ReasonPreloaded)
		}
	}
	return c.takeActions()
}

// Tick does what is due at a time. It is to be called at NextDeadline; it may be called earlier.
func (c *Core) Tick(now float64) []Action {
	if c.conflicted {
		c.lastTick = now
		return c.takeActions()
	}
	c.detectPause(now)
	c.checkProbeDeadlines(now)
	c.checkSuspicions(now)
	c.probeNext(now)
	c.probeSuspects(now)
	if now >= c.pushPull.nextAt {
		c.startPushPull(now)
	}
	c.lastTick = now
	c.dueTick = c.NextDeadline()
	return c.takeActions()
}

// conflictedTickSeconds is the time between two ticks of a member that a name conflict has silenced.
const conflictedTickSeconds = 1.0

// NextDeadline is when the next tick is due, in seconds.
//
// It guards against a member that a name conflict has silenced and that wakes all the time, for deadlines that have
// passed and that nothing moves.
func (c *Core) NextDeadline() float64 {
	if c.conflicted {
		return c.lastTick + conflictedTickSeconds
	}
	next := min(c.prober.nextAt, c.pushPull.nextAt)
	if len(c.prober.suspectQueue) > 0 {
		next = min(next, c.prober.nextSuspectsAt)
	}
	for i := range c.prober.probes {
		next = min(next, c.prober.probes[i].deadline)
	}
	return max(next, c.lastTick)
}

// setState is the only place where a member's state changes.
func (c *Core) setState(now float64, id MemberID, to State, reason Reason) {
	m := &c.members[id]
	if m.state == to {
		return
	}
	change := StateChange{Member: id, From: m.state, To: to, Reason: reason, Incarnation: m.record.Incarnation}
	if m.suspicion != nil && to == Failed {
		change.SuspectedSeconds = now - m.suspicion.startedAt
	}
	if m.state.Present() != to.Present() {
		c.viewHash ^= m.nameHash
		c.viewChangedAt = now
		c.present += boolToInt(to.Present()) - boolToInt(m.state.Present())
	}
	if id != c.self && !m.removed {
		c.left += boolToInt(to == Left) - boolToInt(m.state == Left)
	}
	c.stuck += boolToInt(to == Stuck) - boolToInt(m.state == Stuck)
	m.state, m.since = to, now
	c.actions = append(c.actions, change)
}

// send adds gossip to a message and queues it as an action.
func (c *Core) send(to MemberID, m Message) {
	c.piggyback(to, &m)
	c.actions = append(c.actions, Send{To: to, Message: m})
}

func (c *Core) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// size is the number of members present, as far as timeouts depend on it.
func (c *Core) size() float64 { return float64(max(c.present, 2)) }

func (c *Core) inRoster(id MemberID) bool { return int(id) < len(c.members) }

func (c *Core) shuffle(list []MemberID) {
	c.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
