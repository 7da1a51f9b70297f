package datagram

// replayWindow is how many counters behind the highest are still distinguished.
const replayWindow = 256

// replayGuard remembers which counters were seen since a sender's start: 48 bytes a member.
type replayGuard struct {
	startMillis uint64
	highest     uint64
	seen        [replayWindow / 64]uint64
}

// accept notes a counter of a start. It returns ErrStaleIncarnation or ErrReplayed if it is not new.
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

// advance moves the window up to a counter. The places of the counters in between become free.
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
