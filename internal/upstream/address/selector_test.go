package address

import (
	"fmt"
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const (
	sock = Addr("unix:/run/x")
	four = Addr("127.0.0.1:1")
	six  = Addr("[::1]:1")
	far4 = Addr("10.0.0.1:1")
	far6 = Addr("[2001:db8::1]:1")
)

// twoAddresses returns a selector with the endpoint a, which has a Unix socket and an IPv4 address.
func twoAddresses() *Selector {
	c := New(1)
	c.SetAddresses(100, "a", 0, []Addr{four, sock})
	return c
}

// lookup returns what a selector knows of the endpoint's Unix socket.
func lookup(s *Selector, now float64) *address {
	_, a := s.lookup(now, "a", sock)
	return a
}

// connected and unconnected say of each address whether it has a connection.
func connected(routing.EndpointID, Addr) bool   { return true }
func unconnected(routing.EndpointID, Addr) bool { return false }

// addrs returns the addresses of a plan.
func addrs(plan []PlannedDial) (out []Addr) {
	for _, t := range plan {
		out = append(out, t.Addr)
	}
	return out
}

// Addresses of the machine itself come first: Unix sockets, then loopback, then all others. Within a family IPv6 and
// IPv4 take turns.
func TestAddressesAreSortedByFamily(t *testing.T) {
	assert.Equal(t, []Addr{sock, six, four, far6, far4, "10.0.0.2:1"},
		sortAddrs([]Addr{far4, four, "10.0.0.2:1", far6, six, sock, four}))
}

// The first address is slow to connect. With a fixed delay the second one would be dialed too early or too late. The
// delay follows the measured connect time, and a slower address goes behind a faster one.
func TestPlanDelaysDialsByMeasuredConnectTimes(t *testing.T) {
	c := twoAddresses()
	assert.Equal(t, []PlannedDial{{sock, 0}, {four, defaultDialDelaySeconds}}, c.Plan(100, "a", true))
	c.DialEnded(100, "a", sock, DialSucceeded, 0.02)
	assert.Equal(t, []PlannedDial{{sock, 0}, {four, 0.08}}, c.Plan(100, "a", true))
	c.DialEnded(100, "a", four, DialSucceeded, 0.001)
	assert.Equal(t, []Addr{four, sock}, addrs(c.Plan(100, "a", true)), "the slower one goes behind")
}

// An address refuses a connection. Attempts that go on trying it lose time. None goes there until one probe, after the
// cooldown, has succeeded.
func TestRefusedAddressIsInCooldownUntilAProbeSucceeds(t *testing.T) {
	c := twoAddresses()
	c.DialEnded(100, "a", sock, DialRefused, 0)
	assert.Equal(t, []Addr{four}, addrs(c.Plan(100, "a", true)))
	assert.Empty(t, c.DueProbes(100.1, connected), "in cooldown")
	assert.Equal(t, []Probe{{"a", sock, false}}, c.DueProbes(101, connected))
	assert.Equal(t, []Addr{four}, addrs(c.Plan(101, "a", true)), "no attempt goes there yet")
	assert.Empty(t, c.DueProbes(101.05, connected), "one at a time")
	c.DialEnded(101.1, "a", sock, DialSucceeded, 0.001)
	assert.Equal(t, []Addr{sock, four}, addrs(c.Plan(101.1, "a", true)))
}

// Every address of an endpoint has failed. An attempt has nowhere to go and should learn so at once. The plan is empty.
func TestPlanIsEmptyWhileAllAddressesAreInCooldown(t *testing.T) {
	c := twoAddresses()
	c.DialEnded(100, "a", sock, DialRefused, 0)
	c.DialEnded(100, "a", four, DialTimedOut, 0)
	assert.Empty(t, c.Plan(100, "a", true))
}

// The only address of an endpoint fails. A cooldown would take the endpoint out of use on grounds that the routing
// decisions judge. The address stays in the plan and is not probed.
func TestOnlyAddressHasNoCooldown(t *testing.T) {
	c := New(1)
	c.SetAddresses(100, "a", 0, []Addr{four})
	for range 9 {
		c.DialEnded(100, "a", four, DialRefused, 0)
		c.ConnectionBroken(100, "a", four)
	}
	assert.False(t, c.AwaitingResponse(100, "a", four, 10))
	assert.Equal(t, []Addr{four}, addrs(c.Plan(100, "a", false)))
	assert.Empty(t, c.DueProbes(200, unconnected))
}

// An address accepts and stays silent, so each attempt there waits in vain. No attempt goes there. After its cooldown
// one idempotent attempt tries it, and a non-idempotent one does not, as it could not be repeated.
func TestSilentAddressIsTriedByOneIdempotentAttempt(t *testing.T) {
	c := twoAddresses()
	assert.False(t, c.AwaitingResponse(100, "a", sock, 0.1))
	assert.True(t, c.AwaitingResponse(100, "a", sock, 0.13))
	_, ok := c.Usable(100, "a", sock, true)
	assert.False(t, ok)
	_, ok = c.Usable(110, "a", sock, false)
	assert.False(t, ok, "a non-idempotent attempt does not try it")
	_, ok = c.Usable(110, "a", sock, true)
	assert.True(t, ok)
	c.AttemptSent(110, "a", sock)
	_, ok = c.Usable(110, "a", sock, true)
	assert.False(t, ok, "one at a time")
	first := lookup(c, 110).lastCooldownSeconds
	assert.True(t, c.AwaitingResponse(110.5, "a", sock, 0.5))
	assert.NotZero(t, first)
	c.ResponseReceived(140, "a", sock, 0.01)
	_, ok = c.Usable(140, "a", sock, false)
	assert.True(t, ok)
}

// A slow endpoint looks like a silent address, and each of its attempts would be repeated over another address. The
// other addresses tell the one from the other. Where health checks are allowed, one is asked.
func TestAnotherAddressTellsWhetherTheEndpointIsSilent(t *testing.T) {
	c := twoAddresses()
	c.ResponseReceived(99, "a", four, 0.01)
	assert.True(t, c.AwaitingResponse(101, "a", sock, 0.5))
	assert.True(t, c.ReachableElsewhere(101, "a", sock, 100.5), "it may be asked over the other one")
	c.AwaitingResponse(101, "a", four, 0.5)
	assert.False(t, c.ReachableElsewhere(101, "a", sock, 100.5), "both are silent, nothing came since")
	assert.Empty(t, c.DueProbes(101, connected), "no health checks here")
	c.HealthChecksAllowed = true
	assert.Empty(t, c.DueProbes(101, connected), "asked once")
	c = twoAddresses()
	c.HealthChecksAllowed = true
	c.AwaitingResponse(101, "a", sock, 0.5)
	assert.Equal(t, []Probe{{"a", four, true}}, c.DueProbes(101, connected))
	c.ResponseReceived(101.1, "a", four, 0.01)
	assert.True(t, c.ReachableElsewhere(101.1, "a", sock, 100.5))
}

// An endpoint that usually takes long would be taken for silent by a fixed limit. An address counts as silent only
// after a multiple of its usual wait.
func TestSilenceIsMeasuredByUsualWaits(t *testing.T) {
	c := twoAddresses()
	for range 4 {
		c.ResponseReceived(100, "a", sock, 0.2)
	}
	assert.False(t, c.AwaitingResponse(100, "a", sock, 0.7))
	assert.True(t, c.AwaitingResponse(100, "a", sock, 0.81))
}

// An address flaps: it accepts a connection and fails again. With short cooldowns each flap costs attempts. Cooldowns
// grow up to their bound, and start small again once the address has responded for a while.
func TestCooldownsGrowUntilItHasRespondedForAWhile(t *testing.T) {
	c, now, longest := twoAddresses(), 100.0, 0.0
	for range 40 {
		c.DialEnded(now, "a", sock, DialRefused, 0)
		x := lookup(c, now)
		assert.GreaterOrEqual(t, x.lastCooldownSeconds, firstCooldownSeconds)
		assert.LessOrEqual(t, x.lastCooldownSeconds, maxCooldownSeconds)
		longest = max(longest, x.lastCooldownSeconds)
		now = x.cooldownUntil + 0.1
		c.DialEnded(now, "a", sock, DialSucceeded, 0.001) // flapping: it is back and gone again
	}
	assert.Greater(t, longest, 2.0)
	c.ResponseReceived(now, "a", sock, 0.01)
	c.ConnectionBroken(now+healthyResetSeconds, "a", sock)
	assert.Less(t, lookup(c, now).lastCooldownSeconds, 3*firstCooldownSeconds)
}

// An endpoint restarts, or its list of addresses changes during a cooldown. What was learned of a former process would
// be held against the new one. A restart forgets, a change retains what is known of addresses that stay, and a dial to
// one that has left says nothing.
func TestRestartForgetsAndAListCanChange(t *testing.T) {
	c := twoAddresses()
	c.DialEnded(100, "a", sock, DialRefused, 0)
	c.SetAddresses(100, "a", 0, []Addr{sock, six})
	assert.Equal(t, []Addr{six}, addrs(c.Plan(100, "a", true)), "what is known of one that stays is retained")
	_, ok := c.Usable(100, "a", four, true)
	assert.False(t, ok, "it has left the list")
	c.DialEnded(100, "a", four, DialSucceeded, 1) // a dial that was under way: nothing comes of it
	c.SetAddresses(101, "a", 101, []Addr{sock, six})
	assert.Equal(t, []Addr{sock, six}, addrs(c.Plan(101, "a", true)))
}

// An operator disables an address that still responds. The response would put it back into use. It stays unused until
// it is reinstated, and the last address can not be disabled.
func TestDisabledAddressIsUnusedUntilReinstated(t *testing.T) {
	c := twoAddresses()
	assert.True(t, c.Disable(100, "a", sock))
	assert.False(t, c.Disable(100, "a", four), "the last one")
	c.DialEnded(100, "a", sock, DialSucceeded, 0.001)
	c.ResponseReceived(100, "a", sock, 0.001)
	assert.Equal(t, []Addr{four}, addrs(c.Plan(1e6, "a", true)))
	assert.Equal(t, -1.0, c.Status(1e6)[0].CooldownSeconds) //nolint:testifylint // exact by intent
	assert.True(t, c.Reinstate(1e6, "a", sock))
	assert.Equal(t, []Addr{sock, four}, addrs(c.Plan(1e6, "a", true)))
}

// The address in use fails, and the other one has to be dialed first. A spare connection over it is probed for while
// the endpoint is in use, and not for one that is idle.
func TestSpareConnectionIsKeptForEndpointsInUse(t *testing.T) {
	c := twoAddresses()
	assert.Empty(t, c.DueProbes(100, unconnected))
	c.Plan(100, "a", true)
	assert.Equal(t, []Probe{{"a", four, false}}, c.DueProbes(100.5, unconnected))
	assert.Empty(t, c.DueProbes(101, unconnected))
	assert.Empty(t, c.DueProbes(200, unconnected), "not used lately")
}

// raceSteps are what can happen to the dials of two races: a dial is due, one is established or fails (race and dial),
// the first race is stopped, time passes.
var raceSteps = []string{"due0", "due1", "up00", "up01", "up10", "down00", "down01", "down10", "stop0", "late"}

// twoRaces plays steps on two races over two addresses and checks what must hold after each.
type twoRaces struct {
	t        *testing.T
	path     []int // of raceSteps, for messages
	granted  bool  // descriptors for further dials are granted
	races    [2]*Race
	underWay [2]map[int]bool
	used     [2]int // connections
	stopped  bool   // the first race
	now      float64
}

// playRaces plays a path of steps. It returns false for one that ends a dial which is not under way.
func playRaces(t *testing.T, path []int, granted bool) (legal bool) {
	t.Helper()
	w := &twoRaces{t: t, path: path, granted: granted}
	for i := range w.races {
		w.races[i], w.underWay[i] = NewRace([]PlannedDial{{sock, 0}, {four, 0.05}}, 0.4), map[int]bool{}
	}
	for _, step := range path {
		w.now += 0.03
		if !w.step(raceSteps[step]) {
			return false
		}
		for r := range w.races {
			if w.races[r].Lost(w.now) && w.used[r] > 0 {
				t.Fatalf("lost and won: %v", path)
			}
		}
	}
	return true
}

// isStopped reports whether a race was stopped.
func (w *twoRaces) isStopped(r int) bool { return r == 0 && w.stopped }

// step plays one step.
func (w *twoRaces) step(step string) (legal bool) {
	last := int(step[len(step)-1] - '0')
	switch {
	case step == "late":
		w.now += 0.2
	case step[:3] == "due":
		w.dial(last)
	case step == "stop0":
		w.races[0].Stop()
		w.stopped = true
	default:
		return w.endDial(int(step[len(step)-2]-'0'), last, step[:2] == "up")
	}
	return true
}

// dial begins a dial where one is due.
func (w *twoRaces) dial(r int) {
	i := w.races[r].NextDial(w.now, func() bool { return w.granted })
	if i < 0 {
		return
	}
	if w.isStopped(r) || w.used[r] > 0 {
		w.t.Fatalf("an attempt begins after the end: %v", w.path)
	}
	w.underWay[r][i] = true
}

// endDial ends a dial, which has to be under way.
func (w *twoRaces) endDial(r, i int, established bool) (legal bool) {
	if !w.underWay[r][i] {
		return false
	}
	delete(w.underWay[r], i)
	if !established {
		w.races[r].Failed(i)
		return true
	}
	if w.races[r].Connected(i, w.now) {
		if w.used[r]++; w.used[r] > 1 || w.isStopped(r) {
			w.t.Fatalf("a second connection is used, or one after the end: %v", w.path)
		}
	}
	return true
}

// Two dials of a race succeed at almost the same time, or one does after the race was stopped. A request that is
// written on both connections runs twice. Every interleaving of what can happen to two races is played, to a depth of
// seven: never are two connections used for one race, and none after it was stopped.
func TestEveryInterleavingOfARace(t *testing.T) {
	runs := 0
	var walk func(path []int)
	walk = func(path []int) {
		runs++
		if !playRaces(t, path, runs%2 == 0) || len(path) == 7 {
			return
		}
		for i := range raceSteps {
			walk(append(path[:len(path):len(path)], i))
		}
	}
	walk(nil)
	assert.Greater(t, runs, 100000)
}

// No descriptor is free for a second dial. A race that needs one would be lost though an address is reachable. The next
// address is dialed once the one before has failed.
func TestRaceWithoutDescriptorsDialsOneByOne(t *testing.T) {
	no := func() bool { return false }
	r := NewRace([]PlannedDial{{sock, 0}, {four, 0.05}}, 0.4)
	assert.Equal(t, 0, r.NextDial(0, no))
	assert.Equal(t, -1, r.NextDial(0.1, no))
	r.Failed(0)
	assert.Equal(t, 1, r.NextDial(0.1, no))
	r.Failed(1)
	assert.True(t, r.Lost(0.1))
}

// playDrawnEvent draws an event and plays it on the endpoint's address.
func playDrawnEvent(t *rapid.T, c *Selector, now float64, all []Addr) {
	a := rapid.SampledFrom(all).Draw(t, "a")
	switch rapid.IntRange(0, 6).Draw(t, "what") {
	case 0:
		results := []DialResult{DialSucceeded, DialRefused, DialTimedOut}
		c.DialEnded(now, "a", a, rapid.SampledFrom(results).Draw(t, "result"), 0.01)
	case 1:
		c.ResponseReceived(now, "a", a, 0.02)
	case 2:
		c.AwaitingResponse(now, "a", a, 0.5)
	case 3:
		c.ConnectionBroken(now, "a", a)
	case 4:
		c.AttemptSent(now, "a", a)
	case 5:
		c.SetAddresses(now, "a", 0, all[rapid.IntRange(0, 1).Draw(t, "from"):])
	case 6:
		c.DueProbes(now, unconnected)
	}
}

// checkPlan fails for an address in the plan that may not be used, or that stands before one with a shorter delay.
func checkPlan(t *rapid.T, c *Selector, now float64) {
	last := -1.0
	for _, try := range c.Plan(now, "a", false) {
		if _, ok := c.Usable(now, "a", try.Addr, false); !ok || try.DelaySeconds < last {
			t.Fatalf("%v is in the plan %v", try, fmt.Sprint(c.Status(now)))
		}
		last = try.DelaySeconds
	}
}

// checkCooldownsEnd fails for an address that is in cooldown though its probes have succeeded.
func checkCooldownsEnd(t *rapid.T, c *Selector, now float64) {
	for range 3 {
		now += maxSilentCooldownSeconds + 100
		c.HealthChecksAllowed = true
		for _, l := range c.DueProbes(now, connected) {
			c.DialEnded(now, l.Endpoint, l.Addr, DialSucceeded, 0.01)
			c.ResponseReceived(now, l.Endpoint, l.Addr, 0.01)
		}
	}
	for _, s := range c.Status(now) {
		if s.Condition == "refused" || s.Condition == "hung" || s.Condition == "quiet" {
			t.Fatalf("%+v never came back", s)
		}
	}
}

// An address that is in cooldown, or has left the list, would cost each attempt that goes there, and one whose cooldown
// never ends is lost for good. After any events in any order a plan names only listed addresses that may be used, and
// cooldowns end.
func TestPlansNameUsableAddressesOnly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c, now := New(7), 100.0
		all := []Addr{sock, four, six}
		c.SetAddresses(now, "a", 0, all)
		for range rapid.IntRange(1, 80).Draw(t, "n") {
			now += rapid.Float64Range(-1, 2).Draw(t, "dt") // a clock may jump back
			playDrawnEvent(t, c, now, all)
			checkPlan(t, c, now)
		}
		checkCooldownsEnd(t, c, now)
	})
}

// An address flaps every 300 ms for a minute. Attempts would follow it back and forth. They go over the other one all
// the time, the probes stay few, and the address is used when it is up.
func TestFlappingAddress(t *testing.T) {
	c, probes, tried := twoAddresses(), 0, 0
	up := func(now float64) bool { return int((now-100)/0.3)%2 == 1 }
	for now := 100.0; now < 160; now += 0.02 {
		plan := c.Plan(now, "a", false)
		assert.Contains(t, addrs(plan), four)
		if plan[0].Addr == sock {
			if tried++; up(now) {
				c.DialEnded(now, "a", sock, DialSucceeded, 0.001)
			} else {
				c.DialEnded(now, "a", sock, DialRefused, 0)
			}
		}
		for _, l := range c.DueProbes(now, connected) {
			if probes++; up(now) {
				c.DialEnded(now, l.Endpoint, l.Addr, DialSucceeded, 0.001)
			} else {
				c.DialEnded(now, l.Endpoint, l.Addr, DialRefused, 0)
			}
		}
	}
	assert.Less(t, probes, 120, "of 200 changes")
	assert.Positive(t, tried, "and it is used when it is up")
}

// An address fails for all routers at once. If all of them probe it at the same moment, it is flooded as it comes back.
// Routers with different seeds probe at different times.
func TestRoutersProbeAtDifferentTimes(t *testing.T) {
	at := map[string]int{}
	for seed := range uint64(40) {
		c := New(seed*0x9e3779b97f4a7c15 + 1)
		c.SetAddresses(100, "a", 0, []Addr{four, sock})
		for now, n := 100.0, 0; n < 4; n++ { // four failures in a row
			c.DialEnded(now, "a", sock, DialRefused, 0)
			now = lookup(c, now).cooldownUntil
		}
		at[fmt.Sprintf("%.1f", lookup(c, 100).cooldownUntil)]++
	}
	for moment, n := range at {
		assert.LessOrEqual(t, n, 10, "%s s", moment)
	}
	assert.Greater(t, len(at), 10)
}
