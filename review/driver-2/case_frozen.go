//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["frozen-edge-cache"] = frozenEdgeCache }

// Figures of the case frozen-edge-cache.
const (
	frozenEdgeCount  = 6               // one of them stands still at a time: up to 19% may
	frozenFor        = 6 * time.Second // "take txns and answer none for 5.6 to 23 s"
	keyWindow        = 2 * time.Second // window_ms of the site's class
	frozenRounds     = 3               // each of the first three edge caches stands still once
	frozenBursts     = 4
	frozenClients    = 5
	frozenWrites     = 20 // at once on each connection; 32 are allowed
	frozenBodyBytes  = 2000
	frozenTTL        = 3 * time.Second
	originWork       = 20 * time.Millisecond
	burstPause       = 300 * time.Millisecond
	afterFrozenPause = 2 * time.Second
	repeatMargin     = 200 * time.Millisecond // before the end of the window, no repeat is sent any more
)

// keyedOrigin is an origin that drops a repeat of a key within keyWindow of the run of that key.
type keyedOrigin struct {
	record *record
	mu     sync.Mutex
	ranAt  map[string][]time.Time // by key, the times at which it took effect
}

func (o *keyedOrigin) decide(a attempt) reply {
	key, now := a.fields["replay"], time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	ran := o.ranAt[key]
	if len(ran) == 0 || now.Sub(ran[len(ran)-1]) > keyWindow {
		o.ranAt[key] = append(ran, now)
		o.record.printf("origin: key %s takes effect", key)
	} else {
		o.record.printf("origin: key %s is a repeat and is dropped", key)
	}
	return reply{delay: originWork, word: "served"}
}

// frozenEdgeCache sends keyed writes while one of four edge caches stands still for some seconds, and checks that none
// takes effect twice.
func frozenEdgeCache(env *environment) error {
	origin := &keyedOrigin{record: env.record, ranAt: map[string][]time.Time{}}
	site, err := startSite(env, frozenEdgeCount, origin.decide)
	defer site.stop()
	if err != nil {
		return err
	}
	classes := []any{
		classSettings("page", "retryable", 0.25, 3, false), classSettings("record", "dedup", 0.7, 3, true),
	}
	classes[1].(map[string]any)["window_s"] = keyWindow.Seconds() //nolint:forcetypeassert // classSettings made it
	router, err := startRouter(env, routerConfiguration(site.board.address(), 192, 1024, classes, site.entries...))
	defer router.stop()
	if err != nil {
		return err
	}
	for round := range frozenRounds {
		if err := playFrozenRound(env, router.address, site.edges[round]); err != nil {
			return err
		}
	}
	return origin.judge()
}

// playFrozenRound sends bursts of writes; an edge cache stands still from before the last burst on.
func playFrozenRound(env *environment, router string, frozen *edgeProcess) error {
	var writers []*keyedWriter
	for i := range frozenClients {
		c, err := connect(env.record, fmt.Sprintf("client %d", i+1), router)
		if err != nil {
			return err
		}
		defer c.close()
		writers = append(writers, &keyedWriter{client: c})
	}
	burst := func() {
		for _, w := range writers {
			w.burst()
		}
	}
	for range frozenBursts {
		burst()
		time.Sleep(burstPause)
	}
	if env.trouble {
		env.record.printf("edge cache %s stands still", frozen.entry.id)
		frozen.signal(syscall.SIGSTOP)
	}
	burst()
	time.Sleep(frozenFor)
	if env.trouble {
		env.record.printf("edge cache %s goes on", frozen.entry.id)
		frozen.signal(syscall.SIGCONT)
	}
	time.Sleep(afterFrozenPause)
	return nil
}

// keyedWriter is a client that sends keyed writes on one connection, and sends a refused one again with its key.
type keyedWriter struct {
	client *client
	mu     sync.Mutex
	stream uint32
}

func (w *keyedWriter) nextStream() uint32 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stream++
	return w.stream
}

// burst sends a number of writes at once.
func (w *keyedWriter) burst() {
	for range frozenWrites {
		key, object, first := newID()+newID(), newID(), time.Now()
		r := w.send(key, object)
		go w.repeatRefused(r, key, object, first)
	}
}

func (w *keyedWriter) send(key, object string) *clientRequest {
	return w.client.send(w.nextStream(), "record", object, frozenTTL, make([]byte, frozenBodyBytes), "dedupe", key)
}

// repeatRefused waits for the answer to a write. One that is refused is sent again once, after the time that the
// refusal asks for, as long as the key is remembered.
func (w *keyedWriter) repeatRefused(r *clientRequest, key, object string, first time.Time) {
	for deadline := time.Now().Add(frozenTTL); r != nil && time.Now().Before(deadline); time.Sleep(pollInterval) {
		answered := w.client.snapshot(r)
		if answered.answers == 0 {
			continue
		}
		if answered.code == codeRefused {
			time.Sleep(answered.pushback)
			if time.Since(first) < keyWindow-repeatMargin {
				w.send(key, object)
			}
		}
		return
	}
}

// judge checks that no key took effect twice.
func (o *keyedOrigin) judge() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	twice := 0
	for key, ran := range o.ranAt {
		if len(ran) > 1 {
			twice++
			o.record.printf("DUPLICATE: key %s took effect %d times, the last %v after the first",
				key, len(ran), ran[len(ran)-1].Sub(ran[0]).Round(time.Millisecond))
		}
	}
	if twice > 0 {
		return brokenf("%d of %d keys took effect twice", twice, len(o.ranAt))
	}
	return nil
}
