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

const patience = 10 * time.Second

// discoveryStub is a discovery service that sends the events it was given, then a heartbeat, to each connection.
type discoveryStub struct {
	net.Listener
	mu     sync.Mutex
	events []discovery.Event
	conns  []net.Conn
}

func startDiscovery(t *testing.T) *discoveryStub {
	t.Helper()
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &discoveryStub{Listener: ln}
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
			b.mu.Lock()
			heartbeat := discovery.Event{Kind: discovery.Heartbeat}
			for _, ev := range append(append([]discovery.Event{}, b.events...), heartbeat) {
				text, _ := discovery.AppendEvent(nil, ev)
				_, _ = c.Write(text)
			}
			b.conns = append(b.conns, c)
			b.mu.Unlock()
		}
	}()
	return b
}

func (b *discoveryStub) publish(ev discovery.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ev.Revision = uint64(len(b.events) + 1)
	b.events = append(b.events, ev)
	text, _ := discovery.AppendEvent(nil, ev)
	for _, c := range b.conns {
		_, _ = c.Write(text)
	}
}

// testServer is a server in this process.
type testServer struct {
	*Server
	addr string
	stop func()
}

func start(t *testing.T, discoveryService *discoveryStub, change func(*Server)) *testServer {
	t.Helper()
	const configuration = "box: {rules: [{name: video}, {name: page, fresh_s: 10, stale_s: 10}, " +
		"{name: order, kept: false, effect: keyed}]}"
	rules, err := config.Parse("test", []byte(configuration))
	require.NoError(t, err)
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &Server{Config: rules.EdgeCache, Telemetry: telemetry.New(io.Discard, "")}
	server.Config.DiscoveryAddress, server.Config.DrainTimeout = discoveryService.Addr().String(), 0.2
	if change != nil {
		change(server)
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

func (r *testServer) update(id string, kind int) discovery.Event {
	endpoint := routing.Endpoint{ID: routing.EndpointID(id), Kind: kind, Weight: 8}
	return discovery.Event{
		Kind:      discovery.Update,
		Endpoints: []discovery.Endpoint{{Address: r.addr, Endpoint: endpoint}},
	}
}

// startOrigin starts a server with a synthetic origin.
func startOrigin(t *testing.T, discoveryService *discoveryStub) (*testServer, *SyntheticOrigin) {
	t.Helper()
	origin := &SyntheticOrigin{Seed: 7, MinBytes: 100, MaxBytes: 3000, Groups: 16, KeyRetention: time.Minute}
	running := start(t, discoveryService, func(server *Server) {
		server.Origin, server.Config.Role, server.Config.ID = origin, "origin", "s-000000ff"
	})
	discoveryService.publish(running.update("s-000000ff", 2))
	return running, origin
}

// testClient is a client of the cache protocol.
type testClient struct {
	net.Conn
	r *bufio.Reader
	n int
}

func (r *testServer) dial(t *testing.T) *testClient {
	t.Helper()
	c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", r.addr)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { _ = c.Close() })
	return &testClient{Conn: c, r: bufio.NewReader(c)}
}

func (a *testClient) next(t *testing.T) (id, word string, fields map[string]string, body string) {
	t.Helper()
	text, err := a.r.ReadString('\n')
	require.NoError(t, err)
	w := strings.Fields(text)
	require.Len(t, w, 4, text)
	n, err := strconv.Atoi(w[3])
	require.NoError(t, err)
	b := make([]byte, n+2)
	_, err = io.ReadFull(a.r, b)
	require.NoError(t, err)
	fields = map[string]string{}
	for pair := range strings.SplitSeq(w[2], ",") {
		k, v, _ := strings.Cut(pair, "=")
		fields[k] = v
	}
	return w[0], w[1], fields, string(b[:n])
}

func (a *testClient) request(t *testing.T, rule string, object int, more string) (string, map[string]string, string) {
	t.Helper()
	a.n++
	id := fmt.Sprintf("%016x", a.n)
	_, err := fmt.Fprintf(a, "do %s profile=%s,thing=%016x,nth=1,max=3000%s 0\r\n\r\n", id, rule, object, more)
	require.NoError(t, err)
	got, word, fields, body := a.next(t)
	require.Equal(t, id, got)
	return word, fields, body
}

// untilServed requests chunk 1 of an object until it is served.
func (a *testClient) untilServed(t *testing.T, object int, more string) {
	t.Helper()
	eventually(t, func() bool {
		word, _, _ := a.request(t, "video", object, more)
		return word == "served"
	})
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, patience, time.Millisecond)
}

// purgeNow is a purge of an object as of the next millisecond.
func purgeNow(object int) discovery.Event {
	return discovery.Event{
		Kind: discovery.PurgeObject,
		Purge: discovery.Purge{
			Object:   fmt.Sprintf("%016x", object),
			PurgedAt: float64(time.Now().UnixMilli()+1) / 1000,
		},
	}
}

// TestServerFillsCachesAndRevalidates plays requests against a server on loopback: a fill, a hit, a revalidation, a
// missing source, an unknown class, a repeated idempotency key and a purge. Each must have the response that the
// protocol names, and the repeated key must run once.
func TestServerFillsCachesAndRevalidates(t *testing.T) {
	discoveryService := startDiscovery(t)
	_, origin := startOrigin(t, discoveryService)
	server := start(t, discoveryService, nil)
	client := server.dial(t)
	const filled = ",parent=s-000000ff,shelf=2,hints=ride"
	client.untilServed(t, 9, filled)

	word, fields, body := client.request(t, "video", 5, filled)
	assert.Equal(t, "served", word)
	assert.Equal(t, "f", fields["remark"])
	assert.Equal(t, "5", fields["bucket"])
	assert.Equal(t, string(SyntheticBody(7, eviction.Key{Object: 5, Chunk: 1}, 0, 100, 3000)), body)
	word, fields, _ = client.request(t, "video", 5, "")
	assert.Equal(t, "served h", word+" "+fields["remark"])
	word, _, body = client.request(t, "video", 5, ",got="+fields["digest"])
	assert.Equal(t, "still_good", word)
	assert.Empty(t, body)
	word, _, _ = client.request(t, "video", 6, "")
	assert.Equal(t, "not_here", word, "no source is named")
	word, _, _ = client.request(t, "video", 6, ",parent=s-00000bad")
	assert.Equal(t, "overload", word, "a source that is not listed: nothing was executed")
	word, _, _ = client.request(t, "nothing", 6, "")
	assert.Equal(t, "crashed", word)

	for range 3 { // the origin does not execute a repeated idempotency key again
		word, _, _ = client.request(t, "order", 1, ",replay=k1,parent=s-000000ff")
		assert.Equal(t, "served", word)
	}
	assert.Len(t, origin.executed, 1)

	discoveryService.publish(purgeNow(5))
	eventually(t, func() bool { return server.Telemetry.Value("cache_purges_total") == 1 })
	word, _, _ = client.request(t, "video", 5, "")
	assert.Equal(t, "not_here", word, "purged")
}

// TestProbesAndProtocolErrors sends probes and then a line that is no command. A connection that goes on after it
// would read a body as commands. It must end, and be counted by its reason.
func TestProbesAndProtocolErrors(t *testing.T) {
	discoveryService := startDiscovery(t)
	server := start(t, discoveryService, nil)
	client := server.dial(t)
	_, _ = fmt.Fprint(client, "ping p1\r\ntop p2\r\n")
	id, word, _, _ := client.next(t)
	assert.Equal(t, "p1 green", id+" "+word)
	_, _, fields, _ := client.next(t)
	assert.Contains(t, fields["report"], "inflight:0")
	_, _ = fmt.Fprint(client, "what is this\r\n")
	_, err := client.r.ReadByte()
	require.Error(t, err, "the connection ends")
	eventually(t, func() bool {
		return server.Telemetry.Value(`connections_closed_total{side="cache_client",reason="protocol_error"}`) == 1
	})
}

// TestDrainAnswersOpenRequests stops a server while a request is open. A server that closes at once fails what it
// has accepted. The request must be answered first.
func TestDrainAnswersOpenRequests(t *testing.T) {
	discoveryService := startDiscovery(t)
	originServer, _ := startOrigin(t, discoveryService)
	slow := start(t, discoveryService, func(server *Server) {
		server.Config.Capacity.LatencyMS, server.Config.DrainTimeout = 100, 5
	})
	client := slow.dial(t)
	client.untilServed(t, 9, ",parent=s-000000ff")
	const command = "do 0123456789abcdef profile=video,thing=0000000000000005,nth=1,max=3000,parent=s-000000ff 0"
	_, _ = fmt.Fprint(client, command+"\r\n\r\n")
	eventually(t, func() bool { return originServer.Telemetry.Value(`cache_requests_total{class="video"}`) >= 2 })
	go slow.stop()
	_, word, _, _ := client.next(t)
	assert.Equal(t, "served", word)
}

// After a restart the chunks that were not purged meanwhile are served, the purged ones are not. When the event
// stream's numbering has restarted, copies are served only once their source has confirmed them.
func TestServerRestartsWithItsDisk(t *testing.T) {
	discoveryService := startDiscovery(t)
	originServer, _ := startOrigin(t, discoveryService)
	dir, err := vfs.MakeDir(t.TempDir() + "/d")
	require.NoError(t, err)
	with := func(server *Server) {
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
	const filled = ",parent=s-000000ff,shelf=2,hints=ride"
	server := start(t, discoveryService, with)
	client := server.dial(t)
	client.untilServed(t, 9, filled)
	for _, object := range []int{5, 6, 5, 6, 5, 6} {
		client.request(t, "video", object, filled)
	}
	eventually(t, func() bool { return server.Telemetry.Value("disk_chunks_written_total") >= 2 })
	server.stop()
	require.NoError(t, server.Disk.Close())

	discoveryService.publish(purgeNow(6))
	server = start(t, discoveryService, with)
	client = server.dial(t)
	client.untilServed(t, 5, "")
	word, _, _ := client.request(t, "video", 6, "")
	assert.Equal(t, "not_here", word)
	server.stop()
	require.NoError(t, server.Disk.Close())

	other := startDiscovery(t) // with other events under the same numbers
	other.publish(discovery.Event{Kind: discovery.PurgeGroup, Purge: discovery.Purge{Group: 200, PurgedAt: 1}})
	other.publish(originServer.update("s-000000ff", 2))
	server = start(t, other, with)
	client = server.dial(t)
	eventually(t, func() bool {
		return server.Telemetry.Value("cache_discovery_restarts_total") == 1 && server.Disk.Status().UpToDate
	})
	word, _, _ = client.request(t, "video", 5, "")
	assert.Equal(t, "not_here", word, "unconfirmed, and no source to confirm it")
	word, fields, _ := client.request(t, "video", 5, filled)
	assert.Equal(t, "served h", word+" "+fields["remark"])
	//nolint:testifylint // exact by intent
	assert.EqualValues(t, 1, server.Telemetry.Value("cache_copies_confirmed_total"))
	word, _, _ = client.request(t, "video", 5, "")
	assert.Equal(t, "served", word)
}
