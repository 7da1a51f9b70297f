package datagram

// replayWindow is the number of counters, up to the highest, whose reception is tracked.
const replayWindow = 256

// replayGuard tracks the counters received since a sender's start, to detect replayed datagrams. It takes 48 bytes
// per member.
type replayGuard struct {
	startMillis uint64
	highest     uint64
	seen        [replayWindow / 64]uint64
}

// accept records a counter received with the given start time. It returns ErrStaleIncarnation if the start is not the
// latest, and ErrReplayed if the counter was received before or is too old for the window.
func (g *replayGuard) accept(startMillis, counter uint64) error {
	if startMillis < g.startMillis {
		return ErrStaleIncarnation
	}
	if startMillis > g.startMillis {
		*g = replayGuard{startMillis: startMillis}
	}
	if counter > g.highest {
		g.advance(counter)
	} else if g.highest-counter >= replayWindow {
		return ErrReplayed
	}
	index, bit := counter%replayWindow/64, uint64(1)<<(counter%64)
	if g.seen[index]&bit != 0 {
		return ErrReplayed
	}
	g.seen[index] |= bit
	return nil
}

// advance moves the window up to a counter and clears the bits of the counters in between.
func (g *replayGuard) advance(counter uint64) {
	if counter-g.highest >= replayWindow {
		clear(g.seen[:])
	} else {
		for c := g.highest + 1; c <= counter; c++ {
			g.seen[c%replayWindow/64] &^= 1 << (c % 64)
		}
	}
	g.highest = counter
}
