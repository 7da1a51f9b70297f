package address

import (
	"fmt"
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const (
	unixSocket = Addr("unix:/run/x")
	loopback4  = Addr("127.0.0.1:1")
	loopback6  = Addr("[::1]:1")
	remote4    = Addr("10.0.0.1:1")
	remote6    = Addr("[2001:db8::1]:1")
)

// twoAddresses returns a selector with the endpoint a, which has a Unix socket and an IPv4 address.
func twoAddresses() *Selector {
	s := New(1)
	s.SetAddresses(100, "a", 0, []Addr{loopback4, unixSocket})
	return s
}

// lookup returns a selector's state of the endpoint's Unix socket.
func lookup(s *Selector, now float64) *address {
	_, a := s.lookup(now, "a", unixSocket)
	return a
}

// connected and unconnected report for every address that it has a connection, or that it has none.
func connected(routing.EndpointID, Addr) bool   { return true }
func unconnected(routing.EndpointID, Addr) bool { return false }

// addrs returns the addresses of a plan.
func addrs(plan []PlannedDial) (out []Addr) {
	for _, dial := range plan {
		out = append(out, dial.Addr)
	}
	return out
}

// Addresses of the local machine come first: Unix sockets, then loopback, then all others. IPv6 and IPv4 alternate
// within a family.
func TestAddressesAreSortedByFamily(t *testing.T) {
	assert.Equal(t, []Addr{unixSocket, loopback6, loopback4, remote6, remote4, "10.0.0.2:1"},
		sortAddrs([]Addr{remote4, loopback4, "10.0.0.2:1", remote6, loopback6, unixSocket, loopback4}))
}

// The first address connects slowly. With a fixed delay, the second one would be dialed too early or too late. The
// delay must follow the measured connect time, and a slower address is ranked behind a faster one.
func TestPlanDelaysDialsByMeasuredConnectTimes(t *testing.T) {
	s := twoAddresses()
	assert.Equal(t, []PlannedDial{{unixSocket, 0}, {loopback4, defaultDialDelaySeconds}}, s.Plan(100, "a", true))
	s.DialEnded(100, "a", unixSocket, DialSucceeded, 0.02)
	assert.Equal(t, []PlannedDial{{unixSocket, 0}, {loopback4, 0.08}}, s.Plan(100, "a", true))
	s.DialEnded(100, "a", loopback4, DialSucceeded, 0.001)
	assert.Equal(t, []Addr{loopback4, unixSocket}, addrs(s.Plan(100, "a", true)), "the slower address is ranked behind")
}

// An address refuses a connection. Attempts that continue to dial it would lose time, so none uses it until a probe
// after the cooldown has succeeded.
func TestRefusedAddressIsUnusedUntilProbeSucceeds(t *testing.T) {
	s := twoAddresses()
	s.DialEnded(100, "a", unixSocket, DialRefused, 0)
	assert.Equal(t, []Addr{loopback4}, addrs(s.Plan(100, "a", true)))
	assert.Empty(t, s.DueProbes(100.1, connected), "in cooldown")
	assert.Equal(t, []Probe{{"a", unixSocket, false}}, s.DueProbes(101, connected))
	assert.Equal(t, []Addr{loopback4}, addrs(s.Plan(101, "a", true)), "no attempt before the probe succeeds")
	assert.Empty(t, s.DueProbes(101.05, connected), "only one probe at a time")
	s.DialEnded(101.1, "a", unixSocket, DialSucceeded, 0.001)
	assert.Equal(t, []Addr{unixSocket, loopback4}, addrs(s.Plan(101.1, "a", true)))
}

// All addresses of an endpoint have failed. The plan is empty, so that the attempt fails immediately.
func TestPlanIsEmptyWhenAllAddressesAreInCooldown(t *testing.T) {
	s := twoAddresses()
	s.DialEnded(100, "a", unixSocket, DialRefused, 0)
	s.DialEnded(100, "a", loopback4, DialTimedOut, 0)
	assert.Empty(t, s.Plan(100, "a", true))
}

// The only address of an endpoint fails. A cooldown would exclude the endpoint, which is a decision of routing. The
// address stays in the plan and is not probed.
func TestOnlyAddressHasNoCooldown(t *testing.T) {
	s := New(1)
	s.SetAddresses(100, "a", 0, []Addr{loopback4})
	for range 9 {
		s.DialEnded(100, "a", loopback4, DialRefused, 0)
		s.ConnectionBroken(100, "a", loopback4)
	}
	assert.False(t, s.MarkIfSilent(100, "a", loopback4, 10))
	assert.Equal(t, []Addr{loopback4}, addrs(s.Plan(100, "a", false)))
	assert.Empty(t, s.DueProbes(200, unconnected))
}

// An address accepts connections and stays silent, so every attempt there waits in vain. No attempt is sent there
// during the cooldown. Afterwards one idempotent attempt tests the address; a non-idempotent one does not, as it could
// not be repeated.
func TestSilentAddressIsTestedByOneIdempotentAttempt(t *testing.T) {
	s := twoAddresses()
	assert.False(t, s.MarkIfSilent(100, "a", unixSocket, 0.1))
	assert.True(t, s.MarkIfSilent(100, "a", unixSocket, 0.13))
	_, ok := s.Usable(100, "a", unixSocket, true)
	assert.False(t, ok)
	_, ok = s.Usable(110, "a", unixSocket, false)
	assert.False(t, ok, "a non-idempotent attempt does not test the address")
	_, ok = s.Usable(110, "a", unixSocket, true)
	assert.True(t, ok)
	s.AttemptSent(110, "a", unixSocket)
	_, ok = s.Usable(110, "a", unixSocket, true)
	assert.False(t, ok, "only one attempt at a time")
	first := lookup(s, 110).lastCooldownSeconds
	assert.True(t, s.MarkIfSilent(110.5, "a", unixSocket, 0.5))
	assert.NotZero(t, first)
	s.ResponseReceived(140, "a", unixSocket, 0.01)
	_, ok = s.Usable(140, "a", unixSocket, false)
	assert.True(t, ok)
}

// A slow endpoint looks like a silent address, and each of its attempts would be repeated over another address. The
// state of the other addresses distinguishes the two cases. If health checks are allowed, one is sent over another
// address.
func TestOtherAddressShowsWhetherEndpointIsSilent(t *testing.T) {
	s := twoAddresses()
	s.ResponseReceived(99, "a", loopback4, 0.01)
	assert.True(t, s.MarkIfSilent(101, "a", unixSocket, 0.5))
	assert.True(t, s.ReachableOverOtherAddress(101, "a", unixSocket, 100.5), "the other address is usable")
	s.MarkIfSilent(101, "a", loopback4, 0.5)
	assert.False(t, s.ReachableOverOtherAddress(101, "a", unixSocket, 100.5), "both addresses are silent")
	assert.Empty(t, s.DueProbes(101, connected), "health checks are not allowed")
	s.HealthChecksAllowed = true
	assert.Empty(t, s.DueProbes(101, connected), "only one health check is requested")
	s = twoAddresses()
	s.HealthChecksAllowed = true
	s.MarkIfSilent(101, "a", unixSocket, 0.5)
	assert.Equal(t, []Probe{{"a", loopback4, true}}, s.DueProbes(101, connected))
	s.ResponseReceived(101.1, "a", loopback4, 0.01)
	assert.True(t, s.ReachableOverOtherAddress(101.1, "a", unixSocket, 100.5))
}

// With a fixed limit, an endpoint with slow responses would be considered silent. An address counts as silent only
// after a multiple of its usual wait.
func TestSilenceLimitFollowsResponseTimes(t *testing.T) {
	s := twoAddresses()
	for range 4 {
		s.ResponseReceived(100, "a", unixSocket, 0.2)
	}
	assert.False(t, s.MarkIfSilent(100, "a", unixSocket, 0.7))
	assert.True(t, s.MarkIfSilent(100, "a", unixSocket, 0.81))
}

// An address flaps: it accepts a connection and fails again. With short cooldowns, each cycle costs attempts. Cooldowns
// must grow up to their maximum, and be reset once the address has responded for a while.
func TestCooldownsGrowUntilAddressResponds(t *testing.T) {
	s, now, longest := twoAddresses(), 100.0, 0.0
	for range 40 {
		s.DialEnded(now, "a", unixSocket, DialRefused, 0)
		unixAddr := lookup(s, now)
		assert.GreaterOrEqual(t, unixAddr.lastCooldownSeconds, minCooldownSeconds)
		assert.LessOrEqual(t, unixAddr.lastCooldownSeconds, maxCooldownSeconds)
		longest = max(longest, unixAddr.lastCooldownSeconds)
		now = unixAddr.cooldownUntil + 0.1
		s.DialEnded(now, "a", unixSocket, DialSucceeded, 0.001) // flapping: it recovers and fails again
	}
	assert.Greater(t, longest, 2.0)
	s.ResponseReceived(now, "a", unixSocket, 0.01)
	s.ConnectionBroken(now+healthyResetSeconds, "a", unixSocket)
	assert.Less(t, lookup(s, now).lastCooldownSeconds, 3*minCooldownSeconds)
}

// An endpoint restarts, or its address list changes during a cooldown. Failures of the previous process must not count
// against the new one. A restart clears the state, a change of the list retains the state of addresses that remain, and
// a dial to a removed address has no effect.
func TestRestartAndListChange(t *testing.T) {
	s := twoAddresses()
	s.DialEnded(100, "a", unixSocket, DialRefused, 0)
	s.SetAddresses(100, "a", 0, []Addr{unixSocket, loopback6})
	assert.Equal(t, []Addr{loopback6}, addrs(s.Plan(100, "a", true)), "a remaining address retains its state")
	_, ok := s.Usable(100, "a", loopback4, true)
	assert.False(t, ok, "the address was removed from the list")
	s.DialEnded(100, "a", loopback4, DialSucceeded, 1) // a dial that was in progress has no effect
	s.SetAddresses(101, "a", 101, []Addr{unixSocket, loopback6})
	assert.Equal(t, []Addr{unixSocket, loopback6}, addrs(s.Plan(101, "a", true)))
}

// An operator disables an address that still responds. The response must not bring it back into use: it stays disabled
// until it is reinstated. The last enabled address cannot be disabled.
func TestDisabledAddressIsUnusedUntilReinstated(t *testing.T) {
	s := twoAddresses()
	assert.True(t, s.Disable(100, "a", unixSocket))
	assert.False(t, s.Disable(100, "a", loopback4), "the last enabled address")
	s.DialEnded(100, "a", unixSocket, DialSucceeded, 0.001)
	s.ResponseReceived(100, "a", unixSocket, 0.001)
	assert.Equal(t, []Addr{loopback4}, addrs(s.Plan(1e6, "a", true)))
	assert.Equal(t, -1.0, s.Status(1e6)[0].CooldownSeconds) //nolint:testifylint // exact by intent
	assert.True(t, s.Reinstate(1e6, "a", unixSocket))
	assert.Equal(t, []Addr{unixSocket, loopback4}, addrs(s.Plan(1e6, "a", true)))
}

// The address in use fails, and another one must be dialed first. While the endpoint is in use, a probe opens a spare
// connection over its second address; an idle endpoint gets none.
func TestSpareConnectionForEndpointsInUse(t *testing.T) {
	s := twoAddresses()
	assert.Empty(t, s.DueProbes(100, unconnected))
	s.Plan(100, "a", true)
	assert.Equal(t, []Probe{{"a", loopback4, false}}, s.DueProbes(100.5, unconnected))
	assert.Empty(t, s.DueProbes(101, unconnected))
	assert.Empty(t, s.DueProbes(200, unconnected), "not used recently")
}

// raceSteps are the possible events for the dials of two races: a dial is due, a dial connects or fails (digits for
// race and dial), the first race is stopped, time passes.
var raceSteps = []string{"due0", "due1", "up00", "up01", "up10", "down00", "down01", "down10", "stop0", "late"}

// twoRaces applies steps to two races over two addresses and checks the invariants after each step.
type twoRaces struct {
	t          *testing.T
	path       []int // indexes into raceSteps, for failure messages
	granted    bool  // whether descriptors for concurrent dials are granted
	races      [2]*Race
	inProgress [2]map[int]bool
	used       [2]int // number of used connections
	stopped    bool   // whether the first race was stopped
	now        float64
}

// playRaces applies a path of steps. It returns false if a step ends a dial that is not in progress.
func playRaces(t *testing.T, path []int, granted bool) (legal bool) {
	t.Helper()
	w := &twoRaces{t: t, path: path, granted: granted}
	for i := range w.races {
		w.races[i], w.inProgress[i] = NewRace([]PlannedDial{{unixSocket, 0}, {loopback4, 0.05}}, 0.4), map[int]bool{}
	}
	for _, step := range path {
		w.now += 0.03
		if !w.step(raceSteps[step]) {
			return false
		}
		for r := range w.races {
			if w.races[r].Lost(w.now) && w.used[r] > 0 {
				t.Fatalf("a race is both lost and won: %v", path)
			}
		}
	}
	return true
}

// isStopped reports whether a race was stopped.
func (w *twoRaces) isStopped(r int) bool { return r == 0 && w.stopped }

// step applies one step.
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

// dial starts a dial if one is due.
func (w *twoRaces) dial(r int) {
	i := w.races[r].NextDial(w.now, func() bool { return w.granted })
	if i < 0 {
		return
	}
	if w.isStopped(r) || w.used[r] > 0 {
		w.t.Fatalf("a dial starts after the end of the race: %v", w.path)
	}
	w.inProgress[r][i] = true
}

// endDial ends a dial, which must be in progress.
func (w *twoRaces) endDial(r, i int, established bool) (legal bool) {
	if !w.inProgress[r][i] {
		return false
	}
	delete(w.inProgress[r], i)
	if !established {
		w.races[r].Failed(i)
		return true
	}
	if w.races[r].Connected(i, w.now) {
		if w.used[r]++; w.used[r] > 1 || w.isStopped(r) {
			w.t.Fatalf("a second connection is used, or one after the race was stopped: %v", w.path)
		}
	}
	return true
}

// Two dials of a race succeed at almost the same time, or one succeeds after the race was stopped. A request written on
// both connections would run twice. The test tries every interleaving of events for two races to a depth of seven: a
// race must never use two connections, and none after it was stopped.
func TestRaceInterleavings(t *testing.T) {
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

// No descriptor is available for a second concurrent dial. The race must not be lost while another address is
// reachable: the next address is dialed once the previous dial has failed.
func TestRaceWithoutDescriptorsIsSequential(t *testing.T) {
	denied := func() bool { return false }
	r := NewRace([]PlannedDial{{unixSocket, 0}, {loopback4, 0.05}}, 0.4)
	assert.Equal(t, 0, r.NextDial(0, denied))
	assert.Equal(t, -1, r.NextDial(0.1, denied))
	r.Failed(0)
	assert.Equal(t, 1, r.NextDial(0.1, denied))
	r.Failed(1)
	assert.True(t, r.Lost(0.1))
}

// playDrawnEvent draws an event and applies it to one of the endpoint's addresses.
func playDrawnEvent(t *rapid.T, s *Selector, now float64, all []Addr) {
	a := rapid.SampledFrom(all).Draw(t, "a")
	switch rapid.IntRange(0, 6).Draw(t, "what") {
	case 0:
		results := []DialResult{DialSucceeded, DialRefused, DialTimedOut}
		s.DialEnded(now, "a", a, rapid.SampledFrom(results).Draw(t, "result"), 0.01)
	case 1:
		s.ResponseReceived(now, "a", a, 0.02)
	case 2:
		s.MarkIfSilent(now, "a", a, 0.5)
	case 3:
		s.ConnectionBroken(now, "a", a)
	case 4:
		s.AttemptSent(now, "a", a)
	case 5:
		s.SetAddresses(now, "a", 0, all[rapid.IntRange(0, 1).Draw(t, "from"):])
	case 6:
		s.DueProbes(now, unconnected)
	}
}

// checkPlan fails if a plan contains an address that is not usable, or if its delays decrease.
func checkPlan(t *rapid.T, s *Selector, now float64) {
	last := -1.0
	for _, dial := range s.Plan(now, "a", false) {
		if _, ok := s.Usable(now, "a", dial.Addr, false); !ok || dial.DelaySeconds < last {
			t.Fatalf("%v must not be in the plan; status %v", dial, fmt.Sprint(s.Status(now)))
		}
		last = dial.DelaySeconds
	}
}

// checkCooldownsEnd fails if an address is still in cooldown after its probes have succeeded.
func checkCooldownsEnd(t *rapid.T, s *Selector, now float64) {
	for range 3 {
		now += maxSilentCooldownSeconds + 100
		s.HealthChecksAllowed = true
		for _, probe := range s.DueProbes(now, connected) {
			s.DialEnded(now, probe.Endpoint, probe.Addr, DialSucceeded, 0.01)
			s.ResponseReceived(now, probe.Endpoint, probe.Addr, 0.01)
		}
	}
	for _, status := range s.Status(now) {
		if status.Condition == "refused" || status.Condition == "hung" || status.Condition == "quiet" {
			t.Fatalf("%+v was never reinstated", status)
		}
	}
}

// An attempt fails if its address is in cooldown or was removed from the list, and an address whose cooldown never ends
// is lost. After any events in any order, a plan must contain only listed, usable addresses, and cooldowns must end.
func TestPlansContainOnlyUsableAddresses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := New(7), 100.0
		all := []Addr{unixSocket, loopback4, loopback6}
		s.SetAddresses(now, "a", 0, all)
		for range rapid.IntRange(1, 80).Draw(t, "n") {
			now += rapid.Float64Range(-1, 2).Draw(t, "dt") // the clock may jump back
			playDrawnEvent(t, s, now, all)
			checkPlan(t, s, now)
		}
		checkCooldownsEnd(t, s, now)
	})
}

// An address flaps every 300 ms for a minute. Attempts must not alternate between addresses: the other address is
// always in the plan, probes are few, and the flapping address is still used while it works.
func TestFlappingAddress(t *testing.T) {
	s, probes, tried := twoAddresses(), 0, 0
	up := func(now float64) bool { return int((now-100)/0.3)%2 == 1 }
	for now := 100.0; now < 160; now += 0.02 {
		plan := s.Plan(now, "a", false)
		assert.Contains(t, addrs(plan), loopback4)
		if plan[0].Addr == unixSocket {
			if tried++; up(now) {
				s.DialEnded(now, "a", unixSocket, DialSucceeded, 0.001)
			} else {
				s.DialEnded(now, "a", unixSocket, DialRefused, 0)
			}
		}
		for _, probe := range s.DueProbes(now, connected) {
			if probes++; up(now) {
				s.DialEnded(now, probe.Endpoint, probe.Addr, DialSucceeded, 0.001)
			} else {
				s.DialEnded(now, probe.Endpoint, probe.Addr, DialRefused, 0)
			}
		}
	}
	assert.Less(t, probes, 120, "probes for 200 changes")
	assert.Positive(t, tried, "the address is used while it works")
}

// An address fails for all routers at once. If all of them probed it at the same moment, it would be flooded when it
// recovers. Routers with different seeds must probe at different times.
func TestRoutersProbeAtDifferentTimes(t *testing.T) {
	at := map[string]int{}
	for seed := range uint64(40) {
		s := New(seed*0x9e3779b97f4a7c15 + 1)
		s.SetAddresses(100, "a", 0, []Addr{loopback4, unixSocket})
		for now, n := 100.0, 0; n < 4; n++ { // four consecutive failures
			s.DialEnded(now, "a", unixSocket, DialRefused, 0)
			now = lookup(s, now).cooldownUntil
		}
		at[fmt.Sprintf("%.1f", lookup(s, 100).cooldownUntil)]++
	}
	for moment, n := range at {
		assert.LessOrEqual(t, n, 10, "%s s", moment)
	}
	assert.Greater(t, len(at), 10)
}
