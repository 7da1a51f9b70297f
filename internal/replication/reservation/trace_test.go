package reservation

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"testing"

	"cairnfront/internal/replication/statemachine"

	"github.com/stretchr/testify/assert"
)

// goldenTrace is the SHA-256 of the trace as an earlier version wrote it.
const goldenTrace = "8e2fb655b783e8a496a580da50a43d6a10e0119fe38a9601974630b51a894c12"

// reasonCodes number the reasons of a rejection as the trace does.
var reasonCodes = map[RejectReason]int{
	ReasonUnreachable:    1,
	ReasonTooLittleTime:  2,
	ReasonTooManyPending: 3,
	ReasonNoResult:       4,
	ReasonResultTooLate:  5,
	ReasonDisplaced:      0,
}

// actionText writes an action in words that do not depend on the names in the code.
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

// TestTraceOfSeededScript plays a script drawn from a seed against the state machine and compares
// all actions by hash.
func TestTraceOfSeededScript(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 11))
	core := New(Config{MaxPending: 6}, "r1", 3, 5)
	state := statemachine.New()
	hash := sha256.New()
	counts := map[string]int{}
	outcomes := []Outcome{OutcomeUnknown, OutcomeCompleted, OutcomeNotExecuted}
	var commands []SubmitCommand
	now, revision := 0.0, uint64(0)
	record := func(actions []Action) {
		for _, action := range actions {
			text := actionText(action)
			_, _ = fmt.Fprintf(hash, "%.6f %s\n", now, text)
			var word string
			_, _ = fmt.Sscan(text, &word)
			counts[word]++
			if command, ok := action.(SubmitCommand); ok {
				commands = append(commands, command)
			}
		}
	}
	record(core.SetReachable(now, true))
	for i := range 20_000 {
		now += 0.05 * rnd.Float64()
		key := fmt.Sprint("k", rnd.IntN(40)+i/500)
		request := RequestID(fmt.Sprint("t", rnd.IntN(30)))
		switch event := rnd.IntN(100); {
		case event < 35:
			record(core.RequestAttempt(now, Attempt{
				RequestID:      request,
				Index:          i,
				Key:            key,
				Group:          fmt.Sprint("g", rnd.IntN(3)),
				WindowSeconds:  2 + 4*rnd.Float64(),
				Deadline:       now + 2*rnd.Float64(),
				PriorityWeight: float64(rnd.IntN(4)),
			}))
		case event < 65 && len(commands) > 0:
			j := rnd.IntN(min(len(commands), 12))
			command := commands[j]
			if rnd.IntN(8) > 0 {
				commands = append(commands[:j:j], commands[j+1:]...)
			}
			revision++
			command.Command.Now = 1000 + now
			result := state.Apply(revision, command.Command)
			if rnd.IntN(6) > 0 && command.Command.Op == statemachine.OpReserve {
				record(core.HandleResult(now, command.Number, result))
			}
		case event < 80:
			record(core.Tick(now))
		case event < 98:
			outcome := rnd.IntN(3)
			record(core.RequestEnded(request, key, outcomes[outcome]))
		default:
			core.config.ProceedWhenUnavailable = rnd.IntN(2) == 0
			record(core.SetReachable(now, rnd.IntN(3) > 0))
		}
		_, _ = fmt.Fprintf(hash, "next %.6f pending %d\n", core.NextTick(), core.PendingCount())
	}
	_, _ = fmt.Fprintln(hash, core.Granted, core.AlreadyReserved, core.Denied, core.Shed, core.Expired)
	t.Log(counts)
	for _, word := range []string{"submit", "allow", "deny", "location", "reject"} {
		assert.Greater(t, counts[word], 100, word)
	}
	assert.Equal(t, goldenTrace, fmt.Sprintf("%x", hash.Sum(nil)))
}
