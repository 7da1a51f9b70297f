// Package reach decides over which address a member is reached: in which order its addresses are tried, when a second
// connection attempt begins, when an address rests, when it is looked at again and when it is used again. It does no
// I/O and has no clock: every call says when it is. What an address did is kept apart from what its member did.
//
// It never decides on a hop. A hop is written on one link, once; what is decided here is on which link a hop that is
// not written yet goes.
package address

import (
	"math"
	"net/netip"
	"slices"
	"strings"

	"cairnfront/routing"
)

const (
	keptSamples = 8     // samples kept of connect times and of waits for a first byte: few, so that a change shows soon
	staggerMost = 0.25  // s between two attempts where nothing was measured (RFC 8305, section 5: the recommended delay)
	staggerMin  = 0.01  // s at least (RFC 8305, section 5: must not be less)
	staggerOver = 4.0   // usual connect times after which the next attempt begins: one in some dozens takes longer
	quietLeast  = 0.12  // s without a byte at least before an address is suspected: under what benches a member (0.35)
	quietOver   = 4.0   // usual waits for a first byte that tell of silence
	slowerBy    = 2.0   // times the connect time of the next that moves an address behind it
	slowerLeast = 0.005 // s by which it must be slower, too: loopback times are noise
	restFirst   = 0.2   // s of a first rest
	restMost    = 5.0   // s at most for an address that can be looked at without a txn
	quietMost   = 20.0  // s at most for one that accepts and stays silent: only a txn or a probe can tell
	restTimes   = 3.0   // decorrelated jitter: a rest is drawn between the first and three times the last one
	provenAfter = 2.0   // s of answers after which the next rest is a first one again: flapping does not reset it
	recent      = 30.0  // s since a member was last used for which a second link is kept warm for it
	warmEvery   = 5.0   // s between looks that keep one warm
)

// Family orders addresses: the nearer ones first.
type Family int

// The families, in order. Of loopback and of others, IPv6 and IPv4 are interleaved (RFC 8305, section 4).
const (
	FamilyUnix Family = iota
	FamilyLoopback
	FamilyOther
)

// Addr is one address of a member: host:port with a literal IP, or unix:PATH.
type Addr string

// Network and Target are what a dialer wants.
func (a Addr) Network() string {
	if strings.HasPrefix(string(a), unixPrefix) {
		return "unix"
	}
	return "tcp"
}

// Target is the address as its network has it.
func (a Addr) Target() string { return strings.TrimPrefix(string(a), unixPrefix) }

const unixPrefix = "unix:"

// kind is an address's family, and whether it is IPv6.
func (a Addr) kind() (Family, bool) {
	if a.Network() == "unix" {
		return FamilyUnix, false
	}
	ap, err := netip.ParseAddrPort(a.Target())
	if err != nil {
		return FamilyOther, false
	}
	six := ap.Addr().Is6() && !ap.Addr().Is4In6()
	if ap.Addr().IsLoopback() {
		return FamilyLoopback, six
	}
	return FamilyOther, six
}

// Order sorts addresses by family, IPv6 and IPv4 in turns within each, and drops those that stand twice. What is
// alike keeps its order.
func SortAddrs(list []Addr) []Addr {
	var out []Addr
	for _, f := range []Family{FamilyUnix, FamilyLoopback, FamilyOther} {
		var sides [2][]Addr // IPv6 first
		for _, a := range list {
			family, six := a.kind()
			side := 1
			if six {
				side = 0
			}
			if family == f && !slices.Contains(sides[side], a) {
				sides[side] = append(sides[side], a)
			}
		}
		for i := range max(len(sides[0]), len(sides[1])) {
			for _, s := range sides {
				if i < len(s) {
					out = append(out, s[i])
				}
			}
		}
	}
	return out
}

// Why says what is held against an address.
type Condition int

// Reasons for a rest. Those from Quiet on can't be cleared by a connection alone.
const (
	Healthy Condition = iota
	Refused
	TimedOut // the attempt came to nothing in its time
	Broken   // a connection ended while txns were open on it
	Silent   // it accepted, took a txn and said nothing
	Disabled // an operator's word
)

func (w Condition) String() string {
	return [...]string{"well", "refused", "hung", "broken", "quiet", "by-hand"}[w]
}

// DialResult says how a dial of an address ended.
type DialResult int

// The results of a dial.
const (
	DialSucceeded    DialResult = iota
	DialRefused                 // refused, or failed at once in another way
	DialTimedOut                // not established in its time
	DialInconclusive            // called off, or failed for want of local resources: it says nothing of the address
)

// address is what is known of one. About 250 bytes.
type address struct {
	Addr
	why      Condition
	since    float64 // Unix s of the present state
	until    float64 // rest: not used for hops before
	rest     float64 // s, the last rest
	proven   float64 // since when it has answered without a fault, 0 for not
	looked   float64 // when a look was last begun
	looking  bool
	answered float64   // when something last came over it
	trial    bool      // a hop was let through to see whether it answers
	connects []float64 // s
	waits    []float64 // s to a first byte
}

// member is one with its addresses in order. A start of its own is another member: nothing known carries over but
// the addresses' order.
type member struct {
	id      routing.EndpointID
	started float64
	list    []*address
	used    float64 // when a connection to it was last planned
	doubt   bool    // an address fell silent: is it the member?
}

// Try is one connection attempt of a plan, After so many seconds, or at once where the one before it has failed.
type PlannedDial struct {
	Addr         Addr
	DelaySeconds float64
}

// Core is the state of all members. It is not safe for more than one goroutine.
type Selector struct {
	HealthChecksAllowed bool // the deployment allows checks

	pcg     uint64
	now     float64
	members map[routing.EndpointID]*member
	order   []routing.EndpointID // their names
	stale   bool                 // the order is not that of the members
}

// New makes an empty one.
func New(seed uint64) *Selector {
	return &Selector{pcg: seed, members: map[routing.EndpointID]*member{}}
}

// chance is the next number of a permuted congruential generator, 0 to 1.
func (c *Selector) chance() float64 {
	old := c.pcg
	c.pcg = old*6364136223846793005 + 1442695040888963407
	x := uint32((old>>18 ^ old) >> 27)
	rot := uint32(old >> 59)
	return float64(x>>rot|x<<(-rot&31)) / (1 << 32)
}

// tick moves the clock on; one that jumps back is not followed.
func (c *Selector) tick(now float64) { c.now = max(c.now, now) }

// List says which addresses a member has, in any order. What is known of those that stay is kept, unless the member has
// started again.
func (c *Selector) SetAddresses(now float64, id routing.EndpointID, started float64, list []Addr) {
	c.tick(now)
	m := c.members[id]
	if m == nil || m.started != started { // used stays unset: what nobody uses needs no second link
		m = &member{id: id, started: started}
		c.members[id], c.stale = m, true
	}
	var next []*address
	for _, a := range SortAddrs(list) {
		if x := m.find(a); x != nil {
			next = append(next, x)
		} else {
			next = append(next, &address{Addr: a, since: c.now})
		}
	}
	m.list = next
}

// Gone forgets a member.
func (c *Selector) RemoveEndpoint(id routing.EndpointID) {
	delete(c.members, id)
	c.stale = true
}

func (m *member) find(a Addr) *address {
	for _, x := range m.list {
		if x.Addr == a {
			return x
		}
	}
	return nil
}

// Several says whether a member has more than one address. What has one is never rested: its faults are its own.
func (c *Selector) HasAlternatives(id routing.EndpointID) bool {
	m := c.members[id]
	return m != nil && len(m.list) > 1
}

func (x *address) rests(now float64) bool { return now < x.until }

// bent is the order in which addresses are tried: that of the families, but one that takes clearly longer to connect
// to goes behind the next.
func (m *member) bent() []*address {
	list := slices.Clone(m.list)
	for i := 0; i+1 < len(list); i++ {
		a, b := mean(list[i].connects), mean(list[i+1].connects)
		if a > 0 && b > 0 && a > slowerBy*b && a > b+slowerLeast {
			list[i], list[i+1] = list[i+1], list[i]
		}
	}
	return list
}

// Plan says which addresses to try for a new connection, in order. It is empty where all rest: then the member is
// sick and that is told at once. Repeatable says whether the hop that wants it may be used to try an address that was
// silent; anything else goes only where answers came.
func (c *Selector) Plan(now float64, id routing.EndpointID, repeatable bool) []PlannedDial {
	c.tick(now)
	m := c.members[id]
	if m == nil {
		return nil
	}
	m.used = c.now
	var out []PlannedDial
	after, usual := 0.0, 0.0
	for _, x := range m.bent() {
		if len(m.list) > 1 && !c.open(m, x, repeatable) {
			continue
		}
		if len(out) > 0 {
			after += c.stagger(usual)
		}
		usual = mean(x.connects)
		out = append(out, PlannedDial{x.Addr, after})
	}
	return out
}

// open says whether a new hop may go over an address.
func (c *Selector) open(m *member, x *address, repeatable bool) bool {
	if x.rests(c.now) || x.why == Disabled {
		return false
	}
	if x.why == Silent { // one repeatable txn at a time tries it, if there is another address for the rest
		return repeatable && !x.trial
	}
	return x.why == Healthy || x.why == Broken
}

// stagger is the delay before the attempt that follows one to an address whose usual connect time is given.
func (c *Selector) stagger(usual float64) float64 {
	if usual == 0 {
		return staggerMost
	}
	return min(max(staggerOver*usual, staggerMin), staggerMost)
}

// Usable says whether a new hop may be written on a link over an address, and how good that address is: 0 for the
// first choice, more for later ones.
func (c *Selector) Usable(now float64, id routing.EndpointID, a Addr, repeatable bool) (rank int, ok bool) {
	c.tick(now)
	m := c.members[id]
	if m == nil {
		return 0, false
	}
	for i, x := range m.bent() {
		if x.Addr == a {
			return i, len(m.list) == 1 || c.open(m, x, repeatable)
		}
	}
	return 0, false // the address has left the list
}

// Sent says that a hop is on its way over an address; the one that tries a silent address is the only one there.
func (c *Selector) AttemptSent(now float64, id routing.EndpointID, a Addr) {
	if x := c.at(now, id, a); x != nil && x.why == Silent {
		x.trial = true
	}
}

func (c *Selector) at(now float64, id routing.EndpointID, a Addr) *address {
	c.tick(now)
	if m := c.members[id]; m != nil {
		return m.find(a)
	}
	return nil
}

// DialEnded says how a dial of an address ended, and for one that succeeded how long it took.
func (c *Selector) DialEnded(now float64, id routing.EndpointID, a Addr, result DialResult, seconds float64) {
	x := c.at(now, id, a)
	if x == nil {
		return
	}
	x.looking = false
	switch result {
	case DialSucceeded:
		x.connects = keep(x.connects, seconds)
		if x.why == Refused || x.why == TimedOut || x.why == Broken {
			x.why, x.since, x.until = Healthy, c.now, 0
		}
	case DialRefused:
		c.blame(c.members[id], x, Refused)
	case DialTimedOut:
		c.blame(c.members[id], x, TimedOut)
	}
}

// Answered says that a member sent something over an address, so long after what it answers was written.
func (c *Selector) ResponseReceived(now float64, id routing.EndpointID, a Addr, wait float64) {
	x := c.at(now, id, a)
	if x == nil || x.why == Disabled {
		return
	}
	x.waits, x.answered = keep(x.waits, wait), c.now
	if x.trial = false; x.why != Healthy {
		x.why, x.since, x.until = Healthy, c.now, 0
	}
	if x.proven == 0 {
		x.proven = c.now
	}
}

// Waits says that a hop was written over an address so long ago and nothing at all has come over that link since. It
// returns whether the address is now held to be silent: no other hop goes there. That is told apart from a silent
// member by what its other addresses do.
func (c *Selector) AwaitingResponse(now float64, id routing.EndpointID, a Addr, wait float64) bool {
	x := c.at(now, id, a)
	if x == nil || !c.HasAlternatives(id) || x.why == Disabled {
		return false
	}
	if x.why == Silent && x.rests(c.now) {
		return true
	}
	if wait < max(quietLeast, quietOver*mean(x.waits)) {
		return false
	}
	c.blame(c.members[id], x, Silent)
	return true
}

// Elsewhere says whether a member has sent something over another address since a time, or may be asked over another
// now: then an address that is silent since is held to be bad before its member is. Where every other is silent too,
// all of them rest, and the next hop is told at once that the member can't be reached.
func (c *Selector) ReachableElsewhere(now float64, id routing.EndpointID, a Addr, since float64) bool {
	c.tick(now)
	m := c.members[id]
	return m != nil && slices.ContainsFunc(m.list, func(x *address) bool {
		return x.Addr != a && (x.answered > since || c.open(m, x, false))
	})
}

// Broke says that a connection over an address ended while txns were open on it.
func (c *Selector) ConnectionBroken(now float64, id routing.EndpointID, a Addr) {
	if x := c.at(now, id, a); x != nil {
		c.blame(c.members[id], x, Broken)
	}
}

// blame rests an address. Rests grow by decorrelated jitter until it has answered well for a while.
func (c *Selector) blame(m *member, x *address, why Condition) {
	if x.trial = false; x.why == Disabled || len(m.list) < 2 || (x.why == why && x.rests(c.now)) {
		return
	}
	if x.proven > 0 && c.now-x.proven >= provenAfter {
		x.rest = 0
	}
	most := restMost
	if why == Silent {
		most = quietMost
	}
	x.proven = 0
	x.rest = min(most, restFirst+c.chance()*(max(x.rest, restFirst)*restTimes-restFirst))
	x.why, x.since, x.until = why, c.now, c.now+x.rest
	m.doubt = m.doubt || why == Silent
	if why == Refused || why == TimedOut {
		x.connects = nil
	}
}

// Rest and Unrest are an operator's word. Rest refuses to rest a member's last address that is not rested.
func (c *Selector) Disable(now float64, id routing.EndpointID, a Addr) bool {
	x := c.at(now, id, a)
	if x == nil {
		return false
	}
	others := 0
	for _, y := range c.members[id].list {
		if y != x && y.why != Disabled {
			others++
		}
	}
	if others == 0 {
		return false
	}
	x.why, x.since, x.until = Disabled, c.now, math.Inf(1)
	return true
}

// Unrest ends any rest of an address.
func (c *Selector) Reinstate(now float64, id routing.EndpointID, a Addr) bool {
	x := c.at(now, id, a)
	if x == nil {
		return false
	}
	x.why, x.since, x.until, x.rest, x.trial = Healthy, c.now, 0, 0, false
	return true
}

// Look is an attempt that carries nothing: to see whether a rested address can be reached again, or to have a second
// link warm. Probe asks for a check on it where the deployment allows one: a connection alone tells nothing of an
// address that accepts and stays silent.
type Probe struct {
	Endpoint    routing.EndpointID
	Addr        Addr
	HealthCheck bool
}

// Looks names what is to be looked at now, in the order of members' names. Each is begun once; Dialed or Answered ends
// it. Linked says whether a live link is there already.
func (c *Selector) DueProbes(now float64, linked func(id routing.EndpointID, a Addr) bool) []Probe {
	c.tick(now)
	var out []Probe
	for _, id := range c.ids() {
		m := c.members[id]
		if len(m.list) < 2 || (c.now-m.used >= recent && m.well()) { // most members, most of the time
			continue
		}
		warm, doubt := 0, m.doubt && c.HealthChecksAllowed
		m.doubt = false
		for _, x := range m.bent() {
			if doubt && x.why == Healthy && !x.looking { // what another address says tells whether the member is silent
				doubt, x.looking, x.looked = false, true, c.now
				out = append(out, Probe{id, x.Addr, true})
				continue
			}
			if c.now-x.looked < restFirst || (x.looking && c.now-x.looked < restMost) {
				continue
			}
			switch {
			case x.why == Disabled || x.rests(c.now) || (x.why == Silent && !c.HealthChecksAllowed):
			case x.why != Healthy:
				x.looking, x.looked = true, c.now
				out = append(out, Probe{id, x.Addr, x.why == Silent})
			case warm == 1 && c.now-m.used < recent && c.now-x.looked >= warmEvery && !linked(id, x.Addr):
				x.looking, x.looked = true, c.now
				out = append(out, Probe{id, x.Addr, false})
				warm++
			default:
				warm++
			}
		}
	}
	return out
}

// well says that nothing is held against any address.
func (m *member) well() bool {
	for _, x := range m.list {
		if x.why != Healthy {
			return false
		}
	}
	return true
}

// ids are the members in the order of their names, sorted again only when one has come or gone.
func (c *Selector) ids() []routing.EndpointID {
	if len(c.order) != len(c.members) || c.stale {
		c.order, c.stale = c.order[:0], false
		for id := range c.members {
			c.order = append(c.order, id)
		}
		slices.Sort(c.order)
	}
	return c.order
}

// State is what an operator is shown of an address.
type AddressStatus struct {
	Endpoint         routing.EndpointID `json:"member"`
	Addr             Addr               `json:"address"`
	Condition        string             `json:"state"`
	SinceSeconds     float64            `json:"since_s"` // s ago
	CooldownSeconds  float64            `json:"rest_s"`  // s left of its rest
	ConnectSeconds   float64            `json:"connect_s"`
	FirstByteSeconds float64            `json:"first_byte_s"`
	Rank             int                `json:"rank"`
}

// States lists every address in the order in which it would be tried.
func (c *Selector) Status(now float64) []AddressStatus {
	c.tick(now)
	var out []AddressStatus
	for _, id := range c.ids() {
		for rank, x := range c.members[id].bent() {
			s := AddressStatus{Endpoint: id, Addr: x.Addr, Condition: x.why.String(), SinceSeconds: c.now - x.since, ConnectSeconds: mean(x.connects), FirstByteSeconds: mean(x.waits), Rank: rank}
			if s.CooldownSeconds = max(x.until-c.now, 0); math.IsInf(s.CooldownSeconds, 1) {
				s.CooldownSeconds = -1 // until an operator ends it
			}
			out = append(out, s)
		}
	}
	return out
}

func keep(list []float64, x float64) []float64 {
	if len(list) >= keptSamples {
		list = append(list[:0], list[1:]...)
	}
	return append(list, x)
}

func mean(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range list {
		sum += x
	}
	return sum / float64(len(list))
}
