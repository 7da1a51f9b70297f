package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clientproto"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// These tests start the built program and speak to it over loopback, against stand-ins of cache and notice board
// written from the protocol's pages. Waits end with what they wait for; patience only bounds a failure.
const patience = 30 * time.Second

var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cairnfront")
	if err == nil {
		program = filepath.Join(dir, "cairnfront")
		var out []byte
		if out, err = exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
			fmt.Fprintln(os.Stderr, string(out))
		}
	}
	code := 1
	if err == nil {
		code = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// member is a stand-in of a cache. It hands each hop to answer, which says what to write, empty for nothing.
type member struct {
	net.Listener
	answer func(h hop) string
	mu     sync.Mutex
	hops   []hop
	conns  []net.Conn
	undone chan string
}

type hop struct {
	id     string
	fields map[string]string
	body   string
	conn   net.Conn
}

func serveMember(t *testing.T, answer func(hop) string) *member {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m := &member{Listener: ln, answer: answer, undone: make(chan string, 1000)}
	m.accept(t, ln)
	return m
}

// accept serves on a listener until the test ends.
func (m *member) accept(t *testing.T, ln net.Listener) {
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go m.serve(c)
		}
	}()
}

func (m *member) serve(c net.Conn) {
	defer c.Close()
	m.mu.Lock()
	m.conns = append(m.conns, c)
	m.mu.Unlock()
	r := bufio.NewReader(c)
	for {
		text, err := r.ReadString('\n')
		if err != nil {
			return
		}
		w := strings.Fields(text)
		if w[0] == "undo" {
			m.undone <- w[1]
			continue
		}
		h := hop{id: w[1], fields: map[string]string{}, conn: c}
		for pair := range strings.SplitSeq(w[2], ",") {
			name, value, _ := strings.Cut(pair, "=")
			h.fields[name] = value
		}
		n, _ := strconv.Atoi(w[3])
		body := make([]byte, n+2)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		h.body = string(body[:n])
		m.mu.Lock()
		m.hops = append(m.hops, h)
		m.mu.Unlock()
		if _, err := io.WriteString(c, m.answer(h)); err != nil {
			return
		}
	}
}

// die ends the listener and every connection, as a process that dies does.
func (m *member) die() {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.Close()
	for _, c := range m.conns {
		_ = c.Close()
	}
}

func (m *member) last() hop {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hops[len(m.hops)-1]
}

func (m *member) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.hops)
}

func served(h hop, body string) string {
	return fmt.Sprintf("%s served digest=d1,dated=%d,remark=h %d\r\n%s\r\n", h.id, time.Now().UnixMilli(), len(body), body)
}

// board is a stand-in of the notice board. What it is told to say goes to the router that follows it, and again to one
// that comes later without it.
type notices struct {
	net.Listener
	say  chan []byte
	mu   sync.Mutex
	said [][]byte
}

// missed is what was said after an event.
func (b *notices) missed(last []byte) []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.IndexFunc(b.said, func(x []byte) bool { return bytes.Compare(x[4:12], last) > 0 })
	if i < 0 {
		return nil
	}
	return slices.Concat(b.said[i:]...)
}

func serveBoard(t *testing.T) *notices {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &notices{Listener: ln, say: make(chan []byte, 10)}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				last := make([]byte, 8)
				if _, err := io.ReadFull(c, last); err != nil {
					return
				}
				if _, err := c.Write(b.missed(last)); err != nil {
					return
				}
				beat := time.NewTicker(time.Second)
				defer beat.Stop()
				for {
					out := append([]byte{0, 0, 0, 9}, append(last, 0)...)
					select {
					case out = <-b.say:
						b.mu.Lock()
						b.said = append(b.said, out)
						b.mu.Unlock()
					case <-beat.C:
					}
					if _, err := c.Write(out); err != nil {
						return
					}
				}
			}()
		}
	}()
	return b
}

func notice(number uint64, kind byte, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	return append(append(binary.BigEndian.AppendUint64(b, number), kind), payload...)
}

// record is a member's row in the notice board's binary form.
func record(id uint32, m *member, state byte) []byte {
	a := m.Addr().(*net.TCPAddr)
	b := append(binary.BigEndian.AppendUint32(nil, id), a.IP.To4()...)
	b = binary.BigEndian.AppendUint16(b, uint16(a.Port))
	b = append(b, state, 0, 0, 0, 0)
	return append(binary.BigEndian.AppendUint32(b, 8000), make([]byte, 8)...)
}

// text is what a program wrote so far.
type text struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (x *text) Write(p []byte) (int, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.b.Write(p)
}

func (x *text) String() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.b.String()
}

// started is a running router.
type started struct {
	*exec.Cmd
	addr   string
	board  *notices
	log    *text
	ended  chan error
	killed bool
	path   string
	args   []string
	shell  string // starts the program in place of a plain start, where set
}

// manifest is a start file with caches s-00000001 and on, and an origin s-000000ff.
func manifest(listen, board string, memory int, origin *member, caches ...*member) []byte {
	var list []map[string]any
	for i, m := range append(caches, origin) {
		row := map[string]any{
			"name": fmt.Sprintf("s-%08x", i+1), "address": m.Addr().String(), "zone": "here", "type": "box",
			"group": 0, "status": "SERVING", "weight": 8, "since_ms": 0,
		}
		if i == len(caches) {
			row["name"], row["type"] = "s-000000ff", "origin"
		}
		list = append(list, row)
	}
	rule := func(name, effect string) map[string]any {
		return map[string]any{
			"name": name, "effect": effect, "group": "all", "on_time_s": 1.0, "aim_stretch": 1.0, "hard_limit_s": 5.0,
			"window_s": 5.0, "worth": 1.0, "late_worth": 0.5, "streaming": false,
		}
	}
	text, _ := json.Marshal(map[string]any{
		"name": "n1", "listen": listen, "board": board, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memory, "sockets": 1024},
		"known":  map[string]any{"rev": 1, "notices": []any{map[string]any{"rev": 1, "pool": map[string]any{"snapshot": true, "endpoints": list}}}},
		"settings": map[string]any{
			"me": 0, "group_size": 1, "zone": 0, "zones": []string{"here"}, "flavors": []string{"box", "parent", "origin"},
			"extra": map[string]any{
				"count_by_zone": []int{1}, "fresh_for_s": []float64{0, 0, 0}, "usable_after_s": []float64{0, 0, 0},
				"worth_when_old": []float64{1, 1, 1}, "never_kept": []bool{false, false, true}, "origin_kind": 2, "upper_kind": 1,
				"pace_kb_per_s": 10000.0, "gone_everywhere_s": 6.0, "notice_time_s": 0.5, "pass_through_ok": true, "sideways": "location",
				"tells": "all", "link_in_kb_per_s": []float64{1e6}, "hub_of": []int{0},
			},
			"limits": map[string]any{
				"cancelling": true, "connect_timeout_s": 0.4, "idle_close_s": 15.0, "max_attempts": 6, "max_streams": 32,
				"parallel_tries": false, "may_probe": true, "retry_after": true, "max_retry_after_s": 2.0,
			},
			"rules":           map[string]any{"stop_sending_within_s": 1.0, "fall_multiple": 2.0, "overload_for_s": 1.0, "start_capacity": 0.3, "cold_s": 5.0},
			"registry_mode":   "pushed",
			"request_classes": []any{rule("page", "retryable"), rule("order", "fragile"), rule("write", "dedup")},
		},
	})
	return text
}

// begin starts a router of its own address and board.
func begin(t *testing.T, memory int, origin *member, caches ...*member) *started {
	return beginWith(t, nil, memory, origin, caches...)
}

// beginWith does so with more arguments.
func beginWith(t *testing.T, args []string, memory int, origin *member, caches ...*member) *started {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // a port that is free
	require.NoError(t, err)
	s := &started{args: args, addr: ln.Addr().String(), board: serveBoard(t), log: &text{}, ended: make(chan error, 1)}
	_ = ln.Close()
	s.path = filepath.Join(t.TempDir(), "start.json")
	require.NoError(t, os.WriteFile(s.path, manifest(s.addr, s.board.Addr().String(), memory, origin, caches...), 0o600))
	t.Cleanup(func() {
		if !s.killed {
			s.end(t, syscall.SIGKILL)
		}
	})
	s.start(t)
	return s
}

// start runs the program and waits until it is ready.
func (s *started) start(t *testing.T) {
	s.killed, s.Cmd = false, exec.Command(program, append([]string{"serve"}, s.args...)...)
	if s.shell != "" {
		s.Cmd = exec.Command("/bin/sh", "-c", s.shell)
	}
	s.Env = append(os.Environ(), "LB_CONFIG="+s.path)
	out, err := s.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, s.Start())
	read := make(chan bool)
	go func() {
		_, _ = io.Copy(s.log, out)
		close(read)
	}()
	go func() {
		<-read
		s.ended <- s.Wait()
	}()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			return false
		}
		defer c.Close()
		_, _ = c.Write(append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 0, 1), 0))
		said := make([]byte, clientproto.HeaderSize+1) // or nothing: the port may still be another's
		_, err = io.ReadFull(c, said)
		return err == nil && clientproto.FrameType(said[4]) == clientproto.TypeReadinessReply && said[clientproto.HeaderSize] == 1
	}, patience, 10*time.Millisecond)
}

// end sends a signal and waits for the program to end.
func (s *started) end(t *testing.T, sig syscall.Signal) error {
	s.killed = true
	require.NoError(t, s.Process.Signal(sig))
	select {
	case err := <-s.ended:
		return err
	case <-time.After(patience):
		t.Fatal("does not end")
		return nil
	}
}

// counters is what the program printed last.
func (s *started) counters() map[string]int {
	out := map[string]int{}
	for text := range strings.Lines(s.log.String()) {
		var name string
		var n int
		if k, _ := fmt.Sscanf(text, "counter %s %d", &name, &n); k == 2 {
			out[name] = n
		}
	}
	return out
}

type client struct {
	net.Conn
	stream uint32
}

func (s *started) dial(t *testing.T) *client {
	c, err := net.Dial("tcp", s.addr)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	t.Cleanup(func() { _ = c.Close() })
	return &client{Conn: c}
}

var ids struct {
	sync.Mutex
	n int
}

// ask writes a request of a remap rule and returns its id.
func (c *client) ask(op, row, body string, more ...clientproto.Field) string {
	ids.Lock()
	ids.n++
	id := fmt.Sprintf("%016x", ids.n)
	ids.Unlock()
	c.stream++
	fields := append([]clientproto.Field{
		{Name: "op", Value: op},
		{Name: "call", Value: id},
		{Name: "ttl", Value: "4000"},
		{Name: "row", Value: row},
		{Name: "seg", Value: "0"},
		{Name: "bucket", Value: "7"},
		{Name: "heap", Value: "10"},
	}, more...)
	payload := append(clientproto.AppendFields(nil, fields...), body...)
	_, _ = c.Write(append(clientproto.AppendHeader(nil, clientproto.TypeRequest, c.stream, len(payload)), payload...))
	return id
}

// next reads one frame.
func (c *client) next(t *testing.T) (kind clientproto.FrameType, stream uint32, payload string) {
	head := make([]byte, clientproto.HeaderSize)
	_, err := io.ReadFull(c, head)
	require.NoError(t, err)
	h, err := clientproto.ParseHeader(head)
	require.NoError(t, err)
	text := make([]byte, h.PayloadBytes)
	_, err = io.ReadFull(c, text)
	require.NoError(t, err)
	return h.Type, h.StreamID, string(text)
}

// answer reads one answer: its code, fields and body.
func (c *client) answer(t *testing.T) (byte, map[string]string, string) {
	kind, _, payload := c.next(t)
	require.EqualValues(t, clientproto.TypeResponse, kind)
	list, body, err := clientproto.ParseFields([]byte(payload[1:]))
	require.NoError(t, err)
	fields := map[string]string{}
	for _, f := range list {
		fields[f.Name] = f.Value
	}
	return payload[0], fields, string(body)
}

const row = "7f3a9c21e0b4d655"

func TestCompletion(t *testing.T) {
	m := serveMember(t, func(h hop) string {
		if h.fields["got"] == "t1" {
			return h.id + " still_good digest=t1,dated=1 0\r\n\r\n"
		}
		return served(h, "object "+h.body)
	})
	s := begin(t, 192, serveMember(t, func(h hop) string { return h.id + " served - 0\r\n\r\n" }), m)
	c := s.dial(t)
	id := c.ask("page", row, "", clientproto.Field{Name: "dedupe", Value: "k1"})
	code, fields, body := c.answer(t)
	assert.Equal(t, []any{byte(1), "d1", "object "}, []any{code, fields["etag"], body})
	f := m.last().fields
	assert.Equal(t, []string{id, "page", row, "0", "k1", "s-000000ff"}, []string{
		m.last().id, f["profile"], f["thing"], f["nth"], f["replay"],
		f["parent"],
	}, "passed on unchanged")
	c.ask("page", row, "", clientproto.Field{Name: "etag", Value: "t1"})
	code, fields, body = c.answer(t)
	assert.Equal(t, []any{byte(1), "1", "t1", ""}, []any{code, fields["notmod"], fields["etag"], body})
	c.ask("write", row, "order me")
	code, _, _ = c.answer(t)
	assert.EqualValues(t, 1, code, "a write's answer has no digest")
	assert.NoError(t, s.Process.Signal(syscall.SIGUSR1))
	assert.NoError(t, s.end(t, syscall.SIGTERM))
	got := s.counters()
	assert.Equal(t, []int{3, 3, 0, 2, 1}, []int{
		got["taken"], got["answered"], got["open"], got["answered.page.completed.by-a-hop"],
		got["answered.write.completed.by-a-hop"],
	})
	assert.Equal(t, 2, strings.Count(s.log.String(), "counter taken 3\n"), "on request and at the end")
	assert.Equal(t, got["conn.client.begun"]+got["conn.member.begun"]+got["conn.board.begun"],
		strings.Count(s.log.String(), "msg=\"connection ended\""), "one line for each connection")
}

// TestRetryAfterAReset: what is repeatable goes on elsewhere; what must not run twice is aborted, not rejected.
func TestRetryAfterAReset(t *testing.T) {
	reset := func(h hop) string {
		_ = h.conn.(*net.TCPConn).SetLinger(0)
		_ = h.conn.Close()
		return ""
	}
	bad, worse := serveMember(t, reset), serveMember(t, reset)
	good := serveMember(t, func(h hop) string { return served(h, "x") })
	s := begin(t, 192, good, bad)
	c := s.dial(t)
	c.ask("page", row, "")
	code, _, _ := c.answer(t)
	assert.EqualValues(t, 1, code)
	assert.Equal(t, 1, bad.count())
	s = begin(t, 192, worse, worse)
	c = s.dial(t)
	c.ask("order", row, "")
	code, _, _ = c.answer(t)
	assert.EqualValues(t, 9, code)
	assert.Equal(t, 1, worse.count())
	gone := serveMember(t, nil)
	_ = gone.Close()
	s = begin(t, 192, gone, gone)
	c = s.dial(t)
	c.ask("order", row, "")
	code, fields, _ := c.answer(t)
	assert.EqualValues(t, 0, code, "a refused connection proves that it did not run")
	assert.NotEmpty(t, fields["pushback"])
}

func TestPurgeAndDrain(t *testing.T) {
	origin := serveMember(t, func(h hop) string { return served(h, "x") })
	a, b := serveMember(t, func(h hop) string { return served(h, "a") }), serveMember(t, func(h hop) string { return served(h, "b") })
	s := begin(t, 192, origin, a, b)
	c := s.dial(t)
	first := func() (string, hop) {
		c.ask("page", row, "")
		code, _, body := c.answer(t)
		require.EqualValues(t, 1, code)
		return body, map[string]*member{"a": a, "b": b}[body].last()
	}
	was, h := first()
	assert.Empty(t, h.fields["accept"])
	s.board.say <- notice(2, 3, binary.BigEndian.AppendUint64([]byte("\x7f\x3a\x9c\x21\xe0\xb4\xd6\x55"), uint64(time.Now().UnixMilli())))
	require.Eventually(t, func() bool { _, h = first(); return h.fields["accept"] != "" }, patience, time.Millisecond, "only younger copies will do")
	draining, id, other := a, uint32(1), "b"
	if was == "b" {
		draining, id, other = b, 2, "a"
	}
	s.board.say <- notice(3, 2, record(id, draining, 1))
	require.Eventually(t, func() bool { now, _ := first(); return now == other }, patience, time.Millisecond)
	n := draining.count()
	for range 50 {
		now, _ := first()
		assert.Equal(t, other, now)
	}
	assert.Equal(t, n, draining.count(), "nothing new goes to a draining cache")
}

// TestCancel: a client that stops waiting frees its hop, and gets nothing more.
func TestCancel(t *testing.T) {
	m := serveMember(t, func(h hop) string {
		if h.fields["thing"] == row {
			return ""
		}
		return served(h, "x")
	})
	s := begin(t, 192, m, m)
	c := s.dial(t)
	id := c.ask("page", row, "")
	require.Eventually(t, func() bool { return m.count() == 1 }, patience, time.Millisecond)
	_, _ = c.Write(clientproto.AppendHeader(nil, clientproto.TypeCancel, 1, 0))
	assert.Equal(t, id, <-m.undone)
	c.ask("page", "0000000000000001", "")
	_, stream, _ := c.next(t)
	assert.EqualValues(t, 2, stream)
	_ = c.ask("page", row, "")
	require.Eventually(t, func() bool { return m.count() == 3 }, patience, time.Millisecond)
	_ = c.Close()
	assert.NotEmpty(t, <-m.undone, "a closed connection gives up what is open on it")
}

// signalled is a router that hears a signal while a cache holds back a client's page until release is closed.
func signalled(t *testing.T, sig syscall.Signal) (release chan bool, m *member, s *started, c *client) {
	release = make(chan bool)
	m = serveMember(t, func(h hop) string {
		if h.fields["thing"] == row {
			<-release
		}
		return served(h, "x")
	})
	s = begin(t, 192, m, m)
	c = s.dial(t)
	c.ask("page", row, "")
	require.Eventually(t, func() bool { return m.count() == 1 }, patience, time.Millisecond)
	require.NoError(t, s.Process.Signal(sig))
	return release, m, s, c
}

// TestSigterm: told on every connection, requests that come after it are answered, what is open is waited for.
func TestSigterm(t *testing.T) {
	release, _, s, c := signalled(t, syscall.SIGTERM)
	kind, stream, _ := c.next(t)
	assert.Equal(t, []any{clientproto.TypeGoAway, uint32(0)}, []any{kind, stream})
	late := s.dial(t)
	late.ask("order", "0000000000000002", "")
	kind, _, _ = late.next(t)
	assert.EqualValues(t, clientproto.TypeGoAway, kind)
	close(release)
	code, _, _ := late.answer(t)
	assert.EqualValues(t, 1, code)
	code, _, _ = c.answer(t)
	assert.EqualValues(t, 1, code)
	s.killed = true
	assert.NoError(t, <-s.ended, "exit 0")
	assert.Equal(t, 0, s.counters()["open"])
}

// TestSigtermWaitsNoLongerThanItMay: what is still open near the end of the stated time is aborted, not lost.
func TestSigtermWaitsNoLongerThanItMay(t *testing.T) {
	m := serveMember(t, func(hop) string { return "" })
	s := begin(t, 192, m, m)
	c := s.dial(t)
	c.ask("order", row, "")
	require.Eventually(t, func() bool { return m.count() == 1 }, patience, time.Millisecond)
	require.NoError(t, s.Process.Signal(syscall.SIGTERM))
	kind, _, _ := c.next(t)
	assert.EqualValues(t, clientproto.TypeGoAway, kind)
	code, _, _ := c.answer(t)
	assert.EqualValues(t, 9, code)
	s.killed = true
	assert.NoError(t, <-s.ended, "exit 0")
	assert.Equal(t, 1, s.counters()["answered.order.aborted.shutdown"])
}

// TestBadInputCostsOnlyItsConnection: the codecs' own tests have the kinds.
func TestBadInputCostsOnlyItsConnection(t *testing.T) {
	m := serveMember(t, func(h hop) string { return served(h, "x") })
	s := begin(t, 192, m, m)
	good := s.dial(t)
	for _, bad := range []string{"\x00\x00\x00\x01", "GET / HTTP/1.1\r\n\r\n", "\x00\x00\x00\x05\x64\x00\x00\x00\x00"} {
		c := s.dial(t)
		_, _ = io.WriteString(c, bad+"123456789")
		_, stream, payload := c.next(t)
		assert.EqualValues(t, 0, stream)
		assert.Contains(t, payload, "error")
		_, err := c.Read(make([]byte, 1))
		assert.Error(t, err)
	}
	good.ask("what", row, "")
	code, fields, _ := good.answer(t)
	assert.EqualValues(t, 9, code)
	assert.Contains(t, fields["error"], "what")
	good.ask("page", row, "")
	code, _, _ = good.answer(t)
	assert.EqualValues(t, 1, code)
}

// TestLimitsHold fills every client connection with requests for the largest objects and reads none of the answers.
// The router stays under its memory and descriptors, says no to what does not fit, and goes back to where it was.
func TestLimitsHold(t *testing.T) {
	if testing.Short() {
		t.Skip("long")
	}
	object := strings.Repeat("x", 240_000)
	m := serveMember(t, func(h hop) string { return served(h, object) })
	s := begin(t, 192, m, m, m)
	usage := func() map[string]int {
		before := strings.Count(s.log.String(), "counter process.goroutines")
		require.NoError(t, s.Process.Signal(syscall.SIGUSR1))
		require.Eventually(t, func() bool { return strings.Count(s.log.String(), "counter process.goroutines") > before }, patience, time.Millisecond)
		return s.counters()
	}
	status := func(name string) int {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.Process.Pid))
		require.NoError(t, err)
		_, rest, _ := strings.Cut(string(text), name+":")
		n, err := strconv.Atoi(strings.Fields(rest)[0])
		require.NoError(t, err)
		return n / 1024
	}
	before := usage()
	var clients []*client
	for i := range 341 {
		c := s.dial(t)
		for j := range 32 {
			c.ask("page", fmt.Sprintf("%08x%08x", i, j), "")
		}
		clients = append(clients, c)
	}
	var full map[string]int
	require.Eventually(t, func() bool { full = usage(); return full["open"] == 0 && full["taken"] == 341*32 }, patience, 100*time.Millisecond)
	t.Logf("at most %d MB, %d descriptors; %d of %d completed", status("VmHWM"), full["process.descriptors"],
		full["answered.page.completed.by-a-hop"], full["taken"])
	assert.Less(t, status("VmHWM"), 192, "MB at most")
	assert.Less(t, full["process.descriptors"], 1024)
	assert.Equal(t, full["taken"], full["answered"]+full["left"]+full["open"])
	assert.Positive(t, full["answered.page.completed.by-a-hop"])
	refused := full["taken"] - full["answered.page.completed.by-a-hop"] - full["left"]
	assert.Positive(t, refused, "what does not fit is refused")
	for _, c := range clients {
		_ = c.Close()
	}
	var after map[string]int
	held := false
	for end := time.Now().Add(patience); !held && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		after = usage()
		// Connections to members that are kept open have their rings; how many there are is the machine's luck.
		rings := after["conn.member.open"] * 2 * admission.EndpointRingBytes
		// The connection that asked whether the router is ready may have been open still when the first counters were read.
		held = after["conn.client.open"] <= before["conn.client.open"] && after["process.descriptors"] <= before["process.descriptors"]+after["conn.member.open"]+1 &&
			after["process.goroutines"] <= before["process.goroutines"]+4*after["conn.member.open"] &&
			after["process.heap-bytes"] <= before["process.heap-bytes"]+rings+12<<20
	}
	require.True(t, held, "what the module remembers of the objects stays; before %v, after %v", before, after)
	t.Logf("after: %d descriptors, %d goroutines, %d bytes in use (%d before), %d connections to members", after["process.descriptors"],
		after["process.goroutines"], after["process.heap-bytes"], before["process.heap-bytes"], after["conn.member.open"])
	c := s.dial(t)
	c.ask("page", row, "")
	code, _, body := c.answer(t)
	assert.EqualValues(t, 1, code)
	assert.Len(t, body, 240_000, "and it serves")
}

// TestKillAndRestart: it begins again from nothing, under its name and address.
func TestKillAndRestart(t *testing.T) {
	m := serveMember(t, func(h hop) string { return served(h, "x") })
	s := begin(t, 192, m, m)
	c := s.dial(t)
	c.ask("page", row, "")
	c.answer(t)
	assert.Error(t, s.end(t, syscall.SIGKILL))
	_, err := c.Read(make([]byte, 1))
	assert.Error(t, err)
	s.start(t)
	c = s.dial(t)
	c.ask("page", row, "")
	code, _, _ := c.answer(t)
	assert.EqualValues(t, 1, code)
	assert.Equal(t, 2, m.count())
}

// TestReload: on SIGHUP the board's new address is followed and no open txn is disturbed; a file that can't be used
// leaves the old one in force, and many signals at once do no harm.
func TestReload(t *testing.T) {
	release := make(chan bool)
	m := serveMember(t, func(h hop) string {
		<-release
		return served(h, "x")
	})
	s := begin(t, 64, m, m)
	c := s.dial(t)
	c.ask("page", row, "")
	require.Eventually(t, func() bool { return m.count() == 1 }, patience, time.Millisecond)
	for i, bad := range []string{"{", strings.Replace(string(manifest(s.addr, s.board.Addr().String(), 64, m, m)), `"memory_mb":64`, `"memory_mb":65`, 1)} {
		require.NoError(t, os.WriteFile(s.path, []byte(bad), 0o600))
		require.NoError(t, s.Process.Signal(syscall.SIGHUP))
		require.Eventually(t, func() bool { return strings.Count(s.log.String(), "code=kept-old") == i+1 }, patience, time.Millisecond)
	}
	next := serveBoard(t)
	require.NoError(t, os.WriteFile(s.path, manifest(s.addr, next.Addr().String(), 64, m, m), 0o600))
	for range 50 {
		require.NoError(t, s.Process.Signal(syscall.SIGHUP))
	}
	m2 := serveMember(t, func(h hop) string { return served(h, "new") })
	next.say <- notice(2, 2, append(record(9, m2, 0), record(1, m, 2)...))
	close(release)
	code, _, body := c.answer(t)
	assert.EqualValues(t, 1, code)
	assert.Equal(t, "x", body)
	require.Eventually(t, func() bool {
		c.ask("page", row, "")
		_, _, body := c.answer(t)
		return body == "new"
	}, patience, time.Millisecond, "the new board's list counts")
	assert.NoError(t, s.end(t, syscall.SIGTERM))
}

func TestCommands(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	m := serveMember(t, nil)
	good := string(manifest("127.0.0.1:1", "127.0.0.1:2", 192, m, m))
	taken := m.Addr().String()
	for _, c := range []struct {
		args []string
		env  string
		ok   bool
		says string
	}{
		{[]string{"version"}, "", true, "cairnfront"},
		{[]string{"--help"}, "", true, "serve"},
		{[]string{"check", write("good", good)}, "", true, "3 remap rules"},
		{[]string{"check"}, write("bad", "{"), false, "JSON"},
		{[]string{"serve"}, "", false, "LB_CONFIG is not set"},
		{[]string{"serve"}, filepath.Join(dir, "absent"), false, "no such file"},
		{[]string{"serve"}, write("parts", strings.Replace(good, `"known"`, `"x"`, 1)), false, "known"},
		{[]string{"serve"}, write("taken", strings.Replace(good, "127.0.0.1:1", taken, 1)), false, "address already in use"},
		{[]string{"what"}, "", false, "unknown command"},
	} {
		cmd := exec.Command(program, c.args...)
		cmd.Env = append(os.Environ(), "LB_CONFIG="+c.env)
		var out, errs bytes.Buffer
		cmd.Stdout, cmd.Stderr = &out, &errs
		err := cmd.Run()
		assert.Equal(t, c.ok, err == nil, c.args)
		if c.ok {
			assert.Contains(t, out.String(), c.says)
			continue
		}
		assert.Contains(t, errs.String(), c.says)
		assert.Equal(t, 1, strings.Count(errs.String(), "\n"), "one plain line: %s", errs.String())
	}
}

// TestBadClientsBesideAGoodOne: whatever they send, each is told or closed, never served, and the good one loses nothing.
func TestBadClientsBesideAGoodOne(t *testing.T) {
	m := serveMember(t, func(h hop) string { return served(h, "x") })
	s := begin(t, 64, m, m)
	head := func(kind clientproto.FrameType, stream uint32, size int) []byte {
		return clientproto.AppendHeader(nil, kind, stream, size)
	}
	ends := make(chan error)
	bad := [][]byte{
		[]byte("GET / HTTP/1.1\r\n\r\n"), bytes.Repeat([]byte{0xff}, 100_000),
		{0, 0, 0, 0, 100, 0, 0, 0, 1},
		head(77, 1, 0), head(clientproto.TypeRequest, 0, 1),
		append([]byte{3, 0x93, 0x87, 0, 100, 0, 0, 0, 1}, make([]byte, 1<<20)...), head(clientproto.TypeRequest, 1, 200)[:7], head(clientproto.TypeRequest, 1, 200), nil,
	}
	for _, text := range bad {
		c := s.dial(t)
		go func() {
			_, err := c.Write(text)
			if err == nil {
				_, err = io.Copy(io.Discard, c) // until it is closed
			}
			ends <- err
		}()
	}
	c := s.dial(t)
	for open := len(bad); open > 0; {
		c.ask("page", row, "")
		code, _, body := c.answer(t)
		assert.EqualValues(t, 1, code)
		assert.Equal(t, "x", body)
		select {
		case err := <-ends:
			assert.NotErrorIs(t, err, os.ErrDeadlineExceeded)
			open--
		default:
		}
	}
	odd := s.dial(t)
	for _, f := range []clientproto.Field{{Name: "ttl", Value: "-1"}, {Name: "seg", Value: "x"}, {Name: "heap", Value: "NaN"}, {Name: "row", Value: "a,b=c"}} {
		odd.ask("page", row, "", f)
		code, _, _ := odd.answer(t)
		assert.EqualValues(t, 9, code, f)
	}
	assert.NoError(t, s.end(t, syscall.SIGTERM))
	for _, code := range []string{"protocol", "half-frame", "mute"} {
		assert.Contains(t, s.log.String(), "code="+code)
	}
}

// TestSpoiltAnswersCostNothing: two caches spoil some answers, in turns; each txn is completed by another hop.
func TestSpoiltAnswersCostNothing(t *testing.T) {
	var n atomic.Int64
	spoil := func(h hop) string {
		switch n.Add(1) % 5 {
		case 0:
			return "\x00\x01 noise\r\n"
		case 2:
			return h.id + " served digest=d1,dated=1,remark=h 3000000000\r\nx"
		case 3: // twice, and one that nobody asked for
			return "ffffffffffffffff served digest=d1,dated=1,remark=h 1\r\ny\r\n" + served(h, "x") + served(h, "x")
		}
		return served(h, "x")
	}
	a, b, o := serveMember(t, spoil), serveMember(t, spoil), serveMember(t, func(h hop) string { return served(h, "x") })
	s := begin(t, 64, o, a, b)
	c := s.dial(t)
	for i := range 60 {
		c.ask("page", fmt.Sprintf("%016x", i), "")
		code, _, body := c.answer(t)
		assert.EqualValues(t, 1, code, i)
		assert.Equal(t, "x", body)
	}
	assert.NoError(t, s.end(t, syscall.SIGTERM))
	k := s.counters()
	assert.Equal(t, 60, k["answered.page.completed.by-a-hop"])
	assert.Positive(t, k["hops.page.broken"])
	assert.Equal(t, k["conn.member.begun"], k["conn.member.open"]+strings.Count(s.log.String(), "side=member"), "one line a connection")
}

// TestLongRunIsFlat: members, clients and objects are always new; what is held does not grow with them.
func TestLongRunIsFlat(t *testing.T) {
	o := serveMember(t, func(h hop) string { return served(h, "x") })
	s := begin(t, 64, o, o)
	usage := func() map[string]int {
		before := strings.Count(s.log.String(), "counter process.goroutines")
		require.NoError(t, s.Process.Signal(syscall.SIGUSR1))
		require.Eventually(t, func() bool { return strings.Count(s.log.String(), "counter process.goroutines") > before }, patience, time.Millisecond)
		return s.counters()
	}
	before := usage()
	stay := s.dial(t) // asks once and keeps its connection
	stay.ask("page", row, "")
	stay.answer(t)
	for i := range 60 {
		m := serveMember(t, func(h hop) string { return served(h, "x") })
		s.board.say <- notice(uint64(i+2), 2, append(record(uint32(i+2), m, 0), record(uint32(i+1), m, 2)...))
		for range 10 {
			c := s.dial(t)
			c.ask("page", fmt.Sprintf("%016x", ids.n), "")
			code, _, _ := c.answer(t)
			assert.EqualValues(t, 1, code)
			_ = c.Close()
		}
	}
	require.Eventually(t, func() bool {
		k := usage()
		return k["taken"] == 601 && k["open"] == 0 && k["conn.client.open"] == 0 && k["conn.member.open"] <= 4 &&
			k["process.descriptors"] <= before["process.descriptors"]+4 && k["process.heap-bytes"] < before["process.heap-bytes"]+2<<20
	}, patience, 100*time.Millisecond)
}
