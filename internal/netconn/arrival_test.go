package netconn

import (
	"testing"
	"time"

	"cairnfront/internal/clock"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against input that counts from when it is read although it arrived while the reader did not read: the time of
// a request that waited in the socket would begin too late. Input before, during and after such a time must be
// distinguished.
func TestArrivalOfInputThatWaitedInTheSocket(t *testing.T) {
	near, far := tcpPair(t)
	c := New(near, 1024, 0)
	send := func(text string) {
		_, err := far.Write([]byte(text))
		require.NoError(t, err)
	}
	read := func() clock.Instant {
		require.NoError(t, c.ReadFull(make([]byte, 1)))
		return c.ArrivedAt()
	}
	send("a")
	assert.Equal(t, read(), c.LastRead())
	c.BeginPause()
	pauseStart := clock.Now()
	send("bc")
	require.Eventually(t, func() bool { return c.UnreadBytes() == 2 }, time.Minute, time.Millisecond)
	c.EndPause()
	pauseEnd := clock.Now()
	time.Sleep(5 * time.Millisecond)
	assert.Less(t, read(), pauseStart, "it may have come at the begin of the pause")
	assert.False(t, c.CatchUp())
	assert.Less(t, c.UnreadSince(), pauseStart)
	c.BeginPause() // a second pause, with input of the first unread
	send("d")
	require.Eventually(t, func() bool { return c.UnreadBytes() == 1 }, time.Minute, time.Millisecond)
	c.EndPause()
	assert.Less(t, read(), pauseStart)
	between := read()
	assert.Greater(t, between, pauseEnd, "it came in the second pause")
	assert.True(t, c.CatchUp())
	assert.Zero(t, c.UnreadSince())
	send("e")
	assert.Equal(t, read(), c.LastRead(), "it was read as it came")
}

// Guards against marks that grow with the number of pauses, and against a bound that then is too late.
func TestInputMarksAreBounded(t *testing.T) {
	near, far := tcpPair(t)
	c := New(near, 1024, 0)
	for i := range int64(4 * maxInputMarks) {
		c.BeginPause()
		_, err := far.Write([]byte("x"))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return c.UnreadBytes() == i+1 }, time.Minute, time.Millisecond)
	}
	c.EndPause()
	assert.Len(t, c.inputMarks, maxInputMarks)
	last := clock.Instant(0)
	for range 4 * maxInputMarks {
		require.NoError(t, c.ReadFull(make([]byte, 1)))
		assert.GreaterOrEqual(t, c.ArrivedAt(), last)
		assert.Less(t, c.ArrivedAt(), c.lastMark().at)
		last = c.ArrivedAt()
	}
}

// Guards against small output that stands behind large output in the kernel's send buffer: while the peer reads
// nothing, the kernel must take little more than it has sent.
func TestUnsentOutputIsLimited(t *testing.T) {
	accepted := map[bool]int64{}
	for _, limited := range []bool{false, true} {
		near, far := tcpPair(t)
		require.NoError(t, near.SetWriteBuffer(512<<10))
		require.NoError(t, far.SetReadBuffer(32<<10))
		c := New(near, 1<<10, 50*time.Millisecond)
		var err error
		for written := 0; err == nil && written < 4<<20; written += 100_000 {
			if limited {
				c.LimitUnsentWhenBehind()
			}
			err = c.Write(make([]byte, 100_000))
		}
		require.Error(t, err)
		accepted[limited] = c.BytesWritten()
	}
	assert.Less(t, accepted[true], accepted[false]/2, "%v", accepted)
}

// Guards against memory that grows with the connections that close at the same time, by their unread input.
func TestUnreadInputOfFewConnectionsIsHeld(t *testing.T) {
	const sent = 100
	closeWithUnread := func() *Conn {
		near, far := tcpPair(t)
		_, err := far.Write(make([]byte, sent))
		require.NoError(t, err)
		c := New(near, 64, 0)
		c.TellUnread = true
		require.Eventually(t, func() bool { return c.UnreadBytes() == sent }, time.Minute, time.Millisecond)
		c.Close(Shutdown, nil)
		return c
	}
	var conns []*Conn
	for range maxHeldPeeks + 1 {
		conns = append(conns, closeWithUnread())
	}
	for i, c := range conns {
		copied, length := c.UnreadInput(make([]byte, MaxPeekedBytes))
		assert.EqualValues(t, sent, length)
		assert.Equal(t, i < maxHeldPeeks, copied == sent, "connection %d", i)
	}
	assert.Empty(t, heldPeeks)
}
