package upstream

import (
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/upstream/address"
)

// A connection may be dead without a sign of it: the machine behind it has vanished, or a new process has its address.
// It shows as attempts that end at their deadline, one after another, on a connection that stays open. So a connection
// on which an attempt was cancelled after nothing had come for the connect timeout takes no more attempts, until
// something comes, and is closed once no attempt is open (netconn.Unresponsive).

// noteWrittenLocked notes that an attempt is written. Those that follow one another without any input count together:
// attempts with little time are cancelled before they could show by themselves that the connection is dead.
func (c *Connection) noteWrittenLocked(now clock.Instant, conn *netconn.Conn) {
	if c.silentSince.IsZero() || conn.LastRead() >= c.silentSince {
		c.silentSince = now
	}
}

// suspectSilenceLocked is called as an attempt is cancelled. It suspects the connection if nothing has come for the
// connect timeout while attempts were written.
func (c *Connection) suspectSilenceLocked(now clock.Instant) {
	if c.conn != nil && isSilentFor(c.conn.LastRead(), c.silentSince, now, c.pool.ConnectTimeout) {
		c.suspectSince = now
	}
}

// isSilentFor says whether input last came before an attempt was written that has waited longer than a time.
func isSilentFor(lastRead, writtenAt, now clock.Instant, longest time.Duration) bool {
	return lastRead < writtenAt && now.Sub(writtenAt) > longest
}

// isSilentLocked says whether nothing came since an attempt was cancelled during which nothing had come.
func (c *Connection) isSilentLocked() bool {
	return !c.suspectSince.IsZero() && c.conn != nil && c.conn.LastRead() < c.suspectSince
}

// silentWait returns how long a written attempt has waited without any input since, the connection's address, and all
// attempts that wait so.
func (c *Connection) silentWait(now clock.Instant) (longest time.Duration, addr address.Addr, waiting []*Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil || !c.state.hasAttempts() {
		return 0, "", nil
	}
	for _, a := range c.attempts {
		if a.written && c.conn.LastRead() < a.writtenAt {
			longest = max(longest, now.Sub(a.writtenAt))
			waiting = append(waiting, a)
		}
	}
	return longest, address.Addr(c.addr), waiting
}
