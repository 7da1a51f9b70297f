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
	chunkBytes      = 16 << 10 // of a connection that pass at once
	cutPollInterval = 20 * time.Millisecond
)

// ForwardConnections opens the link for connections from one process to another, which listens at an address, and
// returns the address to connect to. While the link is cut nothing passes and nothing is closed, as on a network; what
// waited passes afterwards in its order. The proxy and its goroutines end at Close, which waits for them.
func (n *Network) ForwardConnections(from, to int, address string) (string, error) {
	var config net.ListenConfig // its context matters for the resolving of names alone
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("open connection proxy from %d to %d: %w", from, to, err)
	}
	n.all.Go(func() {
		<-n.closed
		_ = listener.Close() // ends the Accept below; its only error is that it was closed
	})
	n.all.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			n.all.Go(func() { n.relayConnection(from, to, conn, address) })
		}
	})
	return listener.Addr().String(), nil
}

// relayConnection runs until both directions have ended or the network is closed. It waits for its goroutines.
func (n *Network) relayConnection(from, to int, client net.Conn, address string) {
	defer client.Close()
	if !n.waitUntilOpen(from, to) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background()) // it ends at the network's Close, or with this connection
	defer cancel()
	n.all.Go(func() {
		select {
		case <-n.closed:
			cancel()
		case <-ctx.Done():
		}
	})
	var dialer net.Dialer
	server, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return // the client sees a closed connection, as where nobody listens
	}
	defer server.Close()
	stop := context.AfterFunc(ctx, func() {
		_ = client.Close() // both end the reads below; what they returned does not matter any more
		_ = server.Close()
	})
	defer stop()
	var directions sync.WaitGroup
	directions.Go(func() { n.relayBytes(from, to, server, client) })
	directions.Go(func() { n.relayBytes(to, from, client, server) })
	directions.Wait()
}

// waitUntilOpen waits until a link is not cut. It returns false once the network is closed.
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

// sleep returns false if the network is closed meanwhile.
func (n *Network) sleep(d time.Duration) bool {
	select {
	case <-n.closed:
		return false
	case <-time.After(d):
		return true
	}
}

// relayBytes copies one direction of a connection. Its end is passed on as a half-close, an error as a close.
func (n *Network) relayBytes(from, to int, writer, reader net.Conn) {
	defer closeWrite(writer)
	buffer := make([]byte, chunkBytes)
	for {
		size, err := reader.Read(buffer)
		if size > 0 && !n.passBytes(from, to, writer, buffer[:size]) {
			return
		}
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			_ = writer.Close() // the error that counts is the reader's
			return
		}
	}
}

// passBytes writes bytes when the link passes them. It returns false if that never happens.
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

// closeWrite half-closes a connection.
func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite() // the other side may have closed it already
	}
}
