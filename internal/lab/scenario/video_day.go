package scenario

import (
	"math"
	"math/rand/v2"
	"sort"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/lab/standin"
)

// A video-like day: views of objects by Zipf's law, chunks one after another, many views that end early, objects that
// are new and soon unpopular, and a night with a publication that many request.
const (
	dayObjects          = 20000
	minChunks           = 11 // of an object, as the users' objects have
	maxChunks           = 19
	chunkBytes          = 1 << 21 // as in the paper
	continueProbability = 0.88    // that a view goes on to the next chunk
	skipProbability     = 0.1     // that a view begins at another chunk than the first
	chunkPauseSeconds   = 0.6     // between a view's chunks, on average
	freshShare          = 0.15    // of views that go to objects published in the last hours
	freshSeconds        = 4 * 3600.0
	nightAt             = 0.8  // of the day: the publication
	nightLength         = 0.08 // of the day
	nightObjects        = 40
	nightShare          = 0.5 // of the night's views
	daySeconds          = 86400.0
	measuredFrom        = 0.4 // of the day: before, the disks fill

	firstNightObject = 1_000_000
	firstFreshObject = 2_000_000
)

// view is a request for a chunk.
type view struct {
	at   float64 // s of the day
	key  eviction.Key
	size int64
}

// dayGenerator draws a day's views.
type dayGenerator struct {
	rnd        *rand.Rand
	popularity *standin.Zipf
	views      float64 // about how many views the day has
}

// generateDay draws a day with a number of requests, in the order of time.
func generateDay(seed uint64, count int) []view {
	g := &dayGenerator{
		rnd:        rand.New(rand.NewPCG(seed, 0xda7)),
		popularity: standin.NewZipf(dayObjects),
		views:      float64(count) * (1 - continueProbability) * 1.15, // a view has 1/(1-continue) chunks at the most
	}
	day := make([]view, 0, count+maxChunks)
	for len(day) < count {
		at := g.rnd.Float64() * daySeconds
		load := 0.6 + 0.4*math.Sin(2*math.Pi*(at/daySeconds-0.4))
		if g.rnd.Float64() > load {
			continue
		}
		day = g.appendView(day, at, g.object(at))
	}
	sort.SliceStable(day, func(i, j int) bool { return day[i].at < day[j].at })
	return day[:min(count, len(day))]
}

// object draws the object of a view.
func (g *dayGenerator) object(at float64) uint64 {
	night := at/daySeconds - nightAt
	switch {
	case night > 0 && night < nightLength && g.rnd.Float64() < nightShare:
		return firstNightObject + uint64(g.rnd.IntN(nightObjects))
	case g.rnd.Float64() < freshShare: // one published lately, the younger the likelier
		age := -math.Log(1-g.rnd.Float64()) * freshSeconds / 3
		return firstFreshObject + uint64((at-min(age, at))/daySeconds*g.views*0.05)
	default:
		return g.popularity.Draw(g.rnd)
	}
}

// appendView appends the chunks of a view that begins at a time.
func (g *dayGenerator) appendView(day []view, at float64, object uint64) []view {
	chunks := chunksOf(object)
	first := 0
	if g.rnd.Float64() < skipProbability {
		first = g.rnd.IntN(chunks)
	}
	for chunk := first; chunk < chunks; chunk++ {
		day = append(day, view{at, eviction.Key{Object: object, Chunk: uint32(chunk)}, chunkBytes})
		at += chunkPauseSeconds * (0.6 + 0.8*g.rnd.Float64())
		if g.rnd.Float64() > continueProbability {
			break
		}
	}
	return day
}

// chunksOf is the number of chunks of an object.
func chunksOf(object uint64) int {
	const multiplier = 2654435761 // of Knuth's multiplicative hash
	return minChunks + int(object*multiplier>>7%uint64(maxChunks-minChunks+1))
}

// admissionOutcome is what a policy reaches over the measured part of the day.
type admissionOutcome struct {
	efficiency float64 // the paper's Eq. 2
	filled     float64 // share of the bytes
	passed     float64 // share of the bytes
}

// rereplayDay runs the requests of the day through a policy. Alpha is the cost of a fill over that of a pass.
func replayDay(day []view, policy eviction.Policy, alpha float64) admissionOutcome {
	var requested, filled, passed float64
	for _, view := range day {
		choice := policy.Request(view.at, view.key, view.size)
		if view.at < measuredFrom*daySeconds {
			continue
		}
		requested += float64(view.size)
		switch {
		case choice.Cached:
		case choice.Admit:
			filled += float64(view.size)
		default:
			passed += float64(view.size)
		}
	}
	fillCost, passCost := 2*alpha/(alpha+1), 2/(alpha+1)
	return admissionOutcome{
		efficiency: 1 - filled/requested*fillCost - passed/requested*passCost,
		filled:     filled / requested,
		passed:     passed / requested,
	}
}
