package edgecache

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnfront/internal/config"
	"cairnfront/internal/discovery"
	"cairnfront/internal/diskcache"
	"cairnfront/internal/diskcache/eviction"
	"cairnfront/internal/diskcache/vfs"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testTimeout = 10 * time.Second

// discoveryStub is a discovery service that sends its events and then a heartbeat on each new connection.
type discoveryStub struct {
	net.Listener
	mu     sync.Mutex
	events []discovery.Event
	conns  []net.Conn
}

func startDiscoveryStub(t *testing.T) *discoveryStub {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	stub := &discoveryStub{Listener: ln}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := io.ReadFull(c, make([]byte, 8)); err != nil {
				continue
			}
			stub.mu.Lock()
			heartbeat := discovery.Event{Kind: discovery.Heartbeat}
			for _, ev := range append(append([]discovery.Event{}, stub.events...), heartbeat) {
				text, _ := discovery.AppendEvent(nil, ev)
				_, _ = c.Write(text)
			}
			stub.conns = append(stub.conns, c)
			stub.mu.Unlock()
		}
	}()
	return stub
}

func (d *discoveryStub) publish(ev discovery.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ev.Revision = uint64(len(d.events) + 1)
	d.events = append(d.events, ev)
	text, _ := discovery.AppendEvent(nil, ev)
	for _, c := range d.conns {
		_, _ = c.Write(text)
	}
}

// testServer is a cache server that runs in the test process.
type testServer struct {
	*Server
	addr string
	stop func()
}

func startServer(t *testing.T, discoveryService *discoveryStub, configure func(*Server)) *testServer {
	t.Helper()
	const configuration = "box: {rules: [{name: video}, {name: page, fresh_s: 10, stale_s: 10}, " +
		"{name: order, kept: false, effect: keyed}]}"
	parsed, err := config.Parse("test", []byte(configuration))
	require.NoError(t, err)
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &Server{Config: parsed.EdgeCache, Telemetry: telemetry.New(io.Discard, "")}
	server.Config.DiscoveryAddress, server.Config.DrainTimeout = discoveryService.Addr().String(), 0.2
	if configure != nil {
		configure(server)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = server.Run(ctx, ln); close(done) }()
	var once sync.Once
	stop := func() { once.Do(func() { cancel(); <-done }) }
	running := &testServer{Server: server, addr: ln.Addr().String(), stop: stop}
	t.Cleanup(running.stop)
	eventually(t, func() bool {
		return running.Telemetry.Value(`connections_opened_total{side="discovery"}`) > 0 || running.Origin != nil
	})
	return running
}

func (s *testServer) endpointUpdate(id string, kind int) discovery.Event {
	endpoint := routing.Endpoint{ID: routing.EndpointID(id), Kind: kind, Weight: 8}
	return discovery.Event{
		Kind:      discovery.Update,
		Endpoints: []discovery.Endpoint{{Address: s.addr, Endpoint: endpoint}},
	}
}

// startOrigin starts an origin server with synthetic content and publishes its endpoint.
func startOrigin(t *testing.T, discoveryService *discoveryStub) (*testServer, *SyntheticOrigin) {
	t.Helper()
	origin := &SyntheticOrigin{Seed: 7, MinBytes: 100, MaxBytes: 3000, Groups: 16, KeyRetention: time.Minute}
	running := startServer(t, discoveryService, func(server *Server) {
		server.Origin, server.Config.Role, server.Config.ID = origin, "origin", "s-000000ff"
	})
	discoveryService.publish(running.endpointUpdate("s-000000ff", 2))
	return running, origin
}

// testClient is a client that speaks the cache protocol.
type testClient struct {
	net.Conn
	reader       *bufio.Reader
	requestCount int
}

func (s *testServer) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", s.addr)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	t.Cleanup(func() { _ = c.Close() })
	return &testClient{Conn: c, reader: bufio.NewReader(c)}
}

func (c *testClient) readResponse(t *testing.T) (id, result string, fields map[string]string, body string) {
	t.Helper()
	text, err := c.reader.ReadString('\n')
	require.NoError(t, err)
	words := strings.Fields(text)
	require.Len(t, words, 4, text)
	bodyBytes, err := strconv.Atoi(words[3])
	require.NoError(t, err)
	bodyAndLineEnd := make([]byte, bodyBytes+2)
	_, err = io.ReadFull(c.reader, bodyAndLineEnd)
	require.NoError(t, err)
	fields = map[string]string{}
	for pair := range strings.SplitSeq(words[2], ",") {
		name, value, _ := strings.Cut(pair, "=")
		fields[name] = value
	}
	return words[0], words[1], fields, string(bodyAndLineEnd[:bodyBytes])
}

func (c *testClient) request(
	t *testing.T, class string, object int, extraFields string,
) (string, map[string]string, string) {
	t.Helper()
	c.requestCount++
	id := fmt.Sprintf("%016x", c.requestCount)
	_, err := fmt.Fprintf(c, "do %s profile=%s,thing=%016x,nth=1,max=3000%s 0\r\n\r\n", id, class, object, extraFields)
	require.NoError(t, err)
	responseID, result, fields, body := c.readResponse(t)
	require.Equal(t, id, responseID)
	return result, fields, body
}

// requestUntilServed repeats a request for chunk 1 of an object until the server responds with it.
func (c *testClient) requestUntilServed(t *testing.T, object int, extraFields string) {
	t.Helper()
	eventually(t, func() bool {
		result, _, _ := c.request(t, "video", object, extraFields)
		return result == "served"
	})
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, testTimeout, time.Millisecond)
}

// purgeNow returns a purge event for an object that takes effect in the next millisecond.
func purgeNow(object int) discovery.Event {
	return discovery.Event{
		Kind: discovery.PurgeObject,
		Purge: discovery.Purge{
			Object:   fmt.Sprintf("%016x", object),
			PurgedAt: float64(time.Now().UnixMilli()+1) / 1000,
		},
	}
}

// TestServerFillsCachesAndRevalidates sends requests to a server on loopback: a fill, a hit, a revalidation, a missing
// source, an unknown class, a repeated idempotency key and a purge. Each must get the response that the protocol
// specifies, and the origin must execute the repeated key only once.
func TestServerFillsCachesAndRevalidates(t *testing.T) {
	discoveryService := startDiscoveryStub(t)
	_, origin := startOrigin(t, discoveryService)
	server := startServer(t, discoveryService, nil)
	client := server.dial(t)
	const fillFields = ",parent=s-000000ff,shelf=2,hints=ride"
	client.requestUntilServed(t, 9, fillFields)

	result, fields, body := client.request(t, "video", 5, fillFields)
	assert.Equal(t, "served", result)
	assert.Equal(t, "f", fields["remark"])
	assert.Equal(t, "5", fields["bucket"])
	assert.Equal(t, string(SyntheticBody(7, eviction.Key{Object: 5, Chunk: 1}, 0, 100, 3000)), body)
	result, fields, _ = client.request(t, "video", 5, "")
	assert.Equal(t, "served h", result+" "+fields["remark"])
	result, _, body = client.request(t, "video", 5, ",got="+fields["digest"])
	assert.Equal(t, "still_good", result)
	assert.Empty(t, body)
	result, _, _ = client.request(t, "video", 6, "")
	assert.Equal(t, "not_here", result, "the request names no source")
	result, _, _ = client.request(t, "video", 6, ",parent=s-00000bad")
	assert.Equal(t, "overload", result, "the source is not in the endpoint list, so nothing was executed")
	result, _, _ = client.request(t, "nothing", 6, "")
	assert.Equal(t, "crashed", result)

	for range 3 { // the origin does not execute a repeated idempotency key again
		result, _, _ = client.request(t, "order", 1, ",replay=k1,parent=s-000000ff")
		assert.Equal(t, "served", result)
	}
	assert.Len(t, origin.executedAt, 1)

	discoveryService.publish(purgeNow(5))
	eventually(t, func() bool { return server.Telemetry.Value("cache_purges_total") == 1 })
	result, _, _ = client.request(t, "video", 5, "")
	assert.Equal(t, "not_here", result, "the chunk was purged")
}

// TestProbesAndProtocolErrors sends probes and then a line that is not a command. If the connection stayed open, the
// server could read a body as commands. The server must close it and count the close with its reason.
func TestProbesAndProtocolErrors(t *testing.T) {
	discoveryService := startDiscoveryStub(t)
	server := startServer(t, discoveryService, nil)
	client := server.dial(t)
	_, _ = fmt.Fprint(client, "ping p1\r\ntop p2\r\n")
	id, result, _, _ := client.readResponse(t)
	assert.Equal(t, "p1 green", id+" "+result)
	_, _, fields, _ := client.readResponse(t)
	assert.Contains(t, fields["report"], "inflight:0")
	_, _ = fmt.Fprint(client, "what is this\r\n")
	_, err := client.reader.ReadByte()
	require.Error(t, err, "the server closes the connection")
	eventually(t, func() bool {
		return server.Telemetry.Value(`connections_closed_total{side="cache_client",reason="protocol_error"}`) == 1
	})
}

// TestDrainAnswersOpenRequests stops a server while a request is open. A server that closed its connections immediately
// would fail requests that it has accepted. The request must be answered before the server stops.
func TestDrainAnswersOpenRequests(t *testing.T) {
	discoveryService := startDiscoveryStub(t)
	originServer, _ := startOrigin(t, discoveryService)
	slowServer := startServer(t, discoveryService, func(server *Server) {
		server.Config.Capacity.LatencyMS, server.Config.DrainTimeout = 100, 5
	})
	client := slowServer.dial(t)
	client.requestUntilServed(t, 9, ",parent=s-000000ff")
	const command = "do 0123456789abcdef profile=video,thing=0000000000000005,nth=1,max=3000,parent=s-000000ff 0"
	_, _ = fmt.Fprint(client, command+"\r\n\r\n")
	eventually(t, func() bool { return originServer.Telemetry.Value(`cache_requests_total{class="video"}`) >= 2 })
	go slowServer.stop()
	_, result, _, _ := client.readResponse(t)
	assert.Equal(t, "served", result)
}

// TestServerRestartsWithItsDisk restarts a server with its disk cache. Chunks that were purged while it was stopped
// must not be served, all others must be. If the numbering of discovery events has restarted, purges may have been
// missed, so copies must be served only after their source has confirmed them.
func TestServerRestartsWithItsDisk(t *testing.T) {
	discoveryService := startDiscoveryStub(t)
	originServer, _ := startOrigin(t, discoveryService)
	dir, err := vfs.MakeDir(t.TempDir() + "/d")
	require.NoError(t, err)
	withDiskCache := func(server *Server) {
		diskConfig := DiskCacheConfig(config.DiskCache{
			CapacityMB:   8,
			SegmentMB:    1,
			Alpha:        1,
			GhostEntries: 100,
			Readers:      2,
			ReadQueue:    9,
			ReadTimeout:  1,
			WriteQueue:   9,
			SyncInterval: 0.01,
		})
		var err error
		server.Disk, _, err = diskcache.OpenCache(dir, diskConfig, server.Telemetry, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
	}
	const fillFields = ",parent=s-000000ff,shelf=2,hints=ride"
	server := startServer(t, discoveryService, withDiskCache)
	client := server.dial(t)
	client.requestUntilServed(t, 9, fillFields)
	for _, object := range []int{5, 6, 5, 6, 5, 6} {
		client.request(t, "video", object, fillFields)
	}
	eventually(t, func() bool { return server.Telemetry.Value("disk_chunks_written_total") >= 2 })
	server.stop()
	require.NoError(t, server.Disk.Close())

	discoveryService.publish(purgeNow(6))
	server = startServer(t, discoveryService, withDiskCache)
	client = server.dial(t)
	client.requestUntilServed(t, 5, "")
	result, _, _ := client.request(t, "video", 6, "")
	assert.Equal(t, "not_here", result)
	server.stop()
	require.NoError(t, server.Disk.Close())

	restartedDiscovery := startDiscoveryStub(t) // other events with the same revision numbers
	restartedDiscovery.publish(discovery.Event{
		Kind:  discovery.PurgeGroup,
		Purge: discovery.Purge{Group: 200, PurgedAt: 1},
	})
	restartedDiscovery.publish(originServer.endpointUpdate("s-000000ff", 2))
	server = startServer(t, restartedDiscovery, withDiskCache)
	client = server.dial(t)
	eventually(t, func() bool {
		return server.Telemetry.Value("cache_discovery_restarts_total") == 1 && server.Disk.Status().UpToDate
	})
	result, _, _ = client.request(t, "video", 5, "")
	assert.Equal(t, "not_here", result, "the copy is unconfirmed and the request names no source to confirm it")
	result, fields, _ := client.request(t, "video", 5, fillFields)
	assert.Equal(t, "served h", result+" "+fields["remark"])
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, server.Telemetry.Value("cache_copies_confirmed_total"))
	result, _, _ = client.request(t, "video", 5, "")
	assert.Equal(t, "served", result)
}
