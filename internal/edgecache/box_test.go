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

// told is a notice board that tells what it is given, then a beat, to each connection.
type told struct {
	net.Listener
	mu     sync.Mutex
	events []discovery.Event
	conns  []net.Conn
}

func startBoard(t *testing.T) *told {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &told{Listener: ln}
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
			for _, ev := range append(append([]discovery.Event{}, b.events...), discovery.Event{Kind: discovery.Heartbeat}) {
				text, _ := discovery.AppendEvent(nil, ev)
				_, _ = c.Write(text)
			}
			b.conns = append(b.conns, c)
			b.mu.Unlock()
		}
	}()
	return b
}

func (b *told) tell(ev discovery.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	ev.Revision = uint64(len(b.events) + 1)
	b.events = append(b.events, ev)
	text, _ := discovery.AppendEvent(nil, ev)
	for _, c := range b.conns {
		_, _ = c.Write(text)
	}
}

// running is a box in this process.
type running struct {
	*Server
	addr string
	stop func()
}

func start(t *testing.T, b *told, change func(*Server)) *running {
	t.Helper()
	rules, err := config.Parse("test", []byte("box: {rules: [{name: video}, {name: page, fresh_s: 10, stale_s: 10}, {name: order, kept: false, effect: keyed}]}"))
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	x := &Server{Config: rules.EdgeCache, Telemetry: telemetry.New(io.Discard, "")}
	x.Config.DiscoveryAddress, x.Config.DrainTimeout = b.Addr().String(), 0.2
	if change != nil {
		change(x)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = x.Run(ctx, ln); close(done) }()
	var once sync.Once
	r := &running{Server: x, addr: ln.Addr().String(), stop: func() { once.Do(func() { cancel(); <-done }) }}
	t.Cleanup(r.stop)
	require.Eventually(t, func() bool { return r.Telemetry.Value("conn.board.begun") > 0 || r.Origin != nil }, patience, time.Millisecond)
	return r
}

func (r *running) row(id string, kind int) discovery.Event {
	return discovery.Event{Kind: discovery.Update, Endpoints: []discovery.Endpoint{{Address: r.addr, Endpoint: routing.Endpoint{ID: routing.EndpointID(id), Kind: kind, Weight: 8}}}}
}

// origin starts one whose objects have versions that a test sets.
func origin(t *testing.T, b *told) (*running, *SyntheticOrigin) {
	m := &SyntheticOrigin{Seed: 7, MinBytes: 100, MaxBytes: 3000, Groups: 16, KeyRetention: time.Minute}
	r := start(t, b, func(x *Server) { x.Origin, x.Config.Role, x.Config.ID = m, "origin", "s-000000ff" })
	b.tell(r.row("s-000000ff", 2))
	return r, m
}

// asker speaks the routers' side.
type asker struct {
	net.Conn
	r *bufio.Reader
	n int
}

func (r *running) dial(t *testing.T) *asker {
	c, err := net.Dial("tcp", r.addr)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { _ = c.Close() })
	return &asker{Conn: c, r: bufio.NewReader(c)}
}

func (a *asker) next(t *testing.T) (id, word string, fields map[string]string, body string) {
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

func (a *asker) ask(t *testing.T, rule string, object int, more string) (string, map[string]string, string) {
	a.n++
	id := fmt.Sprintf("%016x", a.n)
	_, err := fmt.Fprintf(a, "do %s profile=%s,thing=%016x,nth=1,max=3000%s 0\r\n\r\n", id, rule, object, more)
	require.NoError(t, err)
	got, word, fields, body := a.next(t)
	require.Equal(t, id, got)
	return word, fields, body
}

func TestABoxFillsKeepsAndConfirms(t *testing.T) {
	b := startBoard(t)
	_, m := origin(t, b)
	x := start(t, b, nil)
	a := x.dial(t)
	const filled = ",parent=s-000000ff,shelf=2,hints=ride"
	require.Eventually(t, func() bool { word, _, _ := a.ask(t, "video", 9, filled); return word == "served" }, patience, time.Millisecond)

	word, f, body := a.ask(t, "video", 5, filled)
	assert.Equal(t, "served", word)
	assert.Equal(t, "f", f["remark"])
	assert.Equal(t, "5", f["bucket"])
	assert.Equal(t, string(SyntheticBody(7, eviction.Key{Object: 5, Chunk: 1}, 0, 100, 3000)), body)
	word, f, _ = a.ask(t, "video", 5, "")
	assert.Equal(t, "served h", word+" "+f["remark"])
	word, _, body = a.ask(t, "video", 5, ",got="+f["digest"])
	assert.Equal(t, "still_good", word)
	assert.Empty(t, body)
	word, _, _ = a.ask(t, "video", 6, "")
	assert.Equal(t, "not_here", word, "no source is named")
	word, _, _ = a.ask(t, "video", 6, ",parent=s-00000bad")
	assert.Equal(t, "overload", word, "a source that is not listed: nothing ran")
	word, _, _ = a.ask(t, "nothing", 6, "")
	assert.Equal(t, "crashed", word)

	for range 3 { // a keyed repeat is dropped at the origin
		word, _, _ = a.ask(t, "order", 1, ",replay=k1,parent=s-000000ff")
		assert.Equal(t, "served", word)
	}
	assert.Len(t, m.keys, 1)

	b.tell(discovery.Event{Kind: discovery.PurgeObject, Purge: discovery.Purge{Object: fmt.Sprintf("%016x", 5), PurgedAt: float64(time.Now().UnixMilli()+1) / 1000}})
	require.Eventually(t, func() bool { return x.Telemetry.Value("box.purges") == 1 }, patience, time.Millisecond)
	word, _, _ = a.ask(t, "video", 5, "")
	assert.Equal(t, "not_here", word, "purged")
}

func TestChecksAndWhatCanNotBeRead(t *testing.T) {
	b := startBoard(t)
	x := start(t, b, nil)
	a := x.dial(t)
	_, _ = fmt.Fprint(a, "ping p1\r\ntop p2\r\n")
	id, word, _, _ := a.next(t)
	assert.Equal(t, "p1 green", id+" "+word)
	_, _, f, _ := a.next(t)
	assert.Contains(t, f["report"], "inflight:0")
	_, _ = fmt.Fprint(a, "what is this\r\n")
	_, err := a.r.ReadByte()
	assert.Error(t, err, "the connection ends")
	require.Eventually(t, func() bool { return x.Telemetry.Value("conn.asker.ended.protocol") == 1 }, patience, time.Millisecond)
}

func TestADrainAnswersWhatIsOpen(t *testing.T) {
	b := startBoard(t)
	o, _ := origin(t, b)
	slow := start(t, b, func(x *Server) { x.Config.Capacity.LatencyMS, x.Config.DrainTimeout = 100, 5 })
	a := slow.dial(t)
	require.Eventually(t, func() bool { word, _, _ := a.ask(t, "video", 9, ",parent=s-000000ff"); return word == "served" }, patience, time.Millisecond)
	_, _ = fmt.Fprint(a, "do 0123456789abcdef profile=video,thing=0000000000000005,nth=1,max=3000,parent=s-000000ff 0\r\n\r\n")
	require.Eventually(t, func() bool { return o.Telemetry.Value("box.txns.video") >= 2 }, patience, time.Millisecond)
	go slow.stop()
	_, word, _, _ := a.next(t)
	assert.Equal(t, "served", word)
}

// A box returns with its disk: what was not purged meanwhile is there, what was is not; and where the board's numbers
// began anew, copies are served only once their source has confirmed them.
func TestABoxReturnsWithItsDisk(t *testing.T) {
	b := startBoard(t)
	o, _ := origin(t, b)
	dir, err := vfs.MakeDir(t.TempDir() + "/d")
	require.NoError(t, err)
	with := func(x *Server) {
		p := DiskCacheConfig(config.DiskCache{CapacityMB: 8, SegmentMB: 1, Alpha: 1, GhostEntries: 100, Readers: 2, ReadQueue: 9, ReadTimeout: 1, WriteQueue: 9, SyncInterval: 0.01})
		var err error
		x.Disk, _, err = diskcache.OpenCache(dir, p, x.Telemetry, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
	}
	const filled = ",parent=s-000000ff,shelf=2,hints=ride"
	x := start(t, b, with)
	a := x.dial(t)
	require.Eventually(t, func() bool { word, _, _ := a.ask(t, "video", 9, filled); return word == "served" }, patience, time.Millisecond)
	for _, object := range []int{5, 6, 5, 6, 5, 6} {
		a.ask(t, "video", object, filled)
	}
	require.Eventually(t, func() bool { return x.Telemetry.Value("tier.write.parts") >= 2 }, patience, time.Millisecond)
	x.stop()
	require.NoError(t, x.Disk.Close())

	b.tell(discovery.Event{Kind: discovery.PurgeObject, Purge: discovery.Purge{Object: fmt.Sprintf("%016x", 6), PurgedAt: float64(time.Now().UnixMilli()+1) / 1000}})
	x = start(t, b, with)
	a = x.dial(t)
	require.Eventually(t, func() bool { word, _, _ := a.ask(t, "video", 5, ""); return word == "served" }, patience, time.Millisecond)
	word, _, _ := a.ask(t, "video", 6, "")
	assert.Equal(t, "not_here", word)
	x.stop()
	require.NoError(t, x.Disk.Close())

	other := startBoard(t) // which tells other events under the same numbers
	other.tell(discovery.Event{Kind: discovery.PurgeGroup, Purge: discovery.Purge{Group: 200, PurgedAt: 1}})
	other.tell(o.row("s-000000ff", 2))
	x = start(t, other, with)
	a = x.dial(t)
	require.Eventually(t, func() bool { return x.Telemetry.Value("box.board-anew") == 1 && x.Disk.Status().UpToDate }, patience, time.Millisecond)
	word, _, _ = a.ask(t, "video", 5, "")
	assert.Equal(t, "not_here", word, "on probation, and nobody to confirm it")
	word, f, _ := a.ask(t, "video", 5, filled)
	assert.Equal(t, "served h", word+" "+f["remark"])
	assert.Equal(t, int64(1), x.Telemetry.Value("box.confirmed"))
	word, _, _ = a.ask(t, "video", 5, "")
	assert.Equal(t, "served", word)
}
