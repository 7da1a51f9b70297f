package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cairnfront/internal/lab/timing"
)

// Shape of the load that all client groups have.
const (
	LoadObjects        = 60
	LoadPartsPerObject = 6

	nonIdempotentAbove  = 0.97 // of the draw that chooses a request's class
	orderBelow          = 0.03
	newObjectBelow      = 0.4 // where a client that watches a video goes on to something else
	videoShare          = 0.6 // of the new objects; the others are page assets
	smallObjects        = 9   // of those that are not cacheable
	firstPageObject     = 0x100000
	firstRecordObject   = 0xffe0000
	firstOrderObject    = 0xfff0000
	requestBodyBytes    = 200
	maxClientPause      = 3 * time.Second
	videoDeadline       = 5 * time.Second
	pageDeadline        = 2500 * time.Millisecond
	uncacheableDeadline = 3 * time.Second
)

// ClientGroup is the clients of one router. They request parts of videos, page assets and orders.
type ClientGroup struct {
	Addr          string
	Clients       int
	Seed          uint64
	Objects       int
	Parts         int
	Groups        int           // purge groups
	MeanPause     time.Duration // between a client's requests
	OnResponse    func(ClientResponse)
	NonIdempotent bool // non-idempotent requests too

	mu              sync.Mutex
	SecondResponses int64
}

// Run runs the clients until the context ends.
func (group *ClientGroup) Run(ctx context.Context) {
	popularity := NewZipf(group.Objects)
	var clients sync.WaitGroup
	for i := range group.Clients {
		clients.Go(func() {
			group.runClient(ctx, &requestGenerator{
				group:      group,
				popularity: popularity,
				rnd:        rand.New(rand.NewPCG(group.Seed, uint64(i)+1)),
			})
		})
	}
	clients.Wait()
}

// StartLoad starts client groups. The function that it returns ends them and waits; it may be called again.
func StartLoad(ctx context.Context, groups ...*ClientGroup) (stop func()) {
	loadCtx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, group := range groups {
		running.Go(func() { group.Run(loadCtx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// runClient runs one client until the context ends.
func (group *ClientGroup) runClient(ctx context.Context, generator *requestGenerator) {
	conn := &clientConn{}
	defer func() {
		group.mu.Lock()
		group.SecondResponses += conn.secondResponses
		group.mu.Unlock()
		conn.close()
	}()
	for ctx.Err() == nil {
		request, id := generator.next()
		response, err := conn.send(group.Addr, request, id)
		if err == nil {
			group.OnResponse(response)
		}
		pause := generator.pause() + response.RetryAfter
		_ = timing.Sleep(ctx, min(pause, maxClientPause)) // the loop asks the context
	}
}

// requestGenerator draws the requests of one client.
type requestGenerator struct {
	group      *ClientGroup
	popularity *Zipf
	rnd        *rand.Rand
	last       ClientRequest
}

// next draws the next request and its id.
func (g *requestGenerator) next() (request ClientRequest, id string) {
	draw := g.rnd.Float64()
	switch {
	case draw > nonIdempotentAbove && g.group.NonIdempotent:
		g.last = g.record()
	case draw < orderBelow:
		g.last = g.order()
	case draw < newObjectBelow || g.last.Class != ClassVideoPart:
		g.last = g.newObject()
	default:
		g.nextPart()
	}
	g.last.group = int(g.last.Object % uint64(g.group.Groups))
	return g.last, fmt.Sprintf("%016x", g.rnd.Uint64())
}

// pause draws the time until the next request.
func (g *requestGenerator) pause() time.Duration {
	return time.Duration(g.rnd.ExpFloat64() * float64(g.group.MeanPause))
}

func (g *requestGenerator) record() ClientRequest {
	return ClientRequest{
		Class:    ClassRecord,
		Object:   firstRecordObject + uint64(g.rnd.IntN(smallObjects)),
		Body:     make([]byte, requestBodyBytes),
		Deadline: uncacheableDeadline,
	}
}

func (g *requestGenerator) order() ClientRequest {
	return ClientRequest{
		Class:          ClassPrintOrder,
		Object:         firstOrderObject + uint64(g.rnd.IntN(smallObjects)),
		idempotencyKey: fmt.Sprintf("%016x%016x", g.rnd.Uint64(), g.rnd.Uint64()),
		Body:           make([]byte, requestBodyBytes),
		Deadline:       uncacheableDeadline,
	}
}

// newObject is the first part of a video or a page asset.
func (g *requestGenerator) newObject() ClientRequest {
	object := g.popularity.Draw(g.rnd)
	if g.rnd.Float64() < videoShare {
		return ClientRequest{Class: ClassVideoPart, Object: object + 1, Deadline: videoDeadline}
	}
	return ClientRequest{Class: ClassPageAsset, Object: firstPageObject + object, Deadline: pageDeadline}
}

// nextPart goes on to the next part of the video, or to the start of another one.
func (g *requestGenerator) nextPart() {
	g.last.Part++
	if int(g.last.Part) >= g.group.Parts {
		g.last.Part = 0
		g.last.Object = g.popularity.Draw(g.rnd) + 1
	}
}
