package admission

import "context"

// TryTurn takes the turn to handle frames of floods, and reports whether nobody has it or waits for it. EndTurn must
// follow.
//
// There is one turn in the process, so all floods together use at most one processor, and of that only what the
// goroutines of others leave them each time a turn ends.
func (c *Controller) TryTurn() bool { return c.turns.TryAcquire(nil, 1) }

// AwaitTurn is like TryTurn, and waits in order of arrival until the context is done.
func (c *Controller) AwaitTurn(ctx context.Context) error { return c.turns.Acquire(ctx, nil, 1) }

// TurnAwaited reports whether anybody waits for the turn.
func (c *Controller) TurnAwaited() bool { return c.turns.Awaited() }

// EndTurn passes the turn on.
func (c *Controller) EndTurn() { c.turns.Release(nil, 1) }
