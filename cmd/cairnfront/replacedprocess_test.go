package main

import (
	"bytes"
	"net"
	"sync"
	"testing"
	"time"

	"cairnfront/internal/clientproto"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A keyed request that an endpoint's last process may have run must not go to a process of another cell at its address.
func TestReplacedProcessGetsNoRequestOfTheFormerOne(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	run := func(attempt receivedAttempt) {
		mu.Lock()
		defer mu.Unlock()
		ran[attempt.fields["replay"]]++
	}
	blocked := make(chan bool)
	defer close(blocked)
	origin := startCache(t, func(attempt receivedAttempt) string {
		run(attempt)
		<-blocked
		return ""
	})
	cell := func(content []byte) []byte {
		content = bytes.Replace(content, []byte(`"group":0`), []byte(`"group":1`), 1)
		return bytes.ReplaceAll(content, []byte(`"group":"all"`), []byte(`"group":"cell"`))
	}
	other := startCache(t, func(attempt receivedAttempt) string { return okResponse(attempt, "x") })
	router := startProgram(t, launch{program: program, editBootstrap: cell}, 64, origin, other)
	c := router.dial(t)
	const requests = 20
	for range requests {
		c.send("write", randomID(), "body", clientproto.Field{Name: "dedupe", Value: randomID()})
	}
	require.Eventually(t, func() bool {
		return origin.attemptCount() > 0 && origin.attemptCount()+other.attemptCount() == requests
	}, waitTimeout, time.Millisecond)
	address := origin.Addr().String()
	origin.kill()
	ln, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
	require.NoError(t, err)
	replacement := &cacheStub{Listener: ln, cancelled: make(chan string, 1000)}
	replacement.answer = func(attempt receivedAttempt) string {
		run(attempt)
		return okResponse(attempt, "x")
	}
	replacement.accept(t, ln)
	for range requests {
		c.readResponse(t)
	}
	mu.Lock()
	defer mu.Unlock()
	for _, times := range ran {
		assert.Equal(t, 1, times, "runs of a key in two cells")
	}
}
