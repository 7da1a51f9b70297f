package swim

import "math/rand/v2"

// Core is the membership view of one router. It is not safe for concurrent use.
type Core struct {
	config Config
	self   MemberID
	random *rand.Rand

	members     []member
	startedAt   float64
	lastTick    float64
	nextTickDue float64 // deadline that the last tick requested for the next one
	suspects    []MemberID

	prober     prober
	roundTrips roundTrips
	gossip     gossipQueue
	pushPull   pushPullSchedule

	health       healthScore
	selfAccusers []selfAccusation
	refutedAt    float64

	viewHash      uint64
	viewChangedAt float64
	present       int // number of present members, including this one
	left          int // number of other roster members that left
	removed       int // number of members removed from the roster
	stuck         int

	refutedTotal   float64 // decayed count of refuted accusations by all members
	refutedTotalAt float64

	adoptedIncarnation bool // an incarnation of an earlier start was adopted; happens at most once
	hasNameConflict    bool // another process uses this member's name
	leaving            bool

	actions []Action
}

// member is the state of one roster member. It takes about 140 bytes, plus about 150 bytes for the signed record,
// plus the suspicion if there is one.
type member struct {
	record             MemberRecord
	state              State
	since              float64 // time of the last state change
	suspicion          *suspicion
	viewHash           uint64  // view hash that the member sent last
	viewHashReceivedAt float64 // time at which viewHash was received; 0 if never
	reputation         reputation
	removed            bool // the member was removed from the roster
	nameHash           uint64
}

// New returns the membership view of the member self. The roster is a list of name hashes (see NameHash). startMillis
// is the start time in the member's incarnation, instanceID is a number unique to this start, and now is the time in
// seconds on any monotonic clock.
func New(
	config Config, self MemberID, roster []uint64, seed, startMillis, instanceID uint64, now float64,
) *Core {
	if config.ProbeIntervalSeconds == 0 {
		config.ProbeIntervalSeconds = defaultProbeInterval
	}
	c := &Core{
		config:      config,
		self:        self,
		random:      rand.New(rand.NewPCG(seed, uint64(self)+1)),
		startedAt:   now,
		lastTick:    now,
		nextTickDue: now,
		refutedAt:   now - refuteInterval*config.ProbeIntervalSeconds,
		prober:      prober{nextAt: now},
		pushPull:    pushPullSchedule{nextAt: now},
		gossip:      gossipQueue{newest: map[gossipSubject]*queuedGossip{}},
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

// Grow extends the roster. The members that are already in it must have the same indexes in the longer roster.
func (c *Core) Grow(roster []uint64) {
	for i := len(c.members); i < len(roster); i++ {
		c.members = append(c.members, member{record: MemberRecord{Member: MemberID(i)}, nameHash: roster[i]})
	}
}

// SetRemoved removes a member from the roster, or adds a removed member again.
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

// Preload loads records that are already known, without gossiping them. It sets up the view of a cluster that has
// been running for a long time.
func (c *Core) Preload(now float64, records []MemberRecord) []Action {
	for _, record := range records {
		if record.Member != c.self {
			c.members[record.Member].record = record
			c.setState(now, record.Member, record.State, ReasonPreloaded)
		}
	}
	return c.takeActions()
}

// Tick executes all work that is due at time now. Callers must call it at NextDeadline and may call it earlier.
func (c *Core) Tick(now float64) []Action {
	if c.hasNameConflict {
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
	c.nextTickDue = c.NextDeadline()
	return c.takeActions()
}

// nameConflictTickSeconds is the time between two ticks of a member that stopped sending because of a name conflict.
const nameConflictTickSeconds = 1.0

// NextDeadline returns the time in seconds at which the next tick is due.
//
// It guards against a busy loop in a member that is silenced by a name conflict: its deadlines have passed, and
// nothing moves them any more.
func (c *Core) NextDeadline() float64 {
	if c.hasNameConflict {
		return c.lastTick + nameConflictTickSeconds
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

// setState changes a member's state. All state changes go through it.
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

// send adds gossip to a message and appends a Send action for it.
func (c *Core) send(to MemberID, m Message) {
	c.piggyback(to, &m)
	c.actions = append(c.actions, Send{To: to, Message: m})
}

func (c *Core) takeActions() []Action {
	actions := c.actions
	c.actions = nil
	return actions
}

// size returns the number of present members, but at least 2, for the calculation of timeouts.
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
