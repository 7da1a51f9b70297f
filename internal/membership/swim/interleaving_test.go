package swim

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// cluster is three cores and the messages in flight between them, to explore all interleavings.
type cluster struct {
	cores    [3]*Core
	now      float64
	queues   [3][]Send // messages in flight, by sender
	killed   int       // index of the member that was killed, -1 if none
	failedAt [3]Incarnation
	failures bool // whether any member was declared failed
}

// The choices at each step of an interleaving. Between choiceTick and choiceKill, an odd number delivers the oldest
// message of member (choice-1)/2, and an even number drops it.
const (
	choiceTick = 0
	choiceKill = 7
	choices    = 8
	isolatedID = 2 // the member that is isolated or killed
)

func choiceDeliver(id int) int { return 1 + 2*id }

func choiceDrop(id int) int { return 2 + 2*id }

// TestAllInterleavings explores every order in which the messages of three members arrive or are lost, with one
// member killed at any step, to a depth of six choices. It starts from the initial state, and from just before an
// isolated member is first declared failed. In each interleaving, a failed member becomes present only by a higher
// incarnation, and no member is declared failed without failed probes by the observer.
func TestAllInterleavings(t *testing.T) {
	const depth = 6
	roundsUntilFailure := 0
	for w := newCluster(t, 0); !w.failures; roundsUntilFailure++ {
		w = newCluster(t, roundsUntilFailure+1)
	}
	require.Greater(t, roundsUntilFailure, 3)
	for _, rounds := range []int{0, roundsUntilFailure - 2} {
		visited, withFailure := 0, 0
		var walk func(path []int)
		walk = func(path []int) {
			w := newCluster(t, rounds)
			for _, choice := range path {
				if !w.step(t, choice) {
					return // the last choice has no effect: the path without it is visited separately
				}
			}
			visited++
			if w.failures {
				withFailure++
			}
			if len(path) < depth {
				for choice := range choices {
					walk(append(path[:len(path):len(path)], choice))
				}
			}
		}
		walk(nil)
		t.Logf("after %d rounds of a partition: %d paths, %d with a failure", rounds, visited, withFailure)
		assert.Greater(t, visited, 2_000)
		assert.Equal(t, rounds > 0, withFailure > 0)
	}
}

// newCluster returns three members that know each other, after one was isolated for the given number of rounds.
func newCluster(t *testing.T, rounds int) *cluster {
	t.Helper()
	w := &cluster{killed: -1}
	for i := range w.cores {
		w.cores[i] = New(Config{}, MemberID(i), testRoster[:3], uint64(i), testStart, uint64(i), 0)
		for id := range MemberID(3) {
			if int(id) != i {
				w.cores[i].HandleMessage(0, id, pushRecord(aliveRecord(id)))
			}
		}
	}
	for range rounds {
		w.partitionedRound(t)
	}
	return w
}

// partitionedRound ticks all cores, and delivers all messages except those to or from the isolated member.
func (w *cluster) partitionedRound(t *testing.T) {
	t.Helper()
	w.step(t, choiceTick)
	for n := 0; n < 30 && w.pending() > 0; n++ {
		for i := range w.queues {
			switch {
			case len(w.queues[i]) == 0:
			case i == isolatedID || w.queues[i][0].To == isolatedID:
				w.step(t, choiceDrop(i))
			default:
				w.step(t, choiceDeliver(i))
			}
		}
	}
}

func (w *cluster) pending() int { return len(w.queues[0]) + len(w.queues[1]) + len(w.queues[2]) }

// step executes a choice and reports whether it had an effect.
func (w *cluster) step(t *testing.T, choice int) bool {
	t.Helper()
	switch choice {
	case choiceTick:
		w.now += 0.2
		for i, c := range w.cores {
			if i != w.killed {
				w.execute(t, i, c.Tick(w.now))
			}
		}
		return true
	case choiceKill:
		alive := w.killed < 0
		if alive {
			w.killed = isolatedID
		}
		return alive
	}
	return w.deliverOldest(t, (choice-1)/2, choice%2 == 0)
}

func (w *cluster) deliverOldest(t *testing.T, from int, lost bool) bool {
	t.Helper()
	if len(w.queues[from]) == 0 {
		return false
	}
	send := w.queues[from][0]
	w.queues[from] = w.queues[from][1:]
	if !lost && int(send.To) != w.killed {
		w.execute(t, int(send.To), w.cores[send.To].HandleMessage(w.now, MemberID(from), send.Message))
	}
	return true
}

// execute queues the messages of a member and checks its state changes.
func (w *cluster) execute(t *testing.T, member int, actions []Action) {
	t.Helper()
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			w.queues[member] = append(w.queues[member], action)
		case StateChange:
			w.checkChange(t, member, action)
		}
	}
	if n := w.cores[member].QueueLength(); n > 3*(1+maxAccusers+1) {
		t.Fatalf("%d gossip items queued", n)
	}
}

func (w *cluster) checkChange(t *testing.T, observer int, change StateChange) {
	t.Helper()
	if change.To == Failed {
		w.failedAt[observer] = change.Incarnation
		w.failures = true
		s := w.cores[observer].members[change.Member].suspicion
		if s != nil && s.failedProbes < minFailedProbes {
			t.Fatalf("%d declared %d failed on accusations alone", observer, change.Member)
		}
	}
	if change.From == Failed && change.To.Present() && !w.failedAt[observer].Less(change.Incarnation) {
		t.Fatalf("%d considers failed member %d present without a higher incarnation", observer, change.Member)
	}
}
