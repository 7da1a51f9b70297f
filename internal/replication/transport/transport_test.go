package transport

import (
	"context"
	"crypto/ed25519"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const waits = 20 * time.Second

func key(c string) ed25519.PrivateKey { return ed25519.NewKeyFromSeed([]byte(strings.Repeat(c, 32))) }

// start runs a router's connections; what it takes comes out of the channel.
func start(t *testing.T, me string, k ed25519.PrivateKey, ln net.Listener, peers []Peer) (*Transport, chan Frame, chan bool) {
	took, up := make(chan Frame, 100), make(chan bool, 100)
	n := &Transport{Name: me, PrivateKey: k, Peers: peers, OnFrame: func(_ string, f Frame) { took <- f }, OnPeerState: func(_ string, is bool) { up <- is }}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- n.Run(ctx, ln) }()
	t.Cleanup(func() { cancel(); <-done })
	return n, took, up
}

func listen(t *testing.T) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return ln
}

func TestFramesGoBetweenThoseOfTheRosterOnly(t *testing.T) {
	a, b := listen(t), listen(t)
	peers := []Peer{{"a", key("a").Public().(ed25519.PublicKey), a.Addr().String()}, {"b", key("b").Public().(ed25519.PublicKey), b.Addr().String()}}
	one, _, up := start(t, "a", key("a"), a, peers)
	_, took, _ := start(t, "b", key("b"), b, peers)
	select {
	case is := <-up:
		require.True(t, is)
	case <-time.After(waits):
		t.Fatal("they do not meet")
	}
	require.True(t, one.Send("b", Frame{Kind: KindRead, Shard: 7, Key: "k", Number: 3}))
	select {
	case f := <-took:
		assert.Equal(t, Frame{Kind: KindRead, Shard: 7, Key: "k", Number: 3}, f)
	case <-time.After(waits):
		t.Fatal("nothing came")
	}
	// Somebody with a key of its own under a's name.
	c := listen(t)
	liar, _, up := start(t, "a", key("x"), c, []Peer{{"a", key("x").Public().(ed25519.PublicKey), ""}, peers[1]})
	liar.Send("b", Frame{Kind: KindRead, Key: "forged"})
	select {
	case <-up: // TLS 1.3 lets a client think that it is through until it reads
	case <-time.After(time.Second):
	}
	select {
	case f := <-took:
		t.Fatalf("taken: %+v", f)
	case <-time.After(300 * time.Millisecond):
	}
}

func TestWhatWaitsIsBounded(t *testing.T) {
	n := &Transport{Name: "a", PrivateKey: key("a")}
	sent := 0
	for range 2 * maxQueuedFrames {
		if n.Send("b", Frame{Kind: KindRaft, Payload: make([]byte, 10)}) {
			sent++
		}
	}
	assert.Equal(t, maxQueuedFrames, sent)
	assert.False(t, n.Send("b", Frame{Kind: KindRaft, Payload: make([]byte, MaxFrameBytes+1)}))
	n = &Transport{Name: "a", PrivateKey: key("a")}
	sent = 0
	for range 100 {
		if n.Send("b", Frame{Kind: KindRaft, Payload: make([]byte, 1<<20)}) {
			sent++
		}
	}
	assert.LessOrEqual(t, sent, maxQueuedBytes>>20)
}
