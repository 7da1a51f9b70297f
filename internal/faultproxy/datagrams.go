package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"time"
)

const (
	maxDatagramBytes  = 64 << 10
	socketBufferBytes = 1 << 20
	corruptionBits    = 0x10 // flipped in the middle byte of a corrupt datagram
)

// ForwardDatagrams opens the link for datagrams from one process to another, which listens at an address. What is sent
// to the returned address passes the link. The proxy and its goroutines end at Close, which waits for them.
func (n *Network) ForwardDatagrams(from, to int, address netip.AddrPort) (netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("open datagram proxy from %d to %d: %w", from, to, err)
	}
	_ = conn.SetReadBuffer(socketBufferBytes) // the system may allow less, which costs datagrams only under bursts
	n.all.Go(func() {
		<-n.closed
		_ = conn.Close() // ends the read of relayDatagrams; its only error is that it was closed
	})
	n.all.Go(func() { n.relayDatagrams(from, to, conn, address) })
	return netip.ParseAddrPort(conn.LocalAddr().String())
}

func (n *Network) relayDatagrams(from, to int, conn *net.UDPConn, address netip.AddrPort) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, _, err := conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // an earlier datagram found nobody listening
		}
		n.recordDatagram(from, size)
		delays, corrupt := n.deliver(from, to)
		for _, delay := range delays {
			datagram := slices.Clone(buffer[:size])
			if corrupt && size > 0 {
				datagram[size/2] ^= corruptionBits
			}
			// An error is ignored: a datagram to a process that does not run is lost, as on a network.
			send := func() { _, _ = conn.WriteToUDPAddrPort(datagram, address) }
			if delay <= 0 {
				send()
				continue
			}
			time.AfterFunc(seconds(delay), send)
		}
	}
}

func (n *Network) recordDatagram(from, size int) {
	second := n.secondsSinceStart()
	if second >= recordedSeconds {
		return
	}
	n.sent[from].datagrams[second].Add(1)
	n.sent[from].bytes[second].Add(int64(size))
}
