package dispatch

import (
	"testing"

	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
)

// Guards against timers that fire in an arbitrary order when several are due because the loop was delayed: decisions
// would differ from run to run. They must fire by due time, then in insertion order, and the delay must be recorded.
func TestTimersRunInDueTimeThenInsertionOrder(t *testing.T) {
	f := newFixture(t, func(ev routing.Event) []routing.Action {
		if ev == (routing.TimerFired{Token: 1}) {
			return []routing.Action{routing.Probe{Endpoint: "x"}, routing.SetTimer{AfterSeconds: 0, Token: 5}}
		}
		return nil
	})
	f.schedule(102, decisionTimer{3})
	f.schedule(101, decisionTimer{1})
	f.schedule(101, decisionTimer{2})
	f.schedule(103, decisionTimer{4})
	f.setTime(102.5)
	f.runDueTimers()
	assert.Equal(t, []routing.Event{
		routing.TimerFired{Token: 1},
		// Tasks that an event adds with runAfterEvent run before the timers that are due.
		routing.ProbeResult{Endpoint: "x", Result: routing.ConnectFailed},
		routing.TimerFired{Token: 2},
		routing.TimerFired{Token: 3},
		routing.TimerFired{Token: 5},
	}, f.decider.events[1:])
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1.5, f.Metrics.Value("dispatch_timer_delay_max_seconds"))
}
