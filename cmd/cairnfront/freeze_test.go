package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cairnfront/internal/clientproto"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// fillingDelay is the response time of a freezingCache while the test fills the connections to it.
const fillingDelay = 50 * time.Millisecond

// largePageCount is a number of large pages that exceeds the buffers of a connection to a freezingCache.
const largePageCount = 6

// freezingCache is a cache stub with small socket buffers. Once armed, it reads two attempts and the command line of a
// third one without answering any, and then stops reading.
type freezingCache struct {
	net.Listener
	mu              sync.Mutex
	filling, armed  bool
	served          int
	taken           []receivedAttempt
	resuming        chan struct{} // closed to let the frozen cache continue reading
	readAfterResume chan int      // number of attempts that it then reads completely
}

func startFreezingCache(t *testing.T) *freezingCache {
	t.Helper()
	cache := &freezingCache{
		Listener: listenWithSmallBuffers(t), resuming: make(chan struct{}), readAfterResume: make(chan int, 1),
	}
	t.Cleanup(func() { _ = cache.Close() })
	go func() {
		for {
			conn, err := cache.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go cache.serve(conn)
		}
	}()
	return cache
}

// set calls change while holding the cache's lock.
func (c *freezingCache) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// servedCount returns how many attempts the cache has answered.
func (c *freezingCache) servedCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served
}

// takenAttempts returns the attempts that the cache has read since it was armed; of the third it has read a part.
func (c *freezingCache) takenAttempts() []receivedAttempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.taken
}

// receive returns how the cache handles an attempt: the delay of its answer, whether it answers, and whether it reads
// the rest of the attempt.
func (c *freezingCache) receive(attempt receivedAttempt) (delay time.Duration, answers, continueReading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.armed {
		c.taken = append(c.taken, attempt)
		return 0, false, len(c.taken) < 3
	}
	c.served++
	if c.filling {
		delay = fillingDelay
	}
	return delay, true, true
}

func (c *freezingCache) serve(conn net.Conn) {
	reader := bufio.NewReaderSize(conn, 1<<10)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		words := strings.Fields(line)
		if words[0] != "do" {
			continue
		}
		attempt := receivedAttempt{id: words[1], conn: conn}
		delay, answers, continueReading := c.receive(attempt)
		length, _ := strconv.Atoi(words[3])
		if !continueReading {
			<-c.resuming
			c.readAfterResume <- countAttempts(reader, length)
			return
		}
		if _, err := io.CopyN(io.Discard, reader, int64(length)+2); err != nil {
			return
		}
		time.Sleep(delay)
		if answers {
			_, _ = io.WriteString(conn, okResponse(attempt, "x"))
		}
	}
}

// countAttempts reads from a connection until it ends, starting with the body of an attempt, and returns how many
// attempts it read completely.
func countAttempts(reader *bufio.Reader, bodyBytes int) (complete int) {
	for {
		if _, err := io.CopyN(io.Discard, reader, int64(bodyBytes)+2); err != nil {
			return complete
		}
		complete++
		line, err := reader.ReadString('\n')
		if words := strings.Fields(line); err == nil && words[0] == "do" {
			bodyBytes, _ = strconv.Atoi(words[3])
		} else {
			return complete
		}
	}
}

// objectsOf requests 40 objects with a class, one at a time, and returns those that the given cache served.
func objectsOf(t *testing.T, c *client, cache *freezingCache, class string) []string {
	t.Helper()
	var objects []string
	for i := range 40 {
		before := cache.servedCount()
		c.send(class, fmt.Sprintf("%016x", i), "")
		c.expectCode(t, codeCompleted)
		if cache.servedCount() > before {
			objects = append(objects, fmt.Sprintf("%016x", i))
		}
	}
	require.NotEmpty(t, objects)
	return objects
}

// A cache reads an order and a page, and freezes in the middle of the third attempt on their connection. The router
// delayed the page's retry until the order's deadline, so the page was lost. Another cache must answer the page in
// time, whether or not the settings allow concurrent attempts. The order, which may have run, must be answered too.
// Cancelled attempts must not run when the cache resumes.
func TestPageIsRetriedIfItsCacheFreezes(t *testing.T) {
	for _, parallel := range []bool{false, true} {
		t.Run(fmt.Sprint("parallel tries ", parallel), func(t *testing.T) {
			frozen, other := startFreezingCache(t), startFreezingCache(t)
			stub := func(c *freezingCache) *cacheStub { return &cacheStub{Listener: c.Listener} }
			router := startEditedRouter(t, func(content []byte) []byte {
				content = bytes.Replace(content, []byte(`"sockets":1024`), []byte(`"sockets":64`), 1)
				return bytes.Replace(content, []byte(`"parallel_tries":false`),
					fmt.Appendf(nil, `"parallel_tries":%t`, parallel), 1)
			}, stub(other), stub(frozen), stub(other))
			c := router.dial(t)
			frozenObjects := map[string]string{}
			for _, class := range []string{"order", "page"} {
				frozenObjects[class] = objectsOf(t, c, frozen, class)[0]
			}
			other.set(func() { other.filling = true })
			for i := range 32 { // to the origin, so that only one connection to the freezing cache remains
				c.send("write", objectID, "", clientproto.Field{Name: "dedupe", Value: fmt.Sprint("k", i)})
			}
			for range 32 {
				c.expectCode(t, codeCompleted)
			}
			other.set(func() { other.filling = false })
			frozen.set(func() { frozen.armed = true })
			testRequestsDuringFreeze(t, c, frozen, frozenObjects)
		})
	}
}

// testRequestsDuringFreeze sends an armed cache an order, a page and large pages, all on one connection, and checks the
// response code of each.
func testRequestsDuringFreeze(t *testing.T, c *client, frozen *freezingCache, objects map[string]string) {
	t.Helper()
	startedAt := time.Now()
	names := map[uint32]string{}
	send := func(name, class string, bodyBytes, ttlMillis int) {
		c.ttlMillis = ttlMillis
		c.send(class, objects[class], string(make([]byte, bodyBytes)))
		names[c.stream] = name
	}
	send("order", "order", 0, 4000)
	send("page", "page", 0, 2500)
	require.Eventually(t, func() bool { return len(frozen.takenAttempts()) == 2 }, waitTimeout, time.Millisecond)
	for range largePageCount {
		send("large page", "page", clientproto.MaxBodyBytes, 3000)
	}
	codes := map[string]map[byte]int{"order": {}, "page": {}, "large page": {}}
	for range names {
		_, stream, payload := c.readFrame(t)
		codes[names[stream]][payload[0]]++
		t.Logf("%s: code %d after %v", names[stream], payload[0], time.Since(startedAt).Round(time.Millisecond))
	}
	taken := frozen.takenAttempts()
	require.Same(t, taken[0].conn, taken[1].conn)
	close(frozen.resuming)
	assert.Zero(t, <-frozen.readAfterResume, "cancelled attempts that the cache reads completely after it resumes")
	assert.Equal(t, map[string]map[byte]int{
		"order":      {codeAborted: 1},
		"page":       {codeCompleted: 1},
		"large page": {codeCompleted: largePageCount},
	}, codes)
}
