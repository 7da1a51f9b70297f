//go:build review

package main

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"time"
)

// Frame types and answer codes of the clients' protocol.
const (
	frameRequest  = 100
	frameAnswer   = 101
	frameReady    = 110
	frameReadyYes = 111

	codeServed  = 1
	codeRefused = 0
	codeFailed  = 9
)

// field is one field of a frame.
type field struct{ name, value string }

// answer is an answer frame of the router.
type answer struct {
	stream uint32
	kind   byte
	code   byte
	fields map[string]string
	body   []byte
}

// appendFrame appends a frame of the clients' protocol to b.
func appendFrame(b []byte, kind byte, stream uint32, fields []field) []byte {
	payload := []byte{byte(len(fields))}
	for _, f := range fields {
		payload = append(payload, byte(len(f.name)))
		payload = append(payload, f.name...)
		payload = binary.BigEndian.AppendUint16(payload, uint16(len(f.value)))
		payload = append(payload, f.value...)
	}
	b = binary.BigEndian.AppendUint32(b, uint32(len(payload)+5))
	b = append(b, kind)
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

// readAnswer reads one frame that the router sent.
func readAnswer(r *bufio.Reader) (answer, error) {
	var head [9]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return answer{}, err
	}
	a := answer{kind: head[4], stream: binary.BigEndian.Uint32(head[5:])}
	payload := make([]byte, binary.BigEndian.Uint32(head[:])-5)
	if _, err := io.ReadFull(r, payload); err != nil {
		return a, err
	}
	if a.kind != frameAnswer && a.kind != frameReadyYes {
		return a, nil
	}
	a.code, payload = payload[0], payload[1:]
	a.fields = map[string]string{}
	count := int(payload[0])
	payload = payload[1:]
	for range count {
		nameEnd := 1 + int(payload[0])
		valueEnd := nameEnd + 2 + int(binary.BigEndian.Uint16(payload[nameEnd:]))
		a.fields[string(payload[1:nameEnd])] = string(payload[nameEnd+2 : valueEnd])
		payload = payload[valueEnd:]
	}
	a.body = payload
	return a, nil
}

// clientConn is a connection of a client to the router. Its answers are passed to onAnswer on a goroutine of its own;
// onEnd is called once, when the connection has ended.
type clientConn struct {
	conn     net.Conn
	stream   uint32 // used by the goroutine that sends only
	onAnswer func(answer)
	onEnd    func(error)
}

// dialClient connects a client to the router.
func dialClient(addr string, onAnswer func(answer), onEnd func(error)) (*clientConn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &clientConn{conn: conn, onAnswer: onAnswer, onEnd: onEnd}
	go c.read()
	return c, nil
}

func (c *clientConn) read() {
	r := bufio.NewReader(c.conn)
	for {
		a, err := readAnswer(r)
		if err != nil {
			c.onEnd(err)
			return
		}
		c.onAnswer(a)
	}
}

// send writes a request without a body on the next stream; before is called with the stream before the first byte is
// written.
func (c *clientConn) send(fields []field, before func(stream uint32)) error {
	c.stream++
	before(c.stream)
	_, err := c.conn.Write(appendFrame(nil, frameRequest, c.stream, fields))
	return err
}

// askReady connects, asks whether the router is ready, and reports its answer.
func askReady(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := conn.Write(appendFrame(nil, frameReady, 1, nil)); err != nil {
		return false
	}
	a, err := readAnswer(bufio.NewReader(conn))
	return err == nil && a.kind == frameReadyYes && a.code == 1
}
