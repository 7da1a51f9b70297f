package address

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files")

// traceHead is how many lines of a trace stand in its golden file before the hash of all lines.
const traceHead = 200

// assertTrace compares a trace with its golden file: its first lines in full, and all of it by hash.
func assertTrace(t *testing.T, file string, lines []string) {
	t.Helper()
	sum := sha256.Sum256([]byte(strings.Join(lines, "\n")))
	head := strings.Join(lines[:min(len(lines), traceHead)], "\n")
	got := fmt.Sprintf("%d lines, sha256 %x\n%s\n", len(lines), sum, head)
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	assert.Equal(t, string(want), got)
}

// dice draws the script of a trace; it is apart from the selector's own generator.
type dice uint64

func (d *dice) below(n int) int {
	*d = *d*6364136223846793005 + 1442695040888963407
	return int(uint64(*d) >> 33 % uint64(n))
}

// selectorTrace plays a script of events on a selector and writes down what it answers, in words of the trace's own.
func selectorTrace(seed uint64, healthChecks bool) []string {
	c, d, now := New(seed), dice(seed), 100.0
	c.HealthChecksAllowed = healthChecks
	addrs := []Addr{sock, four, six, far4, far6}
	ids := []routing.EndpointID{"a", "b", "c"}
	results := []DialResult{DialSucceeded, DialRefused, DialTimedOut}
	resultTexts := []string{"well", "refused", "hung"}
	for i, id := range ids {
		c.SetAddresses(now, id, 0, addrs[:len(addrs)-2*i])
	}
	var lines []string
	note := func(format string, args ...any) {
		lines = append(lines, fmt.Sprintf("%.3f ", now)+fmt.Sprintf(format, args...))
	}
	for range 4000 {
		now += float64(d.below(200)-10) / 1000 // the clock jumps back at times
		id, a := ids[d.below(len(ids))], addrs[d.below(len(addrs))]
		seconds := float64(d.below(300)) / 1000
		switch d.below(16) {
		case 0, 1:
			result := d.below(len(results))
			note("dial %s %s %s %.3f", id, a, resultTexts[result], seconds)
			c.DialEnded(now, id, a, results[result], seconds)
		case 2, 3, 4:
			note("response %s %s %.3f", id, a, seconds)
			c.ResponseReceived(now, id, a, seconds)
		case 5:
			note("waits %s %s %.3f: %v", id, a, seconds, c.AwaitingResponse(now, id, a, seconds))
		case 6:
			note("broken %s %s", id, a)
			c.ConnectionBroken(now, id, a)
		case 7:
			note("sent %s %s", id, a)
			c.AttemptSent(now, id, a)
		case 8:
			idempotent := d.below(2) == 0
			rank, ok := c.Usable(now, id, a, idempotent)
			note("usable %s %s %v: %d %v", id, a, idempotent, rank, ok)
		case 9, 10:
			idempotent := d.below(2) == 0
			note("plan %s %v: %v", id, idempotent, c.Plan(now, id, idempotent))
		case 11, 12:
			linked := d.below(2) == 0
			note("probes %v: %v", linked, c.DueProbes(now, func(routing.EndpointID, Addr) bool { return linked }))
		case 13:
			note("elsewhere %s %s: %v", id, a, c.ReachableElsewhere(now, id, a, now-seconds))
		case 14:
			switch d.below(6) {
			case 0:
				note("disable %s %s: %v", id, a, c.Disable(now, id, a))
			case 1, 2:
				note("reinstate %s %s: %v", id, a, c.Reinstate(now, id, a))
			case 3:
				from, started := d.below(3), float64(d.below(2))
				note("addresses %s %v from %d", id, started, from)
				c.SetAddresses(now, id, started, addrs[from:])
			case 4:
				if d.below(4) == 0 {
					note("gone %s", id)
					c.RemoveEndpoint(id)
				}
			default:
				note("several %s: %v", id, c.HasAlternatives(id))
			}
		default:
			for _, s := range c.Status(now) {
				note("status %s %s %s %.3f %.3f %.4f %.4f %d", s.Endpoint, s.Addr, s.Condition, s.SinceSeconds,
					s.CooldownSeconds, s.ConnectSeconds, s.FirstByteSeconds, s.Rank)
			}
		}
	}
	return lines
}

// TestSelectorTrace holds that the same events give the same answers as the recorded ones.
func TestSelectorTrace(t *testing.T) {
	assertTrace(t, "testdata/selector.golden", append(selectorTrace(7, false), selectorTrace(8, true)...))
}

// TestRaceTrace holds that each script of eight steps of a race gives the same answers as the recorded ones.
func TestRaceTrace(t *testing.T) {
	var lines []string
	d := dice(3)
	for range 2000 {
		r, now := NewRace([]PlannedDial{{sock, 0}, {four, 0.05}, {six, 0.12}}, 0.4), 0.0
		line := ""
		for range 8 {
			now += float64(d.below(60)) / 1000
			i, granted := d.below(3), d.below(3) > 0
			switch d.below(8) {
			case 0:
				line += fmt.Sprintf("up %d %v, ", i, r.Connected(i, now))
			case 1:
				r.Failed(i)
				line += fmt.Sprintf("down %d, ", i)
			case 2:
				if d.below(4) == 0 {
					r.Stop()
					line += "stop, "
				}
			default:
				line += fmt.Sprintf("due %v %d, ", granted, r.NextDial(now, func() bool { return granted }))
			}
			line += fmt.Sprintf("%.3f next %.3f lost %v; ", now, r.NextDeadline(now), r.Lost(now))
		}
		lines = append(lines, line)
	}
	assertTrace(t, "testdata/race.golden", lines)
}
