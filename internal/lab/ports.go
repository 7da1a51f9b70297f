package lab

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Addresses that are given up and taken again, as by a process that is killed and started anew, lie below the range
// from which the
// system takes ports for outgoing connections: else another connection may have the port meanwhile.
const (
	firstReusablePort = 20000
	reusablePorts     = 12000
	maxPortAttempts   = 200
)

// listenReusableTCP listens on an address of the loopback that stays free while nobody listens on it.
func listenReusableTCP() (ln net.Listener, err error) {
	for range maxPortAttempts {
		if ln, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstReusablePort+rand.IntN(reusablePorts))); err == nil {
			return ln, nil
		}
	}
	return nil, fmt.Errorf("no port from %d on is free: %w", firstReusablePort, err)
}

// listenReusableUDP is the same for datagrams.
func listenReusableUDP() (c *net.UDPConn, err error) {
	for range maxPortAttempts {
		if c, err = net.ListenUDP(
			"udp",
			&net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: firstReusablePort + rand.IntN(reusablePorts)},
		); err == nil {
			return c, nil
		}
	}
	return nil, fmt.Errorf("no port from %d on is free: %w", firstReusablePort, err)
}
