package scenario

import (
	"math"
	"math/rand/v2"
	"sort"

	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/lab/standin"
)

// Parameters of a day of requests for video: the popularity of objects follows Zipf's law, chunks are requested in
// sequence, many views end early, some objects are new and soon unpopular, and at night a release attracts many views.
const (
	dayObjects          = 20000
	minChunks           = 11 // chunks per object, as in the users' objects
	maxChunks           = 19
	chunkBytes          = 1 << 21 // chunk size of the paper
	continueProbability = 0.88    // probability that a view continues with the next chunk
	skipProbability     = 0.1     // probability that a view does not begin at the first chunk
	chunkPauseSeconds   = 0.6     // mean time between two chunks of a view
	freshShare          = 0.15    // share of views of objects published in the last hours
	freshSeconds        = 4 * 3600.0
	releaseStart        = 0.8  // start of the release, as a share of the day
	releaseLength       = 0.08 // duration of the release, as a share of the day
	releaseObjects      = 40
	releaseShare        = 0.5 // share of the views during the release
	daySeconds          = 86400.0
	measuredFrom        = 0.4 // start of the measurement, as a share of the day; before it the disks fill

	firstReleaseObject = 1_000_000
	firstFreshObject   = 2_000_000
)

// view is a request for a chunk.
type view struct {
	at   float64 // seconds since the start of the day
	key  eviction.Key
	size int64
}

// dayGenerator generates the views of a day.
type dayGenerator struct {
	rnd        *rand.Rand
	popularity *standin.Zipf
	views      float64 // approximate number of views in the day
}

// generateDay returns a random day with a number of requests, ordered by time.
func generateDay(seed uint64, count int) []view {
	g := &dayGenerator{
		rnd:        rand.New(rand.NewPCG(seed, 0xda7)),
		popularity: standin.NewZipf(dayObjects),
		views:      float64(count) * (1 - continueProbability) * 1.15, // 1/(1-p) is the maximum mean of chunks
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

// object returns a random object for a view.
func (g *dayGenerator) object(at float64) uint64 {
	sinceRelease := at/daySeconds - releaseStart
	switch {
	case sinceRelease > 0 && sinceRelease < releaseLength && g.rnd.Float64() < releaseShare:
		return firstReleaseObject + uint64(g.rnd.IntN(releaseObjects))
	case g.rnd.Float64() < freshShare: // a recently published object; newer ones are more likely
		age := -math.Log(1-g.rnd.Float64()) * freshSeconds / 3
		return firstFreshObject + uint64((at-min(age, at))/daySeconds*g.views*0.05)
	default:
		return g.popularity.Draw(g.rnd)
	}
}

// appendView appends the chunk requests of a view that begins at a time.
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

// chunksOf returns the number of chunks of an object.
func chunksOf(object uint64) int {
	const multiplier = 2654435761 // multiplier of Knuth's multiplicative hash
	return minChunks + int(object*multiplier>>7%uint64(maxChunks-minChunks+1))
}

// admissionOutcome is the result of a policy over the measured part of the day.
type admissionOutcome struct {
	efficiency float64 // the paper's Eq. 2
	filled     float64 // as a share of the requested bytes
	passed     float64 // as a share of the requested bytes
}

// replayDay replays the requests of the day with a policy. Alpha is the ratio of the cost of a fill to the cost of
// passing a request on.
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
