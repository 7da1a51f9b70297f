package main

import (
	"io"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/bootstrap"
	"cairnfront/internal/clientproto"
	"cairnfront/internal/discovery"
	"cairnfront/internal/telemetry"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestSignalsDuringADrain: the notice board's new address is followed in it, a second SIGTERM changes nothing, and what was
// open is answered.
func TestSignalsDuringADrain(t *testing.T) {
	release, m, s, c := signalled(t, syscall.SIGTERM)
	kind, _, _ := c.next(t)
	assert.EqualValues(t, clientproto.TypeGoAway, kind)
	next := serveBoard(t)
	require.NoError(t, os.WriteFile(s.path, manifest(s.addr, next.Addr().String(), 192, m, m), 0o600))
	require.NoError(t, s.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return strings.Contains(s.log.String(), "code=followed") }, patience, time.Millisecond)
	select {
	case next.say <- notice(2, 2, record(1, m, 1)): // taken by the board's connection to the router
	case <-time.After(patience):
		t.Fatal("the new board is not asked")
	}
	require.NoError(t, s.Process.Signal(syscall.SIGTERM))
	require.Eventually(t, func() bool { return strings.Contains(s.log.String(), "again=true") }, patience, time.Millisecond)
	close(release)
	code, _, _ := c.answer(t)
	assert.EqualValues(t, 1, code)
	_, err := io.Copy(io.Discard, c)
	assert.NoError(t, err, "ended, not reset")
	_ = c.Close()
	s.killed = true
	assert.NoError(t, <-s.ended, "exit 0")
}

// TestPortStillInUse: the process before may still hold it. A signal is heard only between two tries, so it proves the first.
func TestPortStillInUse(t *testing.T) {
	type result struct {
		net.Listener
		error
	}
	for _, last := range []os.Signal{syscall.SIGUSR1, syscall.SIGTERM} {
		held, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		signals, got := make(chan os.Signal), make(chan result)
		go func() {
			ln, err := listen(held.Addr().String(), signals, telemetry.New(io.Discard, ""))
			got <- result{ln, err}
		}()
		signals <- syscall.SIGUSR1
		signals <- last
		require.NoError(t, held.Close())
		r := <-got
		require.NoError(t, r.error)
		if last == syscall.SIGTERM {
			assert.Nil(t, r.Listener, "it is told to end before it began")
			continue
		}
		assert.NoError(t, r.Listener.Close())
	}
}

// TestReloadsNeverWait shows that, while the discovery client follows no address, a reload does not wait for it, and that
// the newest address is the one that it will follow.
func TestReloadsNeverWait(t *testing.T) {
	r := &router{
		metrics:   telemetry.New(io.Discard, ""),
		discovery: &discovery.Client{AddressChanges: make(chan string, 1)},
	}
	for _, addr := range []string{"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"} {
		r.load = func() (bootstrap.Config, error) { return bootstrap.Config{DiscoveryAddress: addr}, nil }
		r.reload(t.Context())
	}
	assert.Equal(t, "127.0.0.1:3", <-r.discovery.AddressChanges)
	assert.Equal(t, "127.0.0.1:3", r.config.DiscoveryAddress)
}

// TestDrainEndsBeforeTheKill: which comes no sooner than the longest time limit, 3 s at most, and 0.7 s.
func TestDrainEndsBeforeTheKill(t *testing.T) {
	for longest, want := range map[float64]time.Duration{0.9: 1300 * time.Millisecond, 2: 2400 * time.Millisecond, 6: 3400 * time.Millisecond} {
		m := bootstrap.Config{ClassNames: []string{"a", "b"}, Settings: routing.Settings{
			routing.ClassSetting(0, "limit_s"): "0.5",
			routing.ClassSetting(1, "limit_s"): strconv.FormatFloat(longest, 'f', -1, 64),
		}}
		assert.Equal(t, want, drainTimeout(m), longest)
	}
}

// TestSignalBeforeTheStart: a SIGHUP that meets the shell, or the program before it hears signals, does not end it, and those
// after the start are followed. The line is the deploy file's own.
func TestSignalBeforeTheStart(t *testing.T) {
	text, err := os.ReadFile("../../deploy/balancer.toml")
	require.NoError(t, err)
	run := regexp.MustCompile(`(?m)^run = "(.*)"`).FindSubmatch(text)
	require.NotNil(t, run)
	m := serveMember(t, func(h hop) string { return served(h, "x") })
	s := begin(t, 64, m, m)
	require.NoError(t, s.end(t, syscall.SIGTERM))
	s.shell = strings.Replace(string(run[1]), "exec bin/cairnfront", "kill -HUP $$; exec "+program, 1)
	require.Contains(t, s.shell, "kill")
	s.start(t)
	next := serveBoard(t)
	require.NoError(t, os.WriteFile(s.path, manifest(s.addr, next.Addr().String(), 64, m, m), 0o600))
	require.NoError(t, s.Process.Signal(syscall.SIGHUP))
	select {
	case next.say <- notice(2, 2, record(1, m, 0)):
	case <-time.After(patience):
		t.Fatal("the new board is not asked")
	}
}

// TestDiscoveryComesBackWhileClientsFillTheDescriptors: the system's limit is lower than what the program was told. Clients
// that rest take all that they may; the board goes away and comes back, and who asks is served.
func TestDiscoveryComesBackWhileClientsFillTheDescriptors(t *testing.T) {
	old, m := serveMember(t, func(h hop) string { return served(h, "old") }), serveMember(t, func(h hop) string { return served(h, "new") })
	s := begin(t, 64, old, old)
	require.NoError(t, s.end(t, syscall.SIGTERM))
	s.shell = "ulimit -n 64; exec " + program + " serve"
	s.start(t)
	stop := make(chan bool)
	rest := sync.WaitGroup{}
	for range 80 { // each comes again when it is ended
		rest.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if c, err := net.Dial("tcp", s.addr); err == nil {
					_, _ = c.Write(append(clientproto.AppendHeader(nil, clientproto.TypeReadinessQuery, 0, 1), 0))
					_ = c.SetReadDeadline(time.Now().Add(time.Second))
					_, _ = io.Copy(io.Discard, c)
					_ = c.Close()
				}
			}
		})
	}
	defer rest.Wait()
	defer close(stop)
	full := func() bool {
		before := strings.Count(s.log.String(), "counter process.descriptors")
		require.NoError(t, s.Process.Signal(syscall.SIGUSR1))
		require.Eventually(t, func() bool { return strings.Count(s.log.String(), "counter process.descriptors") > before }, patience, time.Millisecond)
		return s.counters()["conn.client.open"] >= 28
	}
	require.Eventually(t, full, patience, 10*time.Millisecond)
	next := serveBoard(t)
	require.NoError(t, os.WriteFile(s.path, manifest(s.addr, next.Addr().String(), 64, old, old), 0o600))
	require.NoError(t, s.Process.Signal(syscall.SIGHUP))
	next.say <- notice(2, 2, append(record(9, m, 0), record(1, old, 2)...))
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			return false
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(time.Second))
		(&client{Conn: c}).ask("page", row, "")
		text, _ := io.ReadAll(c)
		return strings.HasSuffix(string(text), "new")
	}, patience, time.Millisecond, "it is heard of, and a new client gets in")
	assert.Less(t, s.counters()["process.descriptors"], 64)
}
