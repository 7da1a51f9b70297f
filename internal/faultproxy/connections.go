package faultproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

const (
	relayBufferBytes = 16 << 10 // most bytes of a connection that are relayed by one read
	cutPollInterval  = 20 * time.Millisecond
)

// ForwardConnections starts a proxy for connections from one process to another, which listens at address, and returns
// the address of the proxy. While the link is cut, no bytes pass and no connection is closed, as during a network
// partition. Delayed bytes are delivered in order afterwards. Close stops the proxy and waits for its goroutines.
func (n *Network) ForwardConnections(from, to int, address string) (string, error) {
	var config net.ListenConfig // the context of Listen only affects name resolution
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("open connection proxy from %d to %d: %w", from, to, err)
	}
	n.proxies.Go(func() {
		<-n.closed
		_ = listener.Close() // makes Accept below return; can only fail if already closed
	})
	n.proxies.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n.proxies.Go(func() { n.relayConnection(from, to, conn, address) })
		}
	})
	return listener.Addr().String(), nil
}

// relayConnection relays a connection until both directions have ended or the network is closed. It waits for its
// relaying goroutines.
func (n *Network) relayConnection(from, to int, client net.Conn, address string) {
	defer client.Close()
	if !n.waitUntilOpen(from, to) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background()) // cancelled by Close or on return
	defer cancel()
	n.proxies.Go(func() {
		select {
		case <-n.closed:
			cancel()
		case <-ctx.Done():
		}
	})
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return // the client sees a closed connection, as if nothing listened at the address
	}
	defer server.Close()
	stop := context.AfterFunc(ctx, func() {
		_ = client.Close() // closing both makes the relaying reads return; the errors are irrelevant
		_ = server.Close()
	})
	defer stop()
	var directions sync.WaitGroup
	directions.Go(func() { n.relayBytes(from, to, server, client) })
	directions.Go(func() { n.relayBytes(to, from, client, server) })
	directions.Wait()
}

// waitUntilOpen waits until a link is not cut. It returns false if the network is closed first.
func (n *Network) waitUntilOpen(from, to int) bool {
	for {
		cut, _ := n.connectionState(from, to)
		if !cut {
			return true
		}
		if !n.sleep(cutPollInterval) {
			return false
		}
	}
}

// sleep waits for a duration. It returns false if the network is closed meanwhile.
func (n *Network) sleep(d time.Duration) bool {
	select {
	case <-n.closed:
		return false
	case <-time.After(d):
		return true
	}
}

// relayBytes copies one direction of a connection. It forwards the end of the stream as a half-close and a read error
// as a close.
func (n *Network) relayBytes(from, to int, writer, reader net.Conn) {
	defer closeWrite(writer)
	buffer := make([]byte, relayBufferBytes)
	for {
		size, err := reader.Read(buffer)
		if size > 0 && !n.passBytes(from, to, writer, buffer[:size]) {
			return
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			_ = writer.Close() // only the read error matters
			return
		}
	}
}

// passBytes writes data after the delay of the link, once the link is not cut. It returns false if the network is
// closed first or the write fails.
func (n *Network) passBytes(from, to int, writer io.Writer, data []byte) bool {
	if _, delay := n.connectionState(from, to); delay > 0 && !n.sleep(delay) {
		return false
	}
	if !n.waitUntilOpen(from, to) {
		return false
	}
	second := min(n.secondsSinceStart(), recordedSeconds-1)
	n.sent[from].bytes[second].Add(int64(len(data)))
	_, err := writer.Write(data)
	return err == nil
}

// closeWrite closes the write side of a TCP connection.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // fails if the peer has already closed the connection
	}
}
