package lab

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"sort"
	"sync"
	"time"

	"cairnfront/internal/clientproto"
)

// clientRequest is one request as a client asks it.
type clientRequest struct {
	class          string
	object         uint64
	part           uint32
	group          int
	idempotencyKey string // of keyed rules
	body           []byte
	deadline       time.Duration
}

// clientResponse is what came of it.
type clientResponse struct {
	clientRequest
	id             string
	sentAt, doneAt float64 // Unix s
	code           byte
	body           []byte
	retryAfter     time.Duration
}

// The codes of responses.
const (
	codeRejected  = 0
	codeCompleted = 1
	codeAborted   = 9
	noAnswer      = 255 // on the client's side alone: no response came
)

// hasContent says whether completed responses of a request's class have a body that follows from the origin's seed.
func (request *clientRequest) hasContent() bool {
	return request.class != classPrintOrder && request.class != classRecord
}

// clientConn is a client's connection to a router: one request at a time.
type clientConn struct {
	conn            net.Conn
	stream          uint32
	secondResponses int64 // answers to a stream that had its own
}

// send asks one request and waits for its answer as long as a client does, and a little longer to see whether it is
// late.
func (client *clientConn) send(addr string, request clientRequest, id string) (clientResponse, error) {
	response := clientResponse{clientRequest: request, id: id, code: noAnswer}
	if client.conn == nil {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return response, err
		}
		client.conn, client.stream = c, 0
	}
	client.stream++
	fields := []clientproto.Field{
		{Name: "op", Value: request.class},
		{Name: "call", Value: id},
		{Name: "ttl", Value: fmt.Sprint(request.deadline.Milliseconds())},
		{Name: "row", Value: fmt.Sprintf("%016x", request.object)},
		{Name: "seg", Value: fmt.Sprint(request.part)},
		{Name: "bucket", Value: fmt.Sprint(request.group)},
		{Name: "heap", Value: "30"},
	}
	if request.idempotencyKey != "" {
		fields = append(fields, clientproto.Field{Name: "dedupe", Value: request.idempotencyKey})
	}
	payload := append(clientproto.AppendFields(nil, fields...), request.body...)
	response.sentAt = unixSeconds(time.Now())
	if _, err := client.conn.Write(append(clientproto.AppendHeader(
		nil,
		clientproto.TypeRequest,
		client.stream,
		len(payload),
	), payload...)); err != nil {
		client.close()
		return response, err
	}
	_ = client.conn.SetReadDeadline(time.Now().Add(request.deadline + 500*time.Millisecond))
	for {
		head := make([]byte, clientproto.HeaderSize)
		if _, err := io.ReadFull(client.conn, head); err != nil {
			client.close()
			return response, nil
		}
		h, err := clientproto.ParseHeader(head)
		if err != nil {
			client.close()
			return response, nil
		}
		body := make([]byte, h.PayloadBytes)
		if _, err := io.ReadFull(client.conn, body); err != nil {
			client.close()
			return response, nil
		}
		if h.Type != clientproto.TypeResponse {
			continue
		}
		if h.StreamID != client.stream {
			client.secondResponses++
			continue
		}
		response.doneAt = unixSeconds(time.Now())
		if len(body) == 0 {
			client.close()
			return response, nil
		}
		response.code = body[0]
		fields, rest, err := clientproto.ParseFields(body[1:])
		if err != nil {
			response.code = noAnswer
		}
		for _, f := range fields {
			if f.Name == "pushback" {
				var ms int64
				_, _ = fmt.Sscan(f.Value, &ms)
				response.retryAfter = time.Duration(ms) * time.Millisecond
			}
		}
		response.body = rest
		return response, nil
	}
}

func (client *clientConn) close() {
	if client.conn != nil {
		_ = client.conn.Close()
		client.conn = nil
	}
}

// clientGroup is the clients of one router: families who watch videos, leaf through pages and order prints.
type clientGroup struct {
	addr            string
	clients         int
	seed            uint64
	objects         int
	parts           int
	groups          int
	meanPause       time.Duration // mean between a client's requests
	onResponse      func(clientResponse)
	nonIdempotent   bool // non-idempotent requests too
	secondResponses int64
	mu              sync.Mutex
}

// run plays them until the context ends.
func (group *clientGroup) run(ctx context.Context) {
	cum := make([]float64, group.objects)
	sum := 0.0
	for i := range cum {
		sum += math.Pow(float64(i+1), -dayExponent)
		cum[i] = sum
	}
	var all sync.WaitGroup
	for i := range group.clients {
		all.Go(func() {
			r := rand.New(rand.NewPCG(group.seed, uint64(i)+1))
			client := &clientConn{}
			defer func() {
				group.mu.Lock()
				group.secondResponses += client.secondResponses
				group.mu.Unlock()
				client.close()
			}()
			request := clientRequest{}
			for ctx.Err() == nil {
				switch x := r.Float64(); {
				case x > 0.97 && group.nonIdempotent:
					request = clientRequest{
						class:    classRecord,
						object:   0xffe0000 + uint64(r.IntN(9)),
						body:     make([]byte, 200),
						deadline: 3 * time.Second,
					}
				case x < 0.03:
					request = clientRequest{
						class:          classPrintOrder,
						object:         0xfff0000 + uint64(r.IntN(9)),
						idempotencyKey: fmt.Sprintf("%016x%016x", r.Uint64(), r.Uint64()),
						body:           make([]byte, 200),
						deadline:       3 * time.Second,
					}
				case x < 0.4 || request.class != classVideoPart:
					request = clientRequest{
						class:    classPageAsset,
						object:   0x100000 + uint64(sort.SearchFloat64s(cum, r.Float64()*sum)),
						deadline: 2500 * time.Millisecond,
					}
					if r.Float64() < 0.6 {
						request.class, request.object, request.deadline = classVideoPart, request.object-0x100000+1, 5*time.Second
					}
				default: // the next part
					if request.part++; int(request.part) >= group.parts {
						request.part = 0
						request.object = uint64(sort.SearchFloat64s(cum, r.Float64()*sum)) + 1
					}
				}
				request.group = int(request.object % uint64(group.groups))
				rep, err := client.send(group.addr, request, fmt.Sprintf("%016x", r.Uint64()))
				if err == nil {
					group.onResponse(rep)
				}
				wait := time.Duration(r.ExpFloat64() * float64(group.meanPause))
				select {
				case <-ctx.Done():
				case <-time.After(min(wait+rep.retryAfter, 3*time.Second)):
				}
			}
		})
	}
	all.Wait()
}

// Shape of the load that all client groups have.
const (
	loadObjects        = 60
	loadPartsPerObject = 6
)

// newClientGroup makes the clients of a router. Their responses are recorded in the cluster.
func (cluster *testCluster) newClientGroup(router *routerProcess, clients int, meanPause time.Duration) *clientGroup {
	return &clientGroup{
		addr:       router.addr,
		clients:    clients,
		seed:       cluster.options.Seed,
		objects:    loadObjects,
		parts:      loadPartsPerObject,
		groups:     cluster.content.Groups,
		meanPause:  meanPause,
		onResponse: cluster.recordResponse,
	}
}
