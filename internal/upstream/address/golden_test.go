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

// What the script of a selector draws from.
var (
	traceEndpoints   = []routing.EndpointID{"a", "b", "c"}
	traceAddrs       = []Addr{sock, four, six, far4, far6}
	traceResults     = []DialResult{DialSucceeded, DialRefused, DialTimedOut}
	traceResultTexts = []string{"well", "refused", "hung"}
)

// selectorScript plays drawn events on a selector and writes down what it answers, in words of the trace's own.
type selectorScript struct {
	*Selector
	dice
	time  float64
	lines []string

	// Drawn for the step in hand.
	endpoint routing.EndpointID
	addr     Addr
	seconds  float64
}

// selectorTrace plays a script and returns its lines.
func selectorTrace(seed uint64, healthChecks bool) []string {
	s := &selectorScript{Selector: New(seed), dice: dice(seed), time: 100}
	s.HealthChecksAllowed = healthChecks
	for i, id := range traceEndpoints {
		s.SetAddresses(s.time, id, 0, traceAddrs[:len(traceAddrs)-2*i])
	}
	for range 4000 {
		s.time += float64(s.below(200)-10) / 1000 // the clock jumps back at times
		s.endpoint = traceEndpoints[s.below(len(traceEndpoints))]
		s.addr = traceAddrs[s.below(len(traceAddrs))]
		s.seconds = float64(s.below(300)) / 1000
		s.step()
	}
	return s.lines
}

// note writes a line down.
func (s *selectorScript) note(format string, args ...any) {
	s.lines = append(s.lines, fmt.Sprintf("%.3f ", s.time)+fmt.Sprintf(format, args...))
}

// step draws an event or a question and plays it.
func (s *selectorScript) step() {
	now, id, a := s.time, s.endpoint, s.addr
	switch s.below(16) {
	case 0, 1:
		result := s.below(len(traceResults))
		s.note("dial %s %s %s %.3f", id, a, traceResultTexts[result], s.seconds)
		s.DialEnded(now, id, a, traceResults[result], s.seconds)
	case 2, 3, 4:
		s.note("response %s %s %.3f", id, a, s.seconds)
		s.ResponseReceived(now, id, a, s.seconds)
	case 5:
		s.note("waits %s %s %.3f: %v", id, a, s.seconds, s.AwaitingResponse(now, id, a, s.seconds))
	case 6:
		s.note("broken %s %s", id, a)
		s.ConnectionBroken(now, id, a)
	case 7:
		s.note("sent %s %s", id, a)
		s.AttemptSent(now, id, a)
	case 8:
		idempotent := s.below(2) == 0
		rank, ok := s.Usable(now, id, a, idempotent)
		s.note("usable %s %s %v: %d %v", id, a, idempotent, rank, ok)
	case 9, 10:
		idempotent := s.below(2) == 0
		s.note("plan %s %v: %v", id, idempotent, s.Plan(now, id, idempotent))
	case 11, 12:
		linked := s.below(2) == 0
		s.note("probes %v: %v", linked, s.DueProbes(now, func(routing.EndpointID, Addr) bool { return linked }))
	case 13:
		s.note("elsewhere %s %s: %v", id, a, s.ReachableElsewhere(now, id, a, now-s.seconds))
	case 14:
		s.command()
	default:
		s.noteStatus()
	}
}

// command draws and plays what an operator or a change of the endpoint list does.
func (s *selectorScript) command() {
	now, id, a := s.time, s.endpoint, s.addr
	switch s.below(6) {
	case 0:
		s.note("disable %s %s: %v", id, a, s.Disable(now, id, a))
	case 1, 2:
		s.note("reinstate %s %s: %v", id, a, s.Reinstate(now, id, a))
	case 3:
		from, started := s.below(3), float64(s.below(2))
		s.note("addresses %s %v from %d", id, started, from)
		s.SetAddresses(now, id, started, traceAddrs[from:])
	case 4:
		if s.below(4) == 0 {
			s.note("gone %s", id)
			s.RemoveEndpoint(id)
		}
	default:
		s.note("several %s: %v", id, s.HasAlternatives(id))
	}
}

// noteStatus writes down what is known of each address.
func (s *selectorScript) noteStatus() {
	for _, status := range s.Status(s.time) {
		s.note("status %s %s %s %.3f %.3f %.4f %.4f %d", status.Endpoint, status.Addr, status.Condition,
			status.SinceSeconds, status.CooldownSeconds, status.ConnectSeconds, status.FirstByteSeconds, status.Rank)
	}
}

// TestSelectorTrace holds that the same events give the same answers as the recorded ones.
func TestSelectorTrace(t *testing.T) {
	assertTrace(t, "testdata/selector.golden", append(selectorTrace(7, false), selectorTrace(8, true)...))
}

// raceLine plays eight drawn steps of a race and returns what it answers.
func raceLine(d *dice) string {
	r, now := NewRace([]PlannedDial{{sock, 0}, {four, 0.05}, {six, 0.12}}, 0.4), 0.0
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

// TestRaceTrace holds that each script of eight steps of a race gives the same answers as the recorded ones.
func TestRaceTrace(t *testing.T) {
	var lines []string
	d := dice(3)
	for range 2000 {
		lines = append(lines, raceLine(&d))
	}
	assertTrace(t, "testdata/race.golden", lines)
}
