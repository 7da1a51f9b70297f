package address

// Stop ends the race: nobody wants the connection any more. A dial that succeeds later is not used. The pool ends a
// race by its dials' context instead, so only the walks over interleavings call it.
func (r *Race) Stop() { r.decide(raceStopped) }
