package main

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/clientproto"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// For each seed, the soak test runs a few seconds of load on a router with all kinds of faults at once, until SIGKILL
// at the earliest time that the protocol allows, and verifies what clients and caches recorded. It measures times, so
// .ci/run runs a few seeds of it while no other test runs.
var (
	soakSeeds     = flag.Int("soak-seeds", 0, "number of seeds of the soak test")
	soakFirstSeed = flag.Int("soak-first-seed", 1, "first seed of the soak test")
)

const (
	soakParallel     = 4 // seeds that run concurrently
	soakLoad         = 3 * time.Second
	soakCaches       = 3
	soakClients      = 6
	maxBusyPauseMs   = 3    // longest pause in ms between two requests of a client that sends continuously
	soakIdleClients  = 60   // idle client connections
	maxSoakProblems  = 5    // problems printed per seed
	maxLogTail       = 3000 // last bytes of the router's log, printed on failure
	verifySlack      = 40 * time.Millisecond
	drainGrace       = time.Second            // setting stop_sending_within_s in bootstrapFile
	purgeGrace       = 500 * time.Millisecond // setting notice_time_s in bootstrapFile
	answerGrace      = 500 * time.Millisecond // an answer later than this after its deadline counts as lost
	cancelGrace      = 100 * time.Millisecond
	deadlineSlackMs  = 150
	idempotencySpanS = 5 // setting window_s in bootstrapFile
)

// Faults that are harmless alone may lose a request when they occur together. Each seed draws random load and faults of
// all kinds. At the end, every request must have an answer in time or a reason that the protocol accepts for having
// none, and no non-idempotent request may have run twice.
func TestSoak(t *testing.T) {
	slots := make(chan struct{}, soakParallel)
	for seed := *soakFirstSeed; seed < *soakFirstSeed+*soakSeeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			newSoak(t, seed).run()
		})
	}
}

// soak is one run of the soak test, with one seed.
type soak struct {
	t            *testing.T
	rng          *rand.Rand // not safe for concurrent use; only the goroutine of run uses it
	seed         uint64
	smallBuffers bool // caches with small socket buffers read late, partly or never, over few connections
	router       *steppedRouter
	caches       []*soakCache
	clients      sync.WaitGroup
	ending       chan struct{} // closed when SIGTERM is sent
	journal      soakJournal
	revision     uint64
}

func newSoak(t *testing.T, seed int) *soak {
	t.Helper()
	s := &soak{
		t: t, rng: rand.New(rand.NewPCG(uint64(seed), 0)), seed: uint64(seed), ending: make(chan struct{}), revision: 1,
	}
	s.smallBuffers = rand.New(rand.NewPCG(s.seed, 300)).IntN(2) == 0
	s.journal.requests = map[string]*soakRequest{}
	s.journal.purges = map[string]soakPurge{}
	var stubs []*cacheStub
	for i := range soakCaches + 1 { // the last one is the origin
		cache := newSoakCache(t, &s.journal, i, rand.New(rand.NewPCG(uint64(seed), uint64(100+i))), s.smallBuffers)
		s.caches = append(s.caches, cache)
		stubs = append(stubs, &cacheStub{Listener: cache.Listener})
	}
	s.router = startEditedRouter(t, s.editBootstrap, stubs[soakCaches], stubs[:soakCaches]...)
	return s
}

// editBootstrap lowers the descriptor limit if buffers are small, so that attempts share connections.
func (s *soak) editBootstrap(content []byte) []byte {
	if !s.smallBuffers {
		return content
	}
	return bytes.Replace(content, []byte(`"sockets":1024`), fmt.Appendf(nil, `"sockets":%d`, smallBufferSockets), 1)
}

// run injects random faults under load, terminates the router and verifies the journal.
func (s *soak) run() {
	for i := range soakClients {
		s.startClient(i)
	}
	if s.rng.IntN(2) == 0 {
		s.connectIdleClients()
	}
	end := time.Now().Add(soakLoad)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(50+s.rng.IntN(300)) * time.Millisecond)
		s.injectRandomEvent()
	}
	s.terminateRouter()
	s.clients.Wait()
	for _, cache := range s.caches {
		cache.endAttemptsOnPausedConnections()
	}
	s.t.Logf("small buffers %t, completed %s", s.smallBuffers, s.journal.completedShares())
	for _, problem := range s.journal.verify() {
		s.t.Error(problem)
	}
}

// injectRandomEvent triggers a random event or fault at the router, a cache or the discovery service.
func (s *soak) injectRandomEvent() {
	if s.smallBuffers && s.rng.IntN(3) == 0 {
		s.caches[s.rng.IntN(len(s.caches))].freeze(time.Duration(300+s.rng.IntN(1700)) * time.Millisecond)
		return
	}
	switch s.rng.IntN(8) {
	case 0: // a cache starts to drain; the last two caches never do
		cache := s.caches[s.rng.IntN(soakCaches-2)]
		s.publish(2, endpointRecord(uint32(cache.index+1), &cacheStub{Listener: cache.Listener}, 1))
		s.journal.drain(cache)
	case 1, 2: // a purge
		object := s.rng.IntN(soakObjects)
		purgedAt := time.Now()
		purgeTime := purgedAt
		if s.rng.IntN(2) == 0 { // the purge time follows the router's stepped clock
			purgeTime = purgeTime.Add(time.Duration(s.router.offset * float64(time.Second)))
		}
		payload := binary.BigEndian.AppendUint64(nil, uint64(object))
		s.publish(3, binary.BigEndian.AppendUint64(payload, uint64(purgeTime.UnixMilli())))
		s.journal.purge(soakObject(object), purgedAt)
	case 3: // a cache closes its idle connections or resets all
		s.caches[s.rng.IntN(len(s.caches))].endConnections(s.rng.IntN(2) == 0)
	case 4:
		assert.NoError(s.t, s.router.Process.Signal(syscall.SIGHUP))
	case 5:
		assert.NoError(s.t, s.router.Process.Signal(syscall.SIGUSR1))
	case 6:
		s.router.step(s.t, []float64{-3600, -5, 5, 3600}[s.rng.IntN(4)])
	case 7:
		s.router.discovery.simulateOutage(time.Duration(s.rng.IntN(600)) * time.Millisecond)
	}
}

// publish makes the discovery service send an event and waits until it is written to a connection.
func (s *soak) publish(kind byte, payload []byte) {
	s.revision++
	s.router.discovery.deliver(s.t, discoveryFrame(s.revision, kind, payload))
}

// terminateRouter sends SIGTERM, sometimes followed by other signals, and SIGKILL at the earliest time that the
// protocol allows.
func (s *soak) terminateRouter() {
	startedAt := time.Now()
	close(s.ending)
	series := []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGUSR1, syscall.SIGHUP}
	for _, signal := range series[:1+s.rng.IntN(len(series))] {
		//nolint:testifylint // assert: the journal must be verified after a failure too
		assert.NoError(s.t, s.router.Process.Signal(signal))
		time.Sleep(time.Duration(s.rng.IntN(80)) * time.Millisecond)
	}
	kill := time.AfterFunc(time.Until(startedAt.Add(maxDeadline+killDelay)), func() { _ = s.router.Process.Kill() })
	defer kill.Stop()
	s.router.stopping = true
	if err := <-s.router.exited; err != nil {
		log := s.router.log.String()
		s.t.Errorf("no exit 0 before SIGKILL, %v after %v: %v\n%s", time.Since(startedAt), startedAt.UTC(), err,
			log[max(0, len(log)-maxLogTail):])
	}
}

// connectIdleClients opens client connections that send nothing.
func (s *soak) connectIdleClients() {
	idleClients := soakIdleClients
	if s.smallBuffers {
		idleClients = smallBufferIdleClients
	}
	for range idleClients {
		conn, err := dialTCP(s.t.Context(), s.router.addr)
		require.NoError(s.t, err)
		s.t.Cleanup(func() { _ = conn.Close() })
	}
}

// startClient starts a client that sends requests, on one connection after another, until the router has exited. Every
// second client stops sending on a connection after GOAWAY.
func (s *soak) startClient(i int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(200+i)))
	s.clients.Go(func() {
		for {
			raw, err := dialTCP(s.t.Context(), s.router.addr)
			if err != nil {
				select {
				case <-s.ending:
					return
				case <-time.After(10 * time.Millisecond):
					continue
				}
			}
			c := &soakClient{
				Conn: raw, journal: &s.journal, rng: rng, honorsGoAway: i%2 == 0, maxPauseMs: 12,
				open: map[uint32]*soakRequest{},
			}
			if i%3 == 1 {
				c.maxPauseMs = maxBusyPauseMs
			}
			c.run()
		}
	})
}

// soakClient is one connection of a client. readAnswers marks it as ended.
type soakClient struct {
	net.Conn
	journal      *soakJournal
	rng          *rand.Rand
	honorsGoAway bool
	maxPauseMs   int // longest pause between two requests

	mu             sync.Mutex
	open           map[uint32]*soakRequest // requests without an answer, by stream
	goAwayReceived bool
	ended          bool
}

// run sends requests until the router has ended the connection or the client closes it.
func (c *soakClient) run() {
	read := make(chan struct{})
	go func() {
		defer close(read)
		c.readAnswers()
	}()
	closeAfter := 20 + c.rng.IntN(200)
	if c.maxPauseMs == maxBusyPauseMs { // sends until the router ends the connection
		closeAfter = math.MaxInt
	}
	for stream := uint32(1); ; stream++ {
		time.Sleep(time.Duration(c.rng.IntN(c.maxPauseMs)) * time.Millisecond)
		c.mu.Lock()
		done, idle, full := c.ended, c.goAwayReceived && c.honorsGoAway, len(c.open) >= 20
		c.mu.Unlock()
		switch {
		case done:
			_ = c.Close()
			<-read
			return
		case idle, full:
			stream--
		case int(stream) > closeAfter:
			c.closeWithOpenRequests()
			<-read
			return
		default:
			c.sendRequest(stream)
		}
		c.maybeCancelOne()
	}
}

// sendRequest writes a request, sometimes in two parts with a pause between them.
func (c *soakClient) sendRequest(stream uint32) {
	class := []string{"page", "page", "order", "write"}[c.rng.IntN(4)]
	ttl := []int{1, 5, 20, 200, 1000, 2500}[c.rng.IntN(6)]
	r := c.journal.newRequest(class, soakObject(c.rng.IntN(soakObjects)), time.Duration(ttl)*time.Millisecond)
	fields := []clientproto.Field{
		{Name: "op", Value: class},
		{Name: "call", Value: r.id},
		{Name: "ttl", Value: strconv.Itoa(ttl)},
		{Name: "row", Value: r.object},
		{Name: "seg", Value: "0"},
		{Name: "bucket", Value: "7"},
		{Name: "heap", Value: "10"},
	}
	body := ""
	if class == "write" {
		fields = append(fields, clientproto.Field{Name: "dedupe", Value: "k" + r.id})
		body = string(make([]byte, c.rng.IntN(48_000)))
	}
	payload := append(clientproto.AppendFields(nil, fields...), body...)
	frame := append(clientproto.AppendHeader(nil, clientproto.TypeRequest, stream, len(payload)), payload...)
	if piece := c.rng.IntN(4 * len(frame)); piece > 0 && piece < len(frame) {
		_, _ = c.Write(frame[:piece])
		time.Sleep(time.Duration(c.rng.IntN(20)) * time.Millisecond)
		frame = frame[piece:]
	}
	c.mu.Lock()
	c.open[stream] = r
	c.mu.Unlock()
	c.journal.sending(r)
	if _, err := c.Write(frame); err == nil {
		c.journal.sent(r)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended && c.open[stream] == r { // readAnswers ended before the request was registered
		c.journal.connectionEnded(r)
	}
}

// maybeCancelOne cancels an open request with a probability of 1/12.
func (c *soakClient) maybeCancelOne() {
	if c.rng.IntN(12) > 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for stream, r := range c.open {
		if _, err := c.Write(clientproto.AppendHeader(nil, clientproto.TypeCancel, stream, 0)); err == nil {
			c.journal.cancelled(r)
			delete(c.open, stream)
		}
		return
	}
}

// closeWithOpenRequests closes the connection while requests are open.
func (c *soakClient) closeWithOpenRequests() {
	c.mu.Lock()
	for stream, r := range c.open {
		c.journal.cancelled(r)
		delete(c.open, stream)
	}
	c.mu.Unlock()
	_ = c.Close()
}

func (c *soakClient) readAnswers() {
	head := make([]byte, clientproto.HeaderSize)
	for {
		if _, err := io.ReadFull(c, head); err != nil {
			break
		}
		h, err := clientproto.ParseHeader(head)
		if err != nil {
			break
		}
		payload := make([]byte, h.PayloadBytes)
		if _, err := io.ReadFull(c, payload); err != nil {
			break
		}
		c.mu.Lock()
		switch {
		case h.Type == clientproto.TypeGoAway:
			c.goAwayReceived = true
		case h.Type == clientproto.TypeResponse && c.open[h.StreamID] != nil:
			c.journal.answered(c.open[h.StreamID], payload[0])
			delete(c.open, h.StreamID)
		}
		c.mu.Unlock()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, r := range c.open {
		c.journal.connectionEnded(r)
	}
}
