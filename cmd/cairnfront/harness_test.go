package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/clientproto"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// waitTimeout limits how long a test waits for a condition; a wait ends as soon as the condition holds. The tests start
// the built program and connect to it over loopback, with stubs of caches and of the discovery service that follow the
// protocol specifications.
const waitTimeout = 30 * time.Second

const readyPollInterval = 10 * time.Millisecond

// program is the path of the program that TestMain builds.
var program string

func TestMain(m *testing.M) {
	if offsetFile := os.Getenv(wallOffsetVariable); offsetFile != "" {
		os.Exit(runAsSteppedRouter(offsetFile))
	}
	dir, err := os.MkdirTemp("", "cairnfront")
	if err == nil {
		program = filepath.Join(dir, "cairnfront")
		var out []byte
		build := exec.CommandContext(context.Background(), "go", "build", "-o", program, ".")
		if out, err = build.CombinedOutput(); err != nil {
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

// logBuffer collects the log output of a program. It is safe for concurrent use.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// routerProcess is a router that a test runs as a separate process.
type routerProcess struct {
	*exec.Cmd
	addr          string
	discovery     *discoveryStub
	log           *logBuffer
	exited        chan error
	stopping      bool // the test stops the process or waits for its exit, so the cleanup must not
	bootstrapPath string
	launch
	shellCommand string // shell command that starts the program; if empty, it is started directly
}

// bootstrapFile returns the content of a bootstrap file with caches s-00000001, s-00000002, ... and the origin
// s-000000ff.
func bootstrapFile(listen, discovery string, memory int, origin *cacheStub, caches ...*cacheStub) []byte {
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
	class := func(name, effect string) map[string]any {
		return map[string]any{
			"name": name, "effect": effect, "group": "all", "on_time_s": 1.0, "aim_stretch": 1.0, "hard_limit_s": 5.0,
			"window_s": 5.0, "worth": 1.0, "late_worth": 0.5, "streaming": false,
		}
	}
	text, _ := json.Marshal(map[string]any{
		"name": "n1", "listen": listen, "board": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memory, "sockets": 1024},
		"known": map[string]any{"rev": 1, "notices": []any{map[string]any{
			"rev":  1,
			"pool": map[string]any{"snapshot": true, "endpoints": list},
		}}},
		"settings": map[string]any{
			"me": 0, "group_size": 1, "zone": 0, "zones": []string{"here"},
			"flavors": []string{"box", "parent", "origin"},
			"extra": map[string]any{
				"count_by_zone": []int{1}, "fresh_for_s": []float64{0, 0, 0}, "usable_after_s": []float64{0, 0, 0},
				"worth_when_old": []float64{1, 1, 1}, "never_kept": []bool{false, false, true},
				"origin_kind": 2, "upper_kind": 1, "pace_kb_per_s": 10000.0, "gone_everywhere_s": 6.0,
				"notice_time_s": 0.5, "pass_through_ok": true, "sideways": "location",
				"tells": "all", "link_in_kb_per_s": []float64{1e6}, "hub_of": []int{0},
			},
			"limits": map[string]any{
				"cancelling": true, "connect_timeout_s": 0.4, "idle_close_s": 15.0,
				"max_attempts": 6, "max_streams": 32,
				"parallel_tries": false, "may_probe": true, "retry_after": true, "max_retry_after_s": 2.0,
			},
			"rules": map[string]any{
				"stop_sending_within_s": 1.0, "fall_multiple": 2.0, "overload_for_s": 1.0,
				"start_capacity": 0.3, "cold_s": 5.0,
			},
			"registry_mode":   "pushed",
			"request_classes": []any{class("page", "retryable"), class("order", "fragile"), class("write", "dedup")},
		},
	})
	return text
}

// startRouter starts a router with its own listening address and discovery service.
func startRouter(t *testing.T, memory int, origin *cacheStub, caches ...*cacheStub) *routerProcess {
	t.Helper()
	return startRouterWith(t, nil, memory, origin, caches...)
}

// startRouterWith starts a router as startRouter does, with additional command line arguments.
func startRouterWith(t *testing.T, args []string, memory int, origin *cacheStub, caches ...*cacheStub) *routerProcess {
	t.Helper()
	return startProgram(t, launch{program: program, args: args}, memory, origin, caches...)
}

// launch describes how a router is started: the program, additional arguments, additional environment variables, and
// a change of the bootstrap file.
type launch struct {
	program       string // path
	args, env     []string
	editBootstrap func(content []byte) []byte // nil if the file is used unchanged
}

// startProgram starts a router as l describes.
func startProgram(t *testing.T, l launch, memory int, origin *cacheStub, caches ...*cacheStub) *routerProcess {
	t.Helper()
	router := &routerProcess{
		launch: l, addr: reserveAddress(t), discovery: startDiscovery(t), log: &logBuffer{},
		exited: make(chan error, 1),
	}
	router.bootstrapPath = filepath.Join(t.TempDir(), "start.json")
	bootstrap := bootstrapFile(router.addr, router.discovery.Addr().String(), memory, origin, caches...)
	if l.editBootstrap != nil {
		bootstrap = l.editBootstrap(bootstrap)
	}
	require.NoError(t, os.WriteFile(router.bootstrapPath, bootstrap, 0o600))
	t.Cleanup(func() {
		if !router.stopping {
			_ = router.stop(t, syscall.SIGKILL) // the error only reports the signal
		}
	})
	router.start(t)
	return router
}

// start starts the program and waits until it reports that it is ready.
func (router *routerProcess) start(t *testing.T) {
	t.Helper()
	ctx := context.Background() // the test's context would kill the program before the cleanups stop it
	router.stopping, router.Cmd = false,
		exec.CommandContext(ctx, router.program, append([]string{"serve"}, router.args...)...)
	if router.shellCommand != "" {
		router.Cmd = exec.CommandContext(ctx, "/bin/sh", "-c", router.shellCommand)
	}
	router.Env = append(append(os.Environ(), router.env...), "LB_CONFIG="+router.bootstrapPath)
	out, err := router.StderrPipe()
	require.NoError(t, err)
	require.NoError(t, router.Start())
	read := make(chan bool)
	go func() {
		_, _ = io.Copy(router.log, out)
		close(read)
	}()
	go func() {
		<-read
		router.exited <- router.Wait()
	}()
	router.awaitReady(t)
}

// awaitReady waits until the program reports that it is ready.
func (router *routerProcess) awaitReady(t *testing.T) {
	t.Helper()
	timeout := time.After(waitTimeout)
	for !router.ready(t) {
		select {
		case err := <-router.exited:
			router.stopping = true
			t.Fatalf("the program ended before it was ready: %v\n%s", err, router.log)
		case <-timeout:
			t.Fatalf("the program is not ready after %v\n%s", waitTimeout, router.log)
		case <-time.After(readyPollInterval):
		}
	}
}

// ready asks the program whether it is ready.
func (router *routerProcess) ready(t *testing.T) bool {
	t.Helper()
	c, err := dialTCP(t.Context(), router.addr)
	if err != nil {
		return false
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	_, _ = c.Write(append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 0, 1), 0))
	reply := make([]byte, clientproto.HeaderSize+1) // stays zero if another process still uses the port
	_, err = io.ReadFull(c, reply)
	isReply := clientproto.FrameType(reply[4]) == clientproto.TypeReadinessReply
	return err == nil && isReply && reply[clientproto.HeaderSize] == 1
}

// stop sends a signal and waits for the program to end.
func (router *routerProcess) stop(t *testing.T, sig syscall.Signal) error {
	t.Helper()
	router.stopping = true
	require.NoError(t, router.Process.Signal(sig))
	select {
	case err := <-router.exited:
		return err
	case <-time.After(waitTimeout):
		t.Fatal("the program does not exit")
		return nil
	}
}

// waitForLog waits until the program has logged a message.
func (router *routerProcess) waitForLog(t *testing.T, message string) {
	t.Helper()
	logged := func() bool { return router.logCount(message) > 0 }
	require.Eventually(t, logged, waitTimeout, time.Millisecond, message)
}

// logCount returns how often the program has logged a message. Only a message of several words is found, as it is
// printed in quotes.
func (router *routerProcess) logCount(message string) int {
	return strings.Count(router.log.String(), fmt.Sprintf("msg=%q", message))
}

// reload makes the program read its files again and waits until it has applied them, as a second SIGHUP sent before
// that may be merged with the first.
func (router *routerProcess) reload(t *testing.T) {
	t.Helper()
	reloads := func() int { return router.logCount("bootstrap file reloaded") }
	before := reloads()
	require.NoError(t, router.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return reloads() == before+1 }, waitTimeout, time.Millisecond)
}

func (router *routerProcess) dial(t *testing.T) *client {
	t.Helper()
	c, err := dialTCP(t.Context(), router.addr)
	require.NoError(t, err)
	require.NoError(t, c.SetDeadline(time.Now().Add(waitTimeout)))
	t.Cleanup(func() { _ = c.Close() })
	return &client{Conn: c}
}

// requireType returns value as a T and fails the test if it has another type.
func requireType[T any](t *testing.T, value any) T {
	t.Helper()
	v, ok := value.(T)
	require.True(t, ok, "unexpected type %T", value)
	return v
}

// listenLoopback listens on a free port of the loopback interface.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	ln, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return ln
}

// reserveAddress returns a free address of the loopback interface. Until the end of the test, the system assigns its
// port to no other socket, but a program that asks for the port may listen on it.
func reserveAddress(t *testing.T) string {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	require.NoError(t, unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1))
	require.NoError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(fd)
	require.NoError(t, err)
	port := requireType[*unix.SockaddrInet4](t, bound).Port
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port))
}

// dialTCP connects to an address. The context limits only the dial, not the connection.
func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", addr)
}

// objectID is the id of the object that most tests request.
const objectID = "7f3a9c21e0b4d655"

// routerSignalledDuringRequest starts a router and sends it a signal while a client's request is open: the cache delays
// the response until release is closed.
func routerSignalledDuringRequest(t *testing.T, sig syscall.Signal) (release chan bool, cache *cacheStub,
	router *routerProcess, c *client,
) {
	t.Helper()
	release = make(chan bool)
	cache = startCache(t, func(attempt receivedAttempt) string {
		if attempt.fields["thing"] == objectID {
			<-release
		}
		return okResponse(attempt, "x")
	})
	router = startRouter(t, 192, cache, cache)
	c = router.dial(t)
	c.send("page", objectID, "")
	require.Eventually(t, func() bool { return cache.attemptCount() == 1 }, waitTimeout, time.Millisecond)
	require.NoError(t, router.Process.Signal(sig))
	return release, cache, router, c
}

// pinToOneCPU restricts all threads of a process to one CPU core.
func pinToOneCPU(t *testing.T, pid int) {
	t.Helper()
	var one unix.CPUSet
	require.NoError(t, unix.SchedGetaffinity(pid, &one))
	for core := range 8 * len(one) * 8 {
		if one.IsSet(core) {
			one.Zero()
			one.Set(core)
			break
		}
	}
	threads, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	require.NoError(t, err)
	for _, x := range threads {
		id, _ := strconv.Atoi(x.Name())
		require.NoError(t, unix.SchedSetaffinity(id, &one))
	}
}

// cpuSeconds returns the user and system CPU time that a process has used.
func cpuSeconds(t *testing.T, pid int) float64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / 100
}
