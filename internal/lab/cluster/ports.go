package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports that are released and taken again, as by a process that is killed and restarted, lie below the range from
// which the system takes ports for outgoing connections. Otherwise another connection could have the port meanwhile.
const (
	firstReusablePort = 20000
	reusablePorts     = 12000
	maxPortAttempts   = 200
)

// drawnPorts are the ports that this process has drawn. One that was drawn belongs to its first owner, also while that
// does not listen on it.
var drawnPorts struct {
	sync.Mutex
	ports map[int]bool
}

// randomReusablePort draws a port that was not drawn before. Another process may use it.
func randomReusablePort() int {
	drawnPorts.Lock()
	defer drawnPorts.Unlock()
	if drawnPorts.ports == nil || len(drawnPorts.ports) > reusablePorts/2 { // the oldest owners are long gone
		drawnPorts.ports = map[int]bool{}
	}
	for {
		port := firstReusablePort + rand.IntN(reusablePorts)
		if !drawnPorts.ports[port] {
			drawnPorts.ports[port] = true
			return port
		}
	}
}

// listenReusableTCP listens on a loopback port that stays free while nobody listens on it.
func listenReusableTCP() (net.Listener, error) {
	var lastErr error
	for range maxPortAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", randomReusablePort())
		listener, err := net.Listen("tcp", address) //nolint:noctx // an IP address: there is nothing to wait for
		if err == nil {
			return listener, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("no port from %d on is free: %w", firstReusablePort, lastErr)
}

// listenReusableUDP is the same for datagrams.
func listenReusableUDP() (*net.UDPConn, error) {
	var lastErr error
	for range maxPortAttempts {
		conn, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: randomReusablePort()})
		if err == nil {
			return conn, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("no port from %d on is free: %w", firstReusablePort, lastErr)
}
