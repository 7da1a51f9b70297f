package reservation

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"testing"

	"cairnfront/internal/replication/statemachine"

	"github.com/stretchr/testify/assert"
)

// goldenTrace is the SHA-256 of the trace that an earlier version wrote.
const goldenTrace = "8e2fb655b783e8a496a580da50a43d6a10e0119fe38a9601974630b51a894c12"

const (
	traceEvents    = 20_000
	traceMaxChoice = 12 // number of the oldest submitted commands from which one is drawn
)

// reasonCodes maps the reasons for a rejection to their numbers in the trace.
var reasonCodes = map[RejectReason]int{
	ReasonUnreachable:    1,
	ReasonTooLittleTime:  2,
	ReasonTooManyPending: 3,
	ReasonNoResult:       4,
	ReasonResultTooLate:  5,
	ReasonDisplaced:      0,
}

// actionText formats an action independently of the names in the code.
func actionText(action Action) string {
	switch a := action.(type) {
	case SubmitCommand:
		text, err := a.Command.Encode()
		return fmt.Sprintf("submit %d %d %x %v", a.Number, a.Retry, text, err)
	case AllowAttempt:
		return fmt.Sprintf("allow %s %d", a.RequestID, a.Index)
	case DenyAttempt:
		return fmt.Sprintf("deny %s %d", a.RequestID, a.Index)
	case ReportLocation:
		return fmt.Sprintf("location %s %s %v %v", a.RequestID, a.Group, a.ExpiresAt, a.Completed)
	case RejectRequest:
		return fmt.Sprintf("reject %s %v %d", a.RequestID, a.RetryAfterSeconds, reasonCodes[a.Reason])
	}
	return fmt.Sprintf("unknown %T", action)
}

// traceRunner runs a script drawn from a seed against the state machine and hashes all actions.
type traceRunner struct {
	random   *rand.Rand
	core     *Core
	state    *statemachine.State
	revision uint64
	now      float64
	commands []SubmitCommand // submitted commands; some of them are applied more than once
	hash     hash.Hash
	counts   map[string]int // number of actions, by the first word of their text
}

func (p *traceRunner) record(actions []Action) {
	for _, action := range actions {
		text := actionText(action)
		_, _ = fmt.Fprintf(p.hash, "%.6f %s\n", p.now, text)
		var word string
		_, _ = fmt.Sscan(text, &word)
		p.counts[word]++
		if command, ok := action.(SubmitCommand); ok {
			p.commands = append(p.commands, command)
		}
	}
}

// step runs one random event. i is the number of the event.
func (p *traceRunner) step(i int) {
	p.now += 0.05 * p.random.Float64()
	key := fmt.Sprint("k", p.random.IntN(40)+i/500)
	request := RequestID(fmt.Sprint("t", p.random.IntN(30)))
	switch event := p.random.IntN(100); {
	case event < 35:
		p.record(p.core.RequestAttempt(p.now, Attempt{
			RequestID:      request,
			Index:          i,
			Key:            key,
			Group:          fmt.Sprint("g", p.random.IntN(3)),
			WindowSeconds:  2 + 4*p.random.Float64(),
			Deadline:       p.now + 2*p.random.Float64(),
			PriorityWeight: float64(p.random.IntN(4)),
		}))
	case event < 65 && len(p.commands) > 0:
		p.applySubmitted()
	case event < 80:
		p.record(p.core.Tick(p.now))
	case event < 98:
		outcomes := []Outcome{OutcomeUnknown, OutcomeCompleted, OutcomeNotExecuted}
		outcome := p.random.IntN(len(outcomes))
		p.record(p.core.RequestEnded(request, key, outcomes[outcome]))
	default:
		p.core.config.ProceedWhenUnavailable = p.random.IntN(2) == 0
		p.record(p.core.SetReachable(p.now, p.random.IntN(3) > 0))
	}
	_, _ = fmt.Fprintf(p.hash, "next %.6f pending %d\n", p.core.NextTick(), p.core.PendingCount())
}

// applySubmitted applies one of the submitted commands. It sometimes retains the command to apply
// it again, and sometimes drops its result.
func (p *traceRunner) applySubmitted() {
	j := p.random.IntN(min(len(p.commands), traceMaxChoice))
	command := p.commands[j]
	if p.random.IntN(8) > 0 {
		p.commands = append(p.commands[:j:j], p.commands[j+1:]...)
	}
	p.revision++
	command.Command.Now = 1000 + p.now
	result := p.state.Apply(p.revision, command.Command)
	if p.random.IntN(6) > 0 && command.Command.Op == statemachine.OpReserve {
		p.record(p.core.HandleResult(p.now, command.Number, result))
	}
}

// TestTraceOfSeededScript runs a script drawn from a fixed seed against the state machine and
// compares the hash of all actions. A refactoring that changes a decision changes the hash.
func TestTraceOfSeededScript(t *testing.T) {
	p := &traceRunner{
		random: rand.New(rand.NewPCG(7, 11)),
		core:   New(Config{MaxPending: 6}, "r1", 3, 5),
		state:  statemachine.New(),
		hash:   sha256.New(),
		counts: map[string]int{},
	}
	p.record(p.core.SetReachable(p.now, true))
	for i := range traceEvents {
		p.step(i)
	}
	_, _ = fmt.Fprintln(p.hash, p.core.Granted, p.core.AlreadyReserved, p.core.Denied, p.core.Shed, p.core.Expired)
	t.Log(p.counts)
	for _, word := range []string{"submit", "allow", "deny", "location", "reject"} {
		assert.Greater(t, p.counts[word], 100, word)
	}
	assert.Equal(t, goldenTrace, hex.EncodeToString(p.hash.Sum(nil)))
}
