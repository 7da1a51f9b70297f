//go:build review

package main

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"
)

const heartbeatInterval = time.Second

// board is a stand-in of the notice board: it tells its events in order, and each second that there is nothing new.
type board struct {
	listener net.Listener
	mu       sync.Mutex
	first    []byte   // frame of the first event, which is also in the routers' configuration
	events   [][]byte // frames of the events after the first one
}

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

func (b *board) address() string { return b.listener.Addr().String() }

func (b *board) close() { _ = b.listener.Close() }

// firstEvent is the number of the event that the routers' configuration holds.
const firstEvent = 1

// setList sets the first event: the whole list.
func (b *board) setList(caches []*cache) error {
	payload, err := listPayload(caches)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first = boardFrame(firstEvent, eventList, payload)
	return nil
}

// publish adds an event of a kind.
func (b *board) publish(kind byte, payload []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.events = append(b.events, boardFrame(uint64(firstEvent+len(b.events)+1), kind, payload))
}

func boardFrame(number uint64, kind byte, payload []byte) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(payload)+9))
	frame = binary.BigEndian.AppendUint64(frame, number)
	return append(append(frame, kind), payload...)
}

// framesAfter returns the frames of the events after a number, and the number of the last event.
func (b *board) framesAfter(number uint64) (frames []byte, last uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last = uint64(firstEvent + len(b.events))
	if number < firstEvent {
		frames = append(frames, b.first...)
	}
	for i := max(number, firstEvent); i < last; i++ {
		frames = append(frames, b.events[i-firstEvent]...)
	}
	return frames, last
}

func (b *board) serve(conn net.Conn) {
	defer conn.Close()
	query := make([]byte, 8)
	if _, err := io.ReadFull(conn, query); err != nil {
		return
	}
	had := binary.BigEndian.Uint64(query)
	for nextHeartbeat := time.Now(); ; time.Sleep(pollInterval) {
		frames, last := b.framesAfter(had)
		had = last
		if !time.Now().Before(nextHeartbeat) {
			frames = append(frames, boardFrame(last, eventNothing, nil)...)
			nextHeartbeat = time.Now().Add(heartbeatInterval)
		}
		if _, err := conn.Write(frames); err != nil {
			return
		}
	}
}
