package main

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"testing"
	"time"
)

// The soak of clients that stand still draws its cases from seeds.
var (
	pausingSeeds     = flag.Int("pausing-seeds", 0, "number of cases of the soak of pausing clients")
	pausingFirstSeed = flag.Uint64("pausing-first-seed", 1, "seed of the first case of that soak")
)

const (
	pausingParallel    = 4 // cases that run at the same time
	shortDescriptors   = 192
	maxRestartPause    = 2600 * time.Millisecond
	restartBytesPerSec = 5_200_000 // the slowest pace of a usual client
)

// Plays drawn cases of clients that stand still, also behind a relay, after a kill, and beside a crowd.
func TestPausingSoak(t *testing.T) {
	slots := make(chan struct{}, pausingParallel)
	for seed := *pausingFirstSeed; seed < *pausingFirstSeed+uint64(*pausingSeeds); seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			test := drawPausedReaderCase(seed)
			t.Logf("%+v", test)
			test.run(t)
		})
	}
}

// drawPausedReaderCase draws a case from a seed.
func drawPausedReaderCase(seed uint64) pausedReaderCase {
	random := rand.New(rand.NewPCG(seed, 45)) //nolint:gosec // it has to be repeatable
	pick := func(values ...int) int { return values[random.IntN(len(values))] }
	test := pausedReaderCase{
		memoryMB:      pick(32, 32, 64, 192),
		clients:       pick(1, 4, 12),
		objects:       pick(1, 4, 20),
		pause:         time.Duration(pick(300, 1200, 1800, 2600, 4000, 6500)) * time.Millisecond,
		bytesPerSec:   pick(0, 0, 20_000, 200_000, 2_000_000),
		receiveBuffer: pick(0, smallReceiveBytes),
		silentReaders: pick(0, 0, 40, 150),
		stopped:       time.Duration(pick(0, 0, 0, 700, 2400)) * time.Millisecond,
		killed:        random.IntN(2) == 0,
		relayed:       random.IntN(2) == 0,
		relayDelay:    time.Duration(pick(0, 1, 5)) * time.Millisecond,

		cachesBreakOff: random.IntN(3) == 0,
		wholeFrames:    random.IntN(2) == 0,
	}
	if random.IntN(3) == 0 {
		test.descriptors = shortDescriptors
		test.silentReaders = min(test.silentReaders, shortDescriptors/3-test.clients) // the clients' share
	}
	if random.IntN(3) == 0 {
		test.restart()
	}
	return test
}

// restart makes the router of the case restart. Its clients have to be able to take what was open before SIGKILL: the
// protocol leaves no time for others.
func (test *pausedReaderCase) restart() {
	test.restarted = true
	test.pause = min(test.pause, maxRestartPause)
	test.relayed = false
	if test.bytesPerSec > 0 {
		test.bytesPerSec = restartBytesPerSec
	}
}

// relay passes the bytes of one connection on, and may stop or delay them in each direction.
type relay struct {
	toRouter, toClient *readGate
	end                *connectionEnd // of the connection to the router
}

// startRelay returns the address at which a relay accepts one connection for a router.
func startRelay(t *testing.T, router string, test pausedReaderCase, end *connectionEnd) (*relay, string) {
	t.Helper()
	newGate := func() *readGate { return &readGate{delay: test.relayDelay, cuts: !test.wholeFrames} }
	r := &relay{toRouter: newGate(), toClient: newGate(), end: end}
	ln := listenLoopback(t)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		server, err := dialTCP(t.Context(), router)
		if err != nil {
			_ = client.Close()
			return
		}
		t.Cleanup(func() {
			_ = client.Close()
			_ = server.Close()
		})
		go r.end.watch(server.(*net.TCPConn)) //nolint:forcetypeassert // dialTCP returns no other
		go passOn(server, gatedConn{client, r.toRouter})
		passOn(client, gatedConn{server, r.toClient})
	}()
	return r, ln.Addr().String()
}

// passOn copies bytes until the source ends, and then closes the destination's side.
func passOn(to net.Conn, from io.Reader) {
	_, err := io.Copy(to, from)
	socket, ok := to.(*net.TCPConn)
	if ok && (err == nil || errors.Is(err, net.ErrClosed)) {
		_ = socket.CloseWrite()
		return
	}
	_ = to.Close()
}
