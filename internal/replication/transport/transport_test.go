package transport

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const testTimeout = 20 * time.Second

func key(letter string) ed25519.PrivateKey {
	return ed25519.NewKeyFromSeed([]byte(strings.Repeat(letter, 32)))
}

func publicKey(t *testing.T, letter string) ed25519.PublicKey {
	t.Helper()
	public, ok := key(letter).Public().(ed25519.PublicKey)
	require.True(t, ok)
	return public
}

// startTransport runs a router's transport until the test ends. Received frames and peer states are
// sent to the channels.
func startTransport(
	t *testing.T, name string, privateKey ed25519.PrivateKey, listener net.Listener, peers []Peer,
) (transport *Transport, frames chan Frame, connected chan bool) {
	t.Helper()
	frames, connected = make(chan Frame, 100), make(chan bool, 100)
	transport = &Transport{
		Name:        name,
		PrivateKey:  privateKey,
		Peers:       peers,
		OnFrame:     func(_ string, frame Frame) { frames <- frame },
		OnPeerState: func(_ string, is bool) { connected <- is },
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = transport.Run(ctx, listener)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return transport, frames, connected
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return listener
}

// TestFramesAreAcceptedFromListedPeersOnly connects two routers, and then a third one that uses a
// listed name with its own key. A forged frame could cause a key to be granted twice. Frames of the
// listed peer must arrive, and none of the forger.
func TestFramesAreAcceptedFromListedPeersOnly(t *testing.T) {
	listenerA, listenerB := listen(t), listen(t)
	peers := []Peer{
		{"a", publicKey(t, "a"), listenerA.Addr().String()},
		{"b", publicKey(t, "b"), listenerB.Addr().String()},
	}
	transportA, _, connected := startTransport(t, "a", key("a"), listenerA, peers)
	_, framesB, _ := startTransport(t, "b", key("b"), listenerB, peers)
	select {
	case is := <-connected:
		require.True(t, is)
	case <-time.After(testTimeout):
		t.Fatal("not connected")
	}
	sent := Frame{Kind: KindRead, Shard: 7, Key: "k", Number: 3}
	require.True(t, transportA.Send("b", sent))
	select {
	case frame := <-framesB:
		assert.Equal(t, sent, frame)
	case <-time.After(testTimeout):
		t.Fatal("no frame arrived")
	}

	// Another router uses the name of a, with its own key.
	forgedPeers := []Peer{{"a", publicKey(t, "x"), ""}, peers[1]}
	forger, _, connected := startTransport(t, "a", key("x"), listen(t), forgedPeers)
	forger.Send("b", Frame{Kind: KindRead, Key: "forged"})
	select {
	case <-connected: // with TLS 1.3 a client considers the handshake complete until it reads
	case <-time.After(time.Second):
	}
	select {
	case frame := <-framesB:
		t.Fatalf("a forged frame was accepted: %+v", frame)
	case <-time.After(300 * time.Millisecond):
	}
}

// countSent sends frames of a given size to a peer that is not connected, and counts those that
// were queued.
func countSent(frames, payloadBytes int) int {
	transport := &Transport{Name: "a", PrivateKey: key("a")}
	sent := 0
	for range frames {
		if transport.Send("b", Frame{Kind: KindRaft, Payload: make([]byte, payloadBytes)}) {
			sent++
		}
	}
	return sent
}

// TestQueueIsBounded sends to a peer that is not connected. An unbounded queue would exhaust the
// memory while a peer is away. Frames above the limit of count, bytes or frame size must be
// dropped, and for the last one the error must name the reason.
func TestQueueIsBounded(t *testing.T) {
	assert.Equal(t, maxQueuedFrames, countSent(2*maxQueuedFrames, 10))
	assert.Zero(t, countSent(1, MaxFrameBytes+1))
	assert.LessOrEqual(t, countSent(100, 1<<20), maxQueuedBytes>>20)
	_, err := encodeFrame(Frame{Kind: KindRaft, Payload: make([]byte, MaxFrameBytes+1)})
	require.ErrorIs(t, err, errFrameTooLong)
	_, err = readFrame(bytes.NewReader(binary.BigEndian.AppendUint32(nil, MaxFrameBytes+1)))
	require.ErrorIs(t, err, errFrameTooLong)
}

// TestSlowPeerReceivesAllQueuedFrames queues many frames for a peer that reads slowly but steadily.
// A common timeout for all of them would end the connection and lose the remaining frames. Each
// frame has its own timeout.
func TestSlowPeerReceivesAllQueuedFrames(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	q := newQueue()
	q.frameTimeout = 80 * time.Millisecond
	for range 10 {
		require.True(t, q.push([]byte("12345678")))
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan bool)
	go func() {
		q.writeTo(ctx, near)
		close(ended)
	}()
	require.NoError(t, far.SetReadDeadline(time.Now().Add(testTimeout)))
	for range 10 {
		time.Sleep(20 * time.Millisecond)
		_, err := io.ReadFull(far, make([]byte, 8))
		require.NoError(t, err)
	}
	cancel()
	<-ended
}
