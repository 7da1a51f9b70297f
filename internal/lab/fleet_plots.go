package lab

import (
	"cairnfront/internal/lab/report"
)

// plotStepSeconds is the time between two points of the plot of the peers seen.
const plotStepSeconds = 0.5

// datagramRate is the datagrams that a router sent, second by second of the script; the bytes become a figure.
func (fleet *routerFleet) datagramRate(r *report.Report) report.Line {
	rate := report.Line{Name: "datagrams a second a router"}
	offset := fleet.scriptStart.Sub(fleet.networkStart).Seconds()
	first, last := int(offset), int(offset+fleet.script.Duration)
	totalBytes := int64(0)
	for second := first; second < last; second++ {
		datagrams := int64(0)
		for i := range fleetSize {
			sent, bytes := fleet.network.SentBetween(i, second, second+1)
			datagrams += sent
			totalBytes += bytes
		}
		rate.Add(float64(second-first), float64(datagrams)/float64(fleetSize))
	}
	r.Figures["bytes_s_each"] = float64(totalBytes) / float64(fleetSize) / max(float64(last-first), 1)
	return rate
}

// addPlots adds the plots of how many peers the routers saw and of the datagrams between them.
func (fleet *routerFleet) addPlots(r *report.Report, rate report.Line) {
	fewest := report.Line{Name: "peers seen, least of all routers"}
	most := report.Line{Name: "most of all routers"}
	for at := 0.0; at < fleet.script.Duration; at += plotStepSeconds {
		low, high := fleet.peersSeenAt(at)
		fewest.Add(at, float64(low))
		most.Add(at, float64(high))
	}
	r.Plots = append(
		r.Plots,
		report.Plot{
			Title:  "How many of the routers each sees",
			XLabel: "s",
			YLabel: "routers",
			Lines:  []report.Line{fewest, most},
			Marks:  fleet.marks,
		},
		report.Plot{
			Title:  "Datagrams between peers",
			XLabel: "s",
			YLabel: "a second a router",
			Lines:  []report.Line{rate},
			Marks:  fleet.marks,
		},
	)
}

// peersSeenAt is the fewest and the most routers that a running router saw at a time, itself among them.
func (fleet *routerFleet) peersSeenAt(at float64) (fewest, most int) {
	fewest = fleetSize
	for _, router := range fleet.routers {
		if !fleet.script.IsRunning(router.index, at) {
			continue
		}
		seen := 1
		for peer := range fleetSize {
			if peer != router.index && isPresent(router.peerStateAt(peer, at)) {
				seen++
			}
		}
		fewest, most = min(fewest, seen), max(most, seen)
	}
	return fewest, most
}
