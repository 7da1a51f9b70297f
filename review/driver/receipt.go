//go:build review

package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	receiptParent = 0x80 // ids of the machines
	receiptOrigin = 0xff

	orderSpan  = 20 * time.Second
	orderRate  = 20 // requests a second
	resetEvery = 5  // one in so many orders meets a reset
)

// receiptOf returns the bytes that the origin answers an order with.
func receiptOf(key string) string { return "receipt of order " + key }

// orderOrigin is the stand-in for the origin. It runs an order once, drops a repeat of its key, and answers both with
// the same bytes.
type orderOrigin struct {
	record *record

	mu     sync.Mutex
	ran    map[string]bool // by key
	resets int
}

// run runs an order unless it is a repeat, and reports whether the connection is to be reset under it.
func (o *orderOrigin) run(key string) (repeat, reset bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ran[key] {
		return true, false
	}
	o.ran[key] = true
	if reset = troubled() && len(o.ran)%resetEvery == 0; reset {
		o.resets++
	}
	return false, reset
}

// attempt handles an order that came whole.
func (o *orderOrigin) attempt(a attempt) {
	key := a.fields["replay"]
	repeat, reset := o.run(key)
	if reset {
		o.record.note("origin: order %s has run, and its connection is reset", key)
		if tcp, ok := a.conn.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // closing it then resets it
		}
		_ = a.conn.Close()
		return
	}
	if repeat {
		o.record.note("origin: order %s comes again, as id %s; it is not run again, and is answered", key, a.id)
	}
	fields := fmt.Sprintf("digest=%s,dated=%d", key[:16], time.Now().UnixMilli())
	a.conn.reply(a.id, "served", fields, []byte(receiptOf(key)))
}

// orderClient sends orders, each once, and checks the bytes that it is answered with.
type orderClient struct {
	record *record

	mu           sync.Mutex
	keys         map[uint32]string // by stream
	whole, wrong int
	refused      int
}

func (c *orderClient) answered(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key, sent := c.keys[a.stream]
	switch {
	case !sent || a.kind != frameAnswer:
	case a.code != codeServed:
		c.refused++
	case string(a.body) == receiptOf(key):
		c.whole++
	default:
		c.wrong++
		c.record.note("client: order %s is answered 'served' with %d bytes %q", key, len(a.body), a.body)
	}
}

// send sends orders for a time.
func (c *orderClient) send(addr string, rule class, span time.Duration) error {
	conn, err := dialClient(addr, c.answered, func(error) {})
	if err != nil {
		return err
	}
	defer conn.conn.Close()
	for began := time.Now(); time.Since(began) < span; time.Sleep(time.Second / orderRate) {
		key := newID() + newID()
		fields := append(requestFields(rule.name, newID(), "3000", "1"), field{"dedupe", key})
		if err := conn.send(fields, func(stream uint32) { c.noteSent(stream, key) }); err != nil {
			return err
		}
	}
	time.Sleep(time.Duration(rule.timeLimit * float64(time.Second))) // the last answers
	return nil
}

func (c *orderClient) noteSent(stream uint32, key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.keys[stream] = key
}

// playReceipt plays connections that are reset under orders which have run, where the parent is a process of the
// project: the router sends such an order again, through the parent.
func playReceipt(r *record) (held bool, err error) {
	origin := &orderOrigin{record: r, ran: map[string]bool{}}
	d, stop, err := startReceiptDeployment(r, origin)
	if err != nil {
		return false, err
	}
	defer stop()
	client := &orderClient{record: r, keys: map[uint32]string{}}
	if err := client.send(d.router.addr, yearbook.classes[2], orderSpan); err != nil {
		return false, err
	}
	client.mu.Lock()
	defer client.mu.Unlock()
	r.note("orders: sent %d, served with the origin's bytes %d, with other bytes %d, refused or failed %d; resets %d",
		len(client.keys), client.whole, client.wrong, client.refused, origin.resets)
	return client.wrong == 0, nil
}

// startReceiptDeployment starts an edge cache and the origin as stand-ins, and a parent and a router as processes.
func startReceiptDeployment(r *record, origin *orderOrigin) (d *deployment, stop func(), err error) {
	originServer, err := startCache(origin.attempt)
	if err != nil {
		return nil, nil, err
	}
	edge, err := startCache(func(a attempt) { a.conn.reply(a.id, "not_here", "", nil) })
	if err != nil {
		return nil, nil, err
	}
	board, err := startBoard()
	if err != nil {
		return nil, nil, err
	}
	parent, err := startParent(r.dir, receiptParent, receiptOrigin, board.addr(), yearbook)
	if err != nil {
		return nil, nil, err
	}
	d = &deployment{board: board, machines: []listed{
		{id: 1, zone: zoneCampus, kind: kindEdge, addr: edge.addr(), weight: 12},
		{id: receiptParent, zone: zoneHub, kind: kindParent, addr: parent.addr, weight: 40},
		{id: receiptOrigin, zone: zoneHub, kind: kindOrigin, addr: originServer.addr(), weight: 40},
	}}
	var list []byte
	for _, m := range d.machines {
		list = append(list, m.record(boardReady)...)
	}
	board.post(boardList, list) // the parent learns it; the router has it from the bootstrap file
	if err := d.startRouter(r, yearbook); err != nil {
		parent.kill()
		return nil, nil, err
	}
	time.Sleep(1500 * time.Millisecond) // the parent hears from the board within a second
	return d, func() {
		d.router.kill()
		parent.kill()
	}, nil
}
