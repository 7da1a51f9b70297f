package address

// Stop ends the race when the connection is no longer needed. A dial that succeeds later is not used. The pool instead
// ends a race by cancelling the context of its dials, so only the interleaving tests call Stop.
func (r *Race) Stop() { r.decide(raceStopped) }
