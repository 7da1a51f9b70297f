package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Shape of the load that all client groups have.
const (
	loadObjects        = 60
	loadPartsPerObject = 6

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

// clientGroup is the clients of one router. They request parts of videos, page assets and orders.
type clientGroup struct {
	addr          string
	clients       int
	seed          uint64
	objects       int
	parts         int
	groups        int           // purge groups
	meanPause     time.Duration // between a client's requests
	onResponse    func(clientResponse)
	nonIdempotent bool // non-idempotent requests too

	mu              sync.Mutex
	secondResponses int64
}

// run runs the clients until the context ends.
func (group *clientGroup) run(ctx context.Context) {
	popularity := newZipf(group.objects)
	var clients sync.WaitGroup
	for i := range group.clients {
		clients.Go(func() {
			group.runClient(ctx, &requestGenerator{
				group:      group,
				popularity: popularity,
				rnd:        rand.New(rand.NewPCG(group.seed, uint64(i)+1)),
			})
		})
	}
	clients.Wait()
}

// startLoad starts client groups. The function that it returns ends them and waits; it may be called again.
func startLoad(ctx context.Context, groups ...*clientGroup) (stop func()) {
	loadCtx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	for _, group := range groups {
		running.Go(func() { group.run(loadCtx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

// runClient runs one client until the context ends.
func (group *clientGroup) runClient(ctx context.Context, generator *requestGenerator) {
	conn := &clientConn{}
	defer func() {
		group.mu.Lock()
		group.secondResponses += conn.secondResponses
		group.mu.Unlock()
		conn.close()
	}()
	for ctx.Err() == nil {
		request, id := generator.next()
		response, err := conn.send(group.addr, request, id)
		if err == nil {
			group.onResponse(response)
		}
		pause := generator.pause() + response.retryAfter
		_ = sleep(ctx, min(pause, maxClientPause))
	}
}

// requestGenerator draws the requests of one client.
type requestGenerator struct {
	group      *clientGroup
	popularity *zipf
	rnd        *rand.Rand
	last       clientRequest
}

// next draws the next request and its id.
func (g *requestGenerator) next() (request clientRequest, id string) {
	draw := g.rnd.Float64()
	switch {
	case draw > nonIdempotentAbove && g.group.nonIdempotent:
		g.last = g.record()
	case draw < orderBelow:
		g.last = g.order()
	case draw < newObjectBelow || g.last.class != classVideoPart:
		g.last = g.newObject()
	default:
		g.nextPart()
	}
	g.last.group = int(g.last.object % uint64(g.group.groups))
	return g.last, fmt.Sprintf("%016x", g.rnd.Uint64())
}

// pause draws the time until the next request.
func (g *requestGenerator) pause() time.Duration {
	return time.Duration(g.rnd.ExpFloat64() * float64(g.group.meanPause))
}

func (g *requestGenerator) record() clientRequest {
	return clientRequest{
		class:    classRecord,
		object:   firstRecordObject + uint64(g.rnd.IntN(smallObjects)),
		body:     make([]byte, requestBodyBytes),
		deadline: uncacheableDeadline,
	}
}

func (g *requestGenerator) order() clientRequest {
	return clientRequest{
		class:          classPrintOrder,
		object:         firstOrderObject + uint64(g.rnd.IntN(smallObjects)),
		idempotencyKey: fmt.Sprintf("%016x%016x", g.rnd.Uint64(), g.rnd.Uint64()),
		body:           make([]byte, requestBodyBytes),
		deadline:       uncacheableDeadline,
	}
}

// newObject is the first part of a video or a page asset.
func (g *requestGenerator) newObject() clientRequest {
	object := g.popularity.draw(g.rnd)
	if g.rnd.Float64() < videoShare {
		return clientRequest{class: classVideoPart, object: object + 1, deadline: videoDeadline}
	}
	return clientRequest{class: classPageAsset, object: firstPageObject + object, deadline: pageDeadline}
}

// nextPart goes on to the next part of the video, or to the start of another one.
func (g *requestGenerator) nextPart() {
	g.last.part++
	if int(g.last.part) >= g.group.parts {
		g.last.part = 0
		g.last.object = g.popularity.draw(g.rnd) + 1
	}
}
