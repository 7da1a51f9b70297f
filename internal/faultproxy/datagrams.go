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
	corruptionBits    = 0x10 // bits that corruption flips in the middle byte of a datagram
)

// ForwardDatagrams starts a proxy for datagrams from one process to another, which listens at address, and returns the
// address of the proxy. Close stops the proxy and waits for its goroutines.
func (n *Network) ForwardDatagrams(from, to int, address netip.AddrPort) (netip.AddrPort, error) {
	conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return netip.AddrPort{}, fmt.Errorf("open datagram proxy from %d to %d: %w", from, to, err)
	}
	_ = conn.SetReadBuffer(socketBufferBytes) // a smaller limit of the system only loses datagrams during bursts
	n.proxies.Go(func() {
		<-n.closed
		_ = conn.Close() // makes the read of relayDatagrams return; can only fail if already closed
	})
	n.proxies.Go(func() { n.relayDatagrams(from, to, conn, address) })
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
			continue // ICMP error: nothing listened at the address of an earlier datagram
		}
		n.recordDatagram(from, size)
		delays, corrupt := n.deliver(from, to)
		for _, delay := range delays {
			datagram := slices.Clone(buffer[:size])
			if corrupt && size > 0 {
				datagram[size/2] ^= corruptionBits
			}
			// Errors are ignored: a datagram to a process that does not run is lost, as on a real network.
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
