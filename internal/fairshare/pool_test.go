package fairshare

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Connections that take all they can must each get an equal part, and leave a part for one that comes later.
func TestGreedyConnectionsLeaveAPartForOthers(t *testing.T) {
	for connections := 1; connections <= 9; connections++ {
		p, accounts := New(1000), make([]Account, connections)
		for took := true; took; {
			took = false
			for i := range accounts {
				took = p.TryAcquire(&accounts[i], 1) || took
			}
		}
		for i := range accounts {
			assert.InDelta(t, 1000/(connections+1), accounts[i].held, 1)
		}
		late := Account{}
		assert.True(t, p.TryAcquire(&late, int64(1000/(connections+1)-1)))
	}
}

// waitingFor starts an Acquire and returns its result once the pool has one more waiter.
func waitingFor(t *testing.T, ctx context.Context, p *Pool, account *Account, amount int64) <-chan error {
	t.Helper()
	waiters := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.waiters)
	}
	before, result := waiters(), make(chan error, 1)
	go func() { result <- p.Acquire(ctx, account, amount) }()
	require.Eventually(t, func() bool { return waiters() > before }, time.Minute, time.Millisecond)
	return result
}

// A connection over its share must not hold up one that holds nothing, and small amounts must not starve a large one.
func TestWaitersAreServedInOrderWithinTheirShare(t *testing.T) {
	p := New(100)
	var flood, large, small Account
	require.True(t, p.TryAcquire(&flood, 50))
	require.True(t, p.TryAcquire(nil, 40))
	more := waitingFor(t, t.Context(), p, &flood, 10)
	first := waitingFor(t, t.Context(), p, &large, 30)
	second := waitingFor(t, t.Context(), p, &small, 5)
	assert.False(t, p.TryAcquire(nil, 1), "others wait")
	p.Release(nil, 10)
	assert.Empty(t, second, "small waits behind large although it would fit")
	p.Release(nil, 30)
	require.NoError(t, <-first)
	require.NoError(t, <-second)
	assert.Empty(t, more, "50 held and 10 more are over 15 free")
	p.Release(&flood, 50)
	require.NoError(t, <-more)
	assert.EqualValues(t, 45, p.Used())
}

// A wait that is given up must take nothing and hold up nobody.
func TestAbandonedWaitTakesNothing(t *testing.T) {
	p := New(10)
	require.True(t, p.TryAcquire(nil, 8))
	ctx, cancel := context.WithCancel(t.Context())
	first := waitingFor(t, ctx, p, nil, 5)
	second := waitingFor(t, t.Context(), p, nil, 2)
	cancel()
	require.ErrorIs(t, <-first, context.Canceled)
	require.NoError(t, <-second)
	assert.EqualValues(t, 10, p.Used())
	assert.ErrorIs(t, p.Acquire(t.Context(), nil, 11), ErrTooLarge)
}
