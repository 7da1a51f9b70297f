package lab

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"sort"
	"sync"
	"time"

	"cairnfront/internal/clientproto"
)

// ask is one txn as a client asks it.
type ask struct {
	rule   string
	object uint64
	part   uint32
	group  int
	key    string // of keyed rules
	body   []byte
	ttl    time.Duration
}

// reply is what came of it.
type reply struct {
	ask
	id         string
	sent, done float64 // Unix s
	code       byte    // 1 served, 0 refused, 9 failed; 255 where no answer came
	body       []byte
	pushback   time.Duration
}

const noAnswer = 255

// line is a client's connection to a router: one txn at a time.
type clientConn struct {
	c      net.Conn
	stream uint32
	second int64 // answers to a stream that had its own
}

// do asks one txn and waits for its answer as long as a client does, and a little longer to see whether it is late.
func (l *clientConn) do(addr string, a ask, id string) (reply, error) {
	r := reply{ask: a, id: id, code: noAnswer}
	if l.c == nil {
		c, err := net.DialTimeout("tcp", addr, time.Second)
		if err != nil {
			return r, err
		}
		l.c, l.stream = c, 0
	}
	l.stream++
	fields := []clientproto.Field{{Name: "op", Value: a.rule}, {Name: "call", Value: id}, {Name: "ttl", Value: fmt.Sprint(a.ttl.Milliseconds())},
		{Name: "row", Value: fmt.Sprintf("%016x", a.object)}, {Name: "seg", Value: fmt.Sprint(a.part)}, {Name: "bucket", Value: fmt.Sprint(a.group)},
		{Name: "heap", Value: "30"}}
	if a.key != "" {
		fields = append(fields, clientproto.Field{Name: "dedupe", Value: a.key})
	}
	payload := append(clientproto.AppendFields(nil, fields...), a.body...)
	r.sent = unix(time.Now())
	if _, err := l.c.Write(append(clientproto.AppendHeader(nil, clientproto.TypeRequest, l.stream, len(payload)), payload...)); err != nil {
		l.hangUp()
		return r, err
	}
	_ = l.c.SetReadDeadline(time.Now().Add(a.ttl + 500*time.Millisecond))
	for {
		head := make([]byte, clientproto.HeaderSize)
		if _, err := io.ReadFull(l.c, head); err != nil {
			l.hangUp()
			return r, nil
		}
		h, err := clientproto.ParseHeader(head)
		if err != nil {
			l.hangUp()
			return r, nil
		}
		body := make([]byte, h.PayloadBytes)
		if _, err := io.ReadFull(l.c, body); err != nil {
			l.hangUp()
			return r, nil
		}
		if h.Type != clientproto.TypeResponse {
			continue
		}
		if h.StreamID != l.stream {
			l.second++
			continue
		}
		r.done = unix(time.Now())
		if len(body) == 0 {
			l.hangUp()
			return r, nil
		}
		r.code = body[0]
		fields, rest, err := clientproto.ParseFields(body[1:])
		if err != nil {
			r.code = noAnswer
		}
		for _, f := range fields {
			if f.Name == "pushback" {
				var ms int64
				_, _ = fmt.Sscan(f.Value, &ms)
				r.pushback = time.Duration(ms) * time.Millisecond
			}
		}
		r.body = rest
		return r, nil
	}
}

func (l *clientConn) hangUp() {
	if l.c != nil {
		_ = l.c.Close()
		l.c = nil
	}
}

// crowd is the clients of one router: families who watch videos, leaf through pages and order prints.
type crowd struct {
	addr    string
	n       int
	seed    uint64
	objects int
	parts   int
	groups  int
	pause   time.Duration // mean between a client's txns
	heard   func(reply)
	fragile bool // unrepeatable txns too
	second  int64
	mu      sync.Mutex
}

// run plays them until the context ends.
func (c *crowd) run(ctx context.Context) {
	cum := make([]float64, c.objects)
	sum := 0.0
	for i := range cum {
		sum += math.Pow(float64(i+1), -dayExponent)
		cum[i] = sum
	}
	var all sync.WaitGroup
	for i := range c.n {
		all.Go(func() {
			r := rand.New(rand.NewPCG(c.seed, uint64(i)+1))
			l := &clientConn{}
			defer func() {
				c.mu.Lock()
				c.second += l.second
				c.mu.Unlock()
				l.hangUp()
			}()
			a := ask{}
			for ctx.Err() == nil {
				switch x := r.Float64(); {
				case x > 0.97 && c.fragile:
					a = ask{rule: "record", object: 0xffe0000 + uint64(r.IntN(9)), body: make([]byte, 200), ttl: 3 * time.Second}
				case x < 0.03:
					a = ask{rule: "print-order", object: 0xfff0000 + uint64(r.IntN(9)), key: fmt.Sprintf("%016x%016x", r.Uint64(), r.Uint64()),
						body: make([]byte, 200), ttl: 3 * time.Second}
				case x < 0.4 || a.rule != "video-part":
					a = ask{rule: "page-asset", object: 0x100000 + uint64(sort.SearchFloat64s(cum, r.Float64()*sum)), ttl: 2500 * time.Millisecond}
					if r.Float64() < 0.6 {
						a.rule, a.object, a.ttl = "video-part", a.object-0x100000+1, 5*time.Second
					}
				default: // the next part
					if a.part++; int(a.part) >= c.parts {
						a.part = 0
						a.object = uint64(sort.SearchFloat64s(cum, r.Float64()*sum)) + 1
					}
				}
				a.group = int(a.object % uint64(c.groups))
				rep, err := l.do(c.addr, a, fmt.Sprintf("%016x", r.Uint64()))
				if err == nil {
					c.heard(rep)
				}
				wait := time.Duration(r.ExpFloat64() * float64(c.pause))
				select {
				case <-ctx.Done():
				case <-time.After(min(wait+rep.pushback, 3*time.Second)):
				}
			}
		})
	}
	all.Wait()
}
