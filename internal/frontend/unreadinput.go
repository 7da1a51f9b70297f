package frontend

import (
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
	input, unreadBytes := c.UnreadInput()
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
	for len(input) >= clientproto.HeaderSize {
		h, err := clientproto.ParseHeader(input)
		if err != nil {
			return count
		}
		if h.Type == clientproto.TypeRequest {
			count++
		}
		input = input[min(clientproto.HeaderSize+h.PayloadBytes, len(input)):]
	}
	return count
}
