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

// reasonCode names the reason of a rejection independently of its text.
func reasonCode(reason string) int {
	return map[string]int{
		"":                                  0,
		"the ledger can't be reached":       1,
		"too little time for a claim":       2,
		"too many claims wait":              3,
		"the ledger did not answer in time": 4,
		"the ledger answered too late":      5,
	}[reason]
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
		return fmt.Sprintf("reject %s %v %d", a.RequestID, a.RetryAfterSeconds, reasonCode(a.Reason))
	}
	return fmt.Sprintf("unknown %T", action)
}

// TestTraceOfSeededScript plays a script drawn from a seed against the state machine and compares all actions by hash.
func TestTraceOfSeededScript(t *testing.T) {
	rnd := rand.New(rand.NewPCG(7, 11))
	core := New(Config{MaxPending: 6}, "r1", 3, 5)
	state := statemachine.New()
	hash := sha256.New()
	counts := map[string]int{}
	var submitted []SubmitCommand
	now, revision := 0.0, uint64(0)
	record := func(actions []Action) {
		for _, action := range actions {
			text := actionText(action)
			_, _ = fmt.Fprintf(hash, "%.6f %s\n", now, text)
			var word string
			_, _ = fmt.Sscan(text, &word)
			counts[word]++
			if command, ok := action.(SubmitCommand); ok {
				submitted = append(submitted, command)
			}
		}
	}
	record(core.SetReachable(now, true))
	for i := range 20_000 {
		now += 0.05 * rnd.Float64()
		key := fmt.Sprint("k", rnd.IntN(40)+i/500)
		request := fmt.Sprint("t", rnd.IntN(30))
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
		case event < 65 && len(submitted) > 0:
			j := rnd.IntN(min(len(submitted), 12))
			command := submitted[j]
			if rnd.IntN(8) > 0 {
				submitted = append(submitted[:j:j], submitted[j+1:]...)
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
			record(core.RequestEnded(now, request, key, outcome == 1, outcome == 2))
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
