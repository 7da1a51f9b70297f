//go:build review

package main

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

// Kinds of frames of the notice board, and the state of a machine that is ready.
const (
	boardNothing = 0
	boardList    = 1
	boardChanges = 2

	boardReady = 0
)

// board is a stand-in for the notice board. Events are numbered from 1.
type board struct {
	listener net.Listener
	mu       sync.Mutex
	events   [][]byte // frames; the event with number n is at index n-1
}

// startBoard starts a notice board on a free loopback port.
func startBoard() (*board, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &board{listener: ln}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(conn)
		}
	}()
	return b, nil
}

func (b *board) addr() string { return b.listener.Addr().String() }

// boardFrame returns a frame of the notice board.
func boardFrame(number uint64, kind byte, payload []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(9+len(payload)))
	frame = binary.BigEndian.AppendUint64(frame, number)
	return append(append(frame, kind), payload...)
}

// post adds an event.
func (b *board) post(kind byte, payload []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, boardFrame(uint64(len(b.events)+1), kind, payload))
}

// serve writes the events after the number that the router has, and an empty frame each second.
func (b *board) serve(conn net.Conn) {
	defer conn.Close()
	var have [8]byte
	if _, err := io.ReadFull(conn, have[:]); err != nil {
		return
	}
	next := binary.BigEndian.Uint64(have[:])
	beat := time.Time{}
	for {
		b.mu.Lock()
		var pending []byte
		for ; next < uint64(len(b.events)); next++ {
			pending = append(pending, b.events[next]...)
		}
		b.mu.Unlock()
		if len(pending) == 0 && time.Since(beat) >= time.Second {
			pending, beat = boardFrame(next, boardNothing, nil), time.Now()
		}
		if len(pending) > 0 {
			if _, err := conn.Write(pending); err != nil {
				return
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// listed is an entry of the endpoint list.
type listed struct {
	id, zone, kind, cell int
	addr                 string
	weight               int
	startedMillis        int64
}

// record returns the entry as a record of 27 bytes.
func (l listed) record(state byte) []byte {
	tcp, _ := net.ResolveTCPAddr("tcp", l.addr)
	r := binary.BigEndian.AppendUint32(nil, uint32(l.id))
	r = append(r, tcp.IP.To4()...)
	r = binary.BigEndian.AppendUint16(r, uint16(tcp.Port))
	r = append(r, state, byte(l.zone), byte(l.kind))
	r = binary.BigEndian.AppendUint16(r, uint16(l.cell))
	r = binary.BigEndian.AppendUint32(r, uint32(l.weight*1000))
	return binary.BigEndian.AppendUint64(r, uint64(l.startedMillis))
}
