package dispatch

import (
	"cairnfront/internal/request"
	"cairnfront/internal/upstream"
	"cairnfront/routing"
)

// probe is a health probe in progress.
type probe struct {
	endpoint  routing.EndpointID
	startedAt float64 // monotonic seconds
	sent      *upstream.Attempt
	ended     bool
}

// OwnsUpstreamAttempt implements upstream.Owner.
func (*probe) OwnsUpstreamAttempt() {}

// startProbe sends a health probe. A probe that can't be sent ends as ConnectFailed after the current event.
func (d *Dispatcher) startProbe(endpoint routing.EndpointID) {
	p := &probe{endpoint: endpoint, startedAt: d.now}
	p.sent = d.Pool.SendHealthCheck(endpoint, p)
	if p.sent == nil {
		d.runAfterEvent(probeFinished{p, request.AttemptEnd{Result: routing.ConnectFailed}})
		return
	}
	d.schedule(d.now+d.Pool.ConnectTimeout.Seconds(), probeTimeout{p})
}

// finishProbe passes the result of a probe to the Decider, once.
func (d *Dispatcher) finishProbe(p *probe, end request.AttemptEnd) {
	if p.ended {
		return
	}
	p.ended = true
	d.decide(routing.ProbeResult{
		Endpoint:       p.endpoint,
		Result:         end.Result,
		ElapsedSeconds: d.now - p.startedAt,
		LoadReport:     end.LoadReport,
	}, nil)
}
