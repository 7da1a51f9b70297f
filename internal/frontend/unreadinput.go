package frontend

import (
	"sync"

	"cairnfront/internal/clientproto"
	"cairnfront/internal/netconn"
)

// frameProgress tells where the frames of a connection's input lie.
type frameProgress struct {
	header [clientproto.HeaderSize]byte // of the current frame, as far as it was read
	end    int64                        // offset in the input at which the last frame ends whose header was read
}

// unreadInput returns how many requests and bytes of the input had arrived and were not read completely. After a
// violation of the protocol no requests can be told apart. It must be called once, after the reader has stopped.
func (c *clientConn) unreadInput() (requests int, unreadBytes int64) {
	consumed := c.BytesConsumed()
	peek := inputPeeks.Get().(*[netconn.MaxPeekedBytes]byte) //nolint:forcetypeassert // it holds nothing else
	defer inputPeeks.Put(peek)
	copied, unreadBytes := c.UnreadInput(peek[:])
	input := peek[:copied]
	if c.EndCode() == netconn.ProtocolError {
		return 0, unreadBytes
	}
	if headerBytes := consumed - c.progress.end; headerBytes > 0 { // the start of a header was read
		if headerBytes >= clientproto.HeaderSize { // input was dropped
			return 0, unreadBytes
		}
		input = append(c.progress.header[:headerBytes:headerBytes], input...)
	}
	if payloadLeft := c.progress.end - consumed; payloadLeft > 0 {
		requests = requestCount(c.progress.header[:])
		input = input[min(payloadLeft, int64(len(input))):]
	}
	return requests + requestCount(input), unreadBytes
}

// requestCount returns how many requests begin in a piece of input that begins with a frame.
func requestCount(input []byte) (count int) {
	forEachFrame(input, func(h clientproto.Header) {
		if h.Type == clientproto.TypeRequest {
			count++
		}
	})
	return count
}

// maxOpenIn returns the largest number of requests that a client has open within a piece of input that begins with a
// frame, of those that it sends there, if it gets no response meanwhile.
func maxOpenIn(input []byte) (most int) {
	open := 0
	forEachFrame(input, func(h clientproto.Header) {
		switch h.Type {
		case clientproto.TypeRequest:
			open++
		case clientproto.TypeCancel:
			open--
		case clientproto.TypeResponse, clientproto.TypeReadinessQuery, clientproto.TypeReadinessReply,
			clientproto.TypeGoAway:
		}
		most = max(most, open)
	})
	return most
}

// forEachFrame calls a function for each frame that begins in a piece of input, up to one whose header is not complete
// or not valid.
func forEachFrame(input []byte, handle func(h clientproto.Header)) {
	for len(input) >= clientproto.HeaderSize {
		h, err := clientproto.ParseHeader(input)
		if err != nil {
			return
		}
		handle(h)
		input = input[min(clientproto.HeaderSize+h.PayloadBytes, len(input)):]
	}
}

// inputPeeks are the buffers in which input is looked at that was not read. None is in use while a read waits.
var inputPeeks = sync.Pool{New: func() any { return new([netconn.MaxPeekedBytes]byte) }}

// noteUnread records how many requests the client has open in the input after the last frame, if it takes no output.
//
// It guards against a flood of a client that reads nothing: its frames are handled so slowly, as they share one turn
// with those of all others, that it would take seconds until the connection is full.
func (r *frameReader) noteUnread() {
	if !r.writer.isStalled() {
		return
	}
	peek := inputPeeks.Get().(*[netconn.MaxPeekedBytes]byte) //nolint:forcetypeassert // it holds nothing else
	defer inputPeeks.Put(peek)
	r.writer.setUnread(maxOpenIn(peek[:r.conn.PeekInput(peek[:])]))
}
