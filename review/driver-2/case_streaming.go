//go:build review

package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["streaming-client"] = streamingClient }

// Figures of the case streaming-client.
const (
	clientBytesPerSecond = 5_200_000 // "a client is sent 5.2 to 12 MB a second"
	clientReadBytes      = 52_000    // taken every 10 ms
	clientReadInterval   = 10 * time.Millisecond
	clientBufferBytes    = 128 << 10 // of the client's socket
	blockBytes           = 240_000   // the largest object
	streamingBlocks      = 26        // open at the same time; beside the records
	maxOpenRequests      = 32        // that the protocol allows on a connection
	blockTTL             = 5 * time.Second
	recordTTL            = 3 * time.Second // the time limit of the class
	recordInterval       = 150 * time.Millisecond
	streamingFor         = 12 * time.Second
	silentFrom           = 5 * time.Second
	silentFor            = 5 * time.Second // "a zone is lost for 5 s"
)

// pacedConn is a connection whose client takes clientBytesPerSecond.
type pacedConn struct {
	net.Conn
	next time.Time // when the client takes more
}

func (p *pacedConn) Read(b []byte) (int, error) {
	if wait := time.Until(p.next); wait > 0 {
		time.Sleep(wait)
	}
	n, err := p.Conn.Read(b[:min(len(b), clientReadBytes)])
	now := time.Now()
	if p.next.Before(now.Add(-clientReadInterval)) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(float64(n) / clientBytesPerSecond * float64(time.Second)))
	return n, err
}

// connectPaced connects a client that takes clientBytesPerSecond.
func connectPaced(rec *record, name, address string) (*client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(clientBufferBytes) // the system may keep its own size
	}
	c := &client{name: name, conn: &pacedConn{Conn: conn}, record: rec, requests: map[uint32]*clientRequest{}}
	go c.read()
	return c, nil
}

// silentZone answers blocks and records, but for the time in which the zone is lost.
type silentZone struct {
	mu     sync.Mutex
	silent bool
}

func (z *silentZone) set(silent bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.silent = silent
}

func (z *silentZone) decide(a attempt) reply {
	z.mu.Lock()
	defer z.mu.Unlock()
	switch {
	case z.silent:
		return reply{}
	case a.fields["profile"] == "record":
		return reply{delay: 15 * time.Millisecond, word: "served"}
	}
	return reply{delay: 15 * time.Millisecond, word: "served", body: strings.Repeat("b", blockBytes)}
}

// streamingClient lets a client take blocks as fast as its link allows and send records now and then, while the caches
// of the zone are silent for some seconds. It checks that each record gets its final answer in time.
func streamingClient(env *environment) error {
	zone := &silentZone{}
	b, err := startBoard()
	if err != nil {
		return err
	}
	defer b.close()
	var caches []*cache
	for _, kind := range []string{"box", "box", "origin"} {
		c, err := startCache(env.record, fmt.Sprintf("s-%08x", len(caches)+1), zoneOf(kind), kind, zone.decide)
		if err != nil {
			return err
		}
		defer c.close()
		caches = append(caches, c)
	}
	classes := []any{
		classSettings("block", "retryable", 0.4, 5, false), classSettings("record", "fragile", 0.7, 3, true),
	}
	router, err := startRouter(env, routerConfiguration(b.address(), 192, 1024, classes, caches...))
	defer router.stop()
	if err != nil {
		return err
	}
	c, err := connectPaced(env.record, "client", router.address)
	if err != nil {
		return err
	}
	defer c.close()
	if env.trouble {
		time.AfterFunc(silentFrom, func() { env.record.printf("the zone is lost"); zone.set(true) })
		time.AfterFunc(silentFrom+silentFor, func() { env.record.printf("the zone is back"); zone.set(false) })
	}
	s := &streamer{client: c}
	records := s.play(time.Now().Add(streamingFor))
	time.Sleep(recordTTL + answerSlack + time.Second)
	return judgeAnswers(env, c, records)
}

// zoneOf returns the zone of the caches of a kind.
func zoneOf(kind string) string {
	if kind == "box" {
		return "z1"
	}
	return "hub"
}

// streamer keeps a number of blocks asked for on one connection and sends records beside them.
type streamer struct {
	client *client
	stream uint32
}

// play sends requests until a time and returns the records.
func (s *streamer) play(end time.Time) (records []*clientRequest) {
	var blocks, openRecords []*clientRequest
	nextRecord := time.Now()
	for ; time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		blocks, openRecords = s.open(blocks), s.open(openRecords)
		for len(blocks) < streamingBlocks && len(blocks)+len(openRecords) < maxOpenRequests {
			blocks = append(blocks, s.send("block", blockTTL, nil))
		}
		if !time.Now().Before(nextRecord) && len(blocks)+len(openRecords) < maxOpenRequests {
			nextRecord = time.Now().Add(recordInterval)
			r := s.send("record", recordTTL, []byte("installed"))
			records, openRecords = append(records, r), append(openRecords, r)
		}
	}
	return records
}

func (s *streamer) send(class string, ttl time.Duration, body []byte) *clientRequest {
	s.stream++
	return s.client.send(s.stream, class, newID(), ttl, body, "heap", "240")
}

// open returns those of some requests that have no answer. They stay open after their time, as an answer is still owed.
func (s *streamer) open(requests []*clientRequest) (open []*clientRequest) {
	for _, r := range requests {
		if s.client.snapshot(r).answers == 0 {
			open = append(open, r)
		}
	}
	return open
}
