package upstream

import (
	"time"

	"cairnfront/internal/clock"
	"cairnfront/internal/netconn"
	"cairnfront/internal/upstream/address"
)

// A connection can be dead without any indication: the machine behind it has vanished, or a new process has taken over
// its address. The symptom is that attempts time out one after another on a connection that stays open. Therefore, once
// an attempt is cancelled on a connection that has received nothing for the connect timeout, the connection accepts no
// more attempts until input arrives, and CloseIdle closes it when no attempt is open (netconn.Unresponsive). If
// EndpointIdleTimeout is 0, CloseIdle does so only if the connection no longer fits the endpoint list (isCurrent).

// recordWriteLocked records that an attempt was written. Consecutive attempts without any input are counted together:
// attempts with short timeouts are cancelled before any one of them could show that the connection is dead.
func (c *Connection) recordWriteLocked(now clock.Instant, conn *netconn.Conn) {
	if c.unansweredSince.IsZero() || conn.LastRead() >= c.unansweredSince {
		c.unansweredSince = now
	}
}

// markSuspectIfSilentLocked is called when an attempt is cancelled. It marks the connection as suspect if no input has
// arrived for the connect timeout while attempts were waiting.
func (c *Connection) markSuspectIfSilentLocked(now clock.Instant) {
	if c.conn != nil && isSilentFor(c.conn.LastRead(), c.unansweredSince, now, c.pool.ConnectTimeout) {
		c.suspectedSince = now
	}
}

// isSilentFor reports whether the last input arrived before an attempt was written, and the attempt has waited for more
// than the longest allowed time.
func isSilentFor(lastRead, writtenAt, now clock.Instant, longest time.Duration) bool {
	return lastRead < writtenAt && now.Sub(writtenAt) > longest
}

// isSilentLocked reports whether no input has arrived since an attempt was cancelled that had received no input either.
func (c *Connection) isSilentLocked() bool {
	return !c.suspectedSince.IsZero() && c.conn != nil && c.conn.LastRead() < c.suspectedSince
}

// silentAttempts returns the attempts that were written and have received no input since, the longest time that one of
// them has waited, and the connection's address.
func (c *Connection) silentAttempts(now clock.Instant) (longest time.Duration, addr address.Addr, waiting []*Attempt) {
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
