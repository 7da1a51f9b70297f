//go:build review

package main

import (
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// maxOpen is how many requests a client keeps open on a connection; the protocol allows 32.
const maxOpen = 30

// requestFields returns the fields of a request. The time is in milliseconds, the size in KB.
func requestFields(class, object, timeMillis, sizeKB string) []field {
	return []field{
		{"op", class},
		{"call", newID()},
		{"ttl", timeMillis},
		{"row", object},
		{"seg", "0"},
		{"bucket", "17"},
		{"heap", sizeKB},
	}
}

// usualClients send requests that are in order, at a steady rate, and count what became of them.
type usualClients struct {
	class class
	known catalogue
	rate  int // requests a second

	mu      sync.Mutex
	open    map[uint32]time.Time // by stream: when the request was written
	sent    int
	answers [10]int // by code
	slowest time.Duration
}

// start connects to the router and sends requests until stop is closed.
func (u *usualClients) start(addr string, stop <-chan struct{}) error {
	u.open = map[uint32]time.Time{}
	c, err := dialClient(addr, u.answered, func(error) {})
	if err != nil {
		return err
	}
	go func() {
		defer c.conn.Close()
		ticker := time.NewTicker(time.Second / time.Duration(u.rate))
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			if u.openRequests() < maxOpen && c.send(u.request(i), u.noteSent) != nil {
				return
			}
		}
	}()
	return nil
}

// request returns the fields of a request for an object that the caches know.
func (u *usualClients) request(number int) []field {
	object := u.known.objects[number%len(u.known.objects)]
	timeMillis := strconv.Itoa(int(u.class.timeLimit * 1000))
	return requestFields(u.class.name, object, timeMillis, strconv.FormatFloat(u.known.sizes[object], 'f', 1, 64))
}

func (u *usualClients) openRequests() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.open)
}

func (u *usualClients) noteSent(stream uint32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.sent++
	u.open[stream] = time.Now()
}

func (u *usualClients) answered(a answer) {
	u.mu.Lock()
	defer u.mu.Unlock()
	sentAt, open := u.open[a.stream]
	if a.kind != frameAnswer || !open {
		return
	}
	delete(u.open, a.stream)
	u.answers[a.code]++
	u.slowest = max(u.slowest, time.Since(sentAt))
}

// String returns the counts for the record.
func (u *usualClients) String() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("usual clients: sent %d, served %d, refused %d, failed %d, open %d, slowest answer %v",
		u.sent, u.answers[codeServed], u.answers[codeRefused], u.answers[codeFailed], len(u.open),
		u.slowest.Round(time.Millisecond))
}

// badClients send at full speed and read what they are sent: each keeps maxOpen requests open on its connection, and
// sends the next as soon as one is answered.
type badClients struct {
	request func() []field

	sent    atomic.Int64
	answers [10]atomic.Int64 // by code
}

// start starts a number of bad clients, which go on until stop is closed.
func (b *badClients) start(addr string, count int, stop <-chan struct{}) {
	for range count {
		go b.flood(addr, stop)
	}
}

// flood is one bad client.
func (b *badClients) flood(addr string, stop <-chan struct{}) {
	slots := make(chan struct{}, maxOpen)
	ended := make(chan struct{})
	c, err := dialClient(addr, func(a answer) {
		if a.kind == frameAnswer && a.stream != 0 {
			b.answers[a.code].Add(1)
			<-slots
		}
	}, func(error) { close(ended) })
	if err != nil {
		return
	}
	defer c.conn.Close()
	for {
		select {
		case <-stop:
			return
		case <-ended:
			return
		case slots <- struct{}{}:
		}
		if c.send(b.request(), func(uint32) { b.sent.Add(1) }) != nil {
			return
		}
	}
}

// String returns the counts for the record.
func (b *badClients) String() string {
	return fmt.Sprintf("bad clients: sent %d, served %d, refused %d, failed %d",
		b.sent.Load(), b.answers[codeServed].Load(), b.answers[codeRefused].Load(), b.answers[codeFailed].Load())
}
