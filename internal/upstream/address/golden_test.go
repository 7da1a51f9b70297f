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

// goldenHeadLines is the number of trace lines that the golden file lists after the hash of all lines.
const goldenHeadLines = 200

// assertTrace compares a trace with its golden file: its first lines literally, and the complete trace by hash.
func assertTrace(t *testing.T, file string, lines []string) {
	t.Helper()
	sum := sha256.Sum256([]byte(strings.Join(lines, "\n")))
	head := strings.Join(lines[:min(len(lines), goldenHeadLines)], "\n")
	got := fmt.Sprintf("%d lines, sha256 %x\n%s\n", len(lines), sum, head)
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(got), 0o644))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	assert.Equal(t, string(want), got)
}

// traceRandom is the random number generator of a trace's script, independent of the selector's generator.
type traceRandom uint64

func (d *traceRandom) below(n int) int {
	*d = *d*6364136223846793005 + 1442695040888963407
	return int(uint64(*d) >> 33 % uint64(n))
}

// Values from which the script of a selector draws.
var (
	traceEndpoints   = []routing.EndpointID{"a", "b", "c"}
	traceAddrs       = []Addr{unixSocket, loopback4, loopback6, remote4, remote6}
	traceResults     = []DialResult{DialSucceeded, DialRefused, DialTimedOut}
	traceResultTexts = []string{"well", "refused", "hung"}
)

// selectorScript applies random events to a selector and records its answers, with the trace's own names.
type selectorScript struct {
	*Selector
	traceRandom
	time  float64
	lines []string

	// Values drawn for the current step.
	endpoint routing.EndpointID
	addr     Addr
	seconds  float64
}

// selectorTrace runs a script and returns its lines.
func selectorTrace(seed uint64, healthChecks bool) []string {
	s := &selectorScript{Selector: New(seed), traceRandom: traceRandom(seed), time: 100}
	s.HealthChecksAllowed = healthChecks
	for i, id := range traceEndpoints {
		s.SetAddresses(s.time, id, 0, traceAddrs[:len(traceAddrs)-2*i])
	}
	for range 4000 {
		s.time += float64(s.below(200)-10) / 1000 // the clock sometimes jumps back
		s.endpoint = traceEndpoints[s.below(len(traceEndpoints))]
		s.addr = traceAddrs[s.below(len(traceAddrs))]
		s.seconds = float64(s.below(300)) / 1000
		s.step()
	}
	return s.lines
}

// recordLine records a line.
func (s *selectorScript) recordLine(format string, args ...any) {
	s.lines = append(s.lines, fmt.Sprintf("%.3f ", s.time)+fmt.Sprintf(format, args...))
}

// step draws an event or a query and applies it.
func (s *selectorScript) step() {
	now, id, a := s.time, s.endpoint, s.addr
	switch s.below(16) {
	case 0, 1:
		result := s.below(len(traceResults))
		s.recordLine("dial %s %s %s %.3f", id, a, traceResultTexts[result], s.seconds)
		s.DialEnded(now, id, a, traceResults[result], s.seconds)
	case 2, 3, 4:
		s.recordLine("response %s %s %.3f", id, a, s.seconds)
		s.ResponseReceived(now, id, a, s.seconds)
	case 5:
		s.recordLine("waits %s %s %.3f: %v", id, a, s.seconds, s.MarkIfSilent(now, id, a, s.seconds))
	case 6:
		s.recordLine("broken %s %s", id, a)
		s.ConnectionBroken(now, id, a)
	case 7:
		s.recordLine("sent %s %s", id, a)
		s.AttemptSent(now, id, a)
	case 8:
		idempotent := s.below(2) == 0
		rank, ok := s.Usable(now, id, a, idempotent)
		s.recordLine("usable %s %s %v: %d %v", id, a, idempotent, rank, ok)
	case 9, 10:
		idempotent := s.below(2) == 0
		s.recordLine("plan %s %v: %v", id, idempotent, s.Plan(now, id, idempotent))
	case 11, 12:
		hasConn := s.below(2) == 0
		s.recordLine("probes %v: %v", hasConn, s.DueProbes(now, func(routing.EndpointID, Addr) bool { return hasConn }))
	case 13:
		s.recordLine("elsewhere %s %s: %v", id, a, s.ReachableOverOtherAddress(now, id, a, now-s.seconds))
	case 14:
		s.command()
	default:
		s.recordStatus()
	}
}

// command draws and applies an operator's command or a change of the endpoint list.
func (s *selectorScript) command() {
	now, id, a := s.time, s.endpoint, s.addr
	switch s.below(6) {
	case 0:
		s.recordLine("disable %s %s: %v", id, a, s.Disable(now, id, a))
	case 1, 2:
		s.recordLine("reinstate %s %s: %v", id, a, s.Reinstate(now, id, a))
	case 3:
		from, started := s.below(3), float64(s.below(2))
		s.recordLine("addresses %s %v from %d", id, started, from)
		s.SetAddresses(now, id, started, traceAddrs[from:])
	case 4:
		if s.below(4) == 0 {
			s.recordLine("gone %s", id)
			s.RemoveEndpoint(id)
		}
	default:
		s.recordLine("several %s: %v", id, s.HasAlternatives(id))
	}
}

// recordStatus records the status of each address.
func (s *selectorScript) recordStatus() {
	for _, status := range s.Status(s.time) {
		s.recordLine("status %s %s %s %.3f %.3f %.4f %.4f %d", status.Endpoint, status.Addr, status.Condition,
			status.SinceSeconds, status.CooldownSeconds, status.ConnectSeconds, status.FirstByteSeconds, status.Rank)
	}
}

// TestSelectorTrace checks that the same events yield the same answers as in the golden file.
func TestSelectorTrace(t *testing.T) {
	assertTrace(t, "testdata/selector.golden", append(selectorTrace(7, false), selectorTrace(8, true)...))
}

// raceLine applies eight random steps to a race and returns its answers.
func raceLine(d *traceRandom) string {
	r, now := NewRace([]PlannedDial{{unixSocket, 0}, {loopback4, 0.05}, {loopback6, 0.12}}, 0.4), 0.0
	var line strings.Builder
	for range 8 {
		now += float64(d.below(60)) / 1000
		i, granted := d.below(3), d.below(3) > 0
		switch d.below(8) {
		case 0:
			fmt.Fprintf(&line, "up %d %v, ", i, r.Connected(i, now))
		case 1:
			r.Failed(i)
			fmt.Fprintf(&line, "down %d, ", i)
		case 2:
			if d.below(4) == 0 {
				r.Stop()
				line.WriteString("stop, ")
			}
		default:
			fmt.Fprintf(&line, "due %v %d, ", granted, r.NextDial(now, func() bool { return granted }))
		}
		fmt.Fprintf(&line, "%.3f next %.3f lost %v; ", now, r.NextDeadline(now), r.Lost(now))
	}
	return line.String()
}

// TestRaceTrace checks that each script of eight steps of a race yields the same answers as in the golden file.
func TestRaceTrace(t *testing.T) {
	var lines []string
	d := traceRandom(3)
	for range 2000 {
		lines = append(lines, raceLine(&d))
	}
	assertTrace(t, "testdata/race.golden", lines)
}
