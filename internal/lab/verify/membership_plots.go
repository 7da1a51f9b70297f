package verify

import (
	"cairnfront/internal/lab/report"
)

// plotStepSeconds is the interval between two points in the plot of the peers seen.
const plotStepSeconds = 0.5

// AddPlots adds plots of the number of peers that the routers saw and of the rate of datagrams between them. Marks show
// where faults began.
func (e *Membership) AddPlots(r *report.Report, rate report.Line, marks []report.Mark) {
	fewest := report.Line{Name: "minimum over the routers"}
	most := report.Line{Name: "maximum over the routers"}
	for at := 0.0; at < e.Script.Duration; at += plotStepSeconds {
		low, high := e.peersSeenAt(at)
		fewest.Add(at, float64(low))
		most.Add(at, float64(high))
	}
	r.Plots = append(
		r.Plots,
		report.Plot{
			Title:  "Routers that each router sees as present",
			XLabel: "s",
			YLabel: "routers",
			Lines:  []report.Line{fewest, most},
			Marks:  marks,
		},
		report.Plot{
			Title:  "Datagrams between peers",
			XLabel: "s",
			YLabel: "datagrams per second and router",
			Lines:  []report.Line{rate},
			Marks:  marks,
		},
	)
}

// peersSeenAt returns the minimum and the maximum number of routers that a running router saw at a time, including
// itself.
func (e *Membership) peersSeenAt(at float64) (fewest, most int) {
	fewest = len(e.Routers)
	for _, router := range e.Routers {
		if !e.Script.IsRunning(router.index, at) {
			continue
		}
		seen := 1
		for peer := range len(e.Routers) {
			if peer != router.index && isPresent(router.peerStateAt(peer, at)) {
				seen++
			}
		}
		fewest, most = min(fewest, seen), max(most, seen)
	}
	return fewest, most
}
