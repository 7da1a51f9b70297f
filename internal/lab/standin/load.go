package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"cairnfront/internal/lab/timing"
)

// Parameters of the load of all client groups.
const (
	LoadObjects        = 60
	LoadPartsPerObject = 6

	nonIdempotentMinDraw = 0.97 // a higher random number selects a non-idempotent request
	orderMaxDraw         = 0.03
	newObjectMaxDraw     = 0.4 // a lower one makes a client that watches a video request a new object
	videoShare           = 0.6 // share of videos among new objects; the others are page assets
	uncacheableObjects   = 9   // number of objects in each class that is not cacheable
	firstPageObject      = 0x100000
	firstRecordObject    = 0xffe0000
	firstOrderObject     = 0xfff0000
	requestBodyBytes     = 200
	maxClientPause       = 3 * time.Second
	videoDeadline        = 5 * time.Second
	pageDeadline         = 2500 * time.Millisecond
	uncacheableDeadline  = 3 * time.Second
)

// ClientGroup is the clients of one router. They request parts of videos, page assets and orders.
type ClientGroup struct {
	Addr          string
	Clients       int
	Seed          uint64
	Objects       int
	Parts         int
	Groups        int           // number of purge groups
	MeanPause     time.Duration // mean time between a client's requests
	OnResponse    func(ClientResponse)
	NonIdempotent bool // also send non-idempotent requests

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

// StartLoad starts client groups. The returned function stops them and waits; it may be called more than once.
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
		_ = timing.Sleep(ctx, min(pause, maxClientPause)) // the loop checks the context
	}
}

// requestGenerator generates the random requests of one client.
type requestGenerator struct {
	group      *ClientGroup
	popularity *Zipf
	rnd        *rand.Rand
	last       ClientRequest
}

// next returns the next random request and its id.
func (g *requestGenerator) next() (request ClientRequest, id string) {
	draw := g.rnd.Float64()
	switch {
	case draw > nonIdempotentMinDraw && g.group.NonIdempotent:
		g.last = g.record()
	case draw < orderMaxDraw:
		g.last = g.order()
	case draw < newObjectMaxDraw || g.last.Class != ClassVideoPart:
		g.last = g.newObject()
	default:
		g.nextPart()
	}
	g.last.group = int(g.last.Object % uint64(g.group.Groups))
	return g.last, fmt.Sprintf("%016x", g.rnd.Uint64())
}

// pause returns a random time until the next request.
func (g *requestGenerator) pause() time.Duration {
	return time.Duration(g.rnd.ExpFloat64() * float64(g.group.MeanPause))
}

func (g *requestGenerator) record() ClientRequest {
	return ClientRequest{
		Class:    ClassRecord,
		Object:   firstRecordObject + uint64(g.rnd.IntN(uncacheableObjects)),
		Body:     make([]byte, requestBodyBytes),
		Deadline: uncacheableDeadline,
	}
}

func (g *requestGenerator) order() ClientRequest {
	return ClientRequest{
		Class:          ClassPrintOrder,
		Object:         firstOrderObject + uint64(g.rnd.IntN(uncacheableObjects)),
		idempotencyKey: fmt.Sprintf("%016x%016x", g.rnd.Uint64(), g.rnd.Uint64()),
		Body:           make([]byte, requestBodyBytes),
		Deadline:       uncacheableDeadline,
	}
}

// newObject returns a request for the first part of a random video, or for a random page asset.
func (g *requestGenerator) newObject() ClientRequest {
	object := g.popularity.Draw(g.rnd)
	if g.rnd.Float64() < videoShare {
		return ClientRequest{Class: ClassVideoPart, Object: object + 1, Deadline: videoDeadline}
	}
	return ClientRequest{Class: ClassPageAsset, Object: firstPageObject + object, Deadline: pageDeadline}
}

// nextPart advances to the next part of the video, or after the last part to the start of another video.
func (g *requestGenerator) nextPart() {
	g.last.Part++
	if int(g.last.Part) >= g.group.Parts {
		g.last.Part = 0
		g.last.Object = g.popularity.Draw(g.rnd) + 1
	}
}
