package cluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
)

// Ports that are released and bound again, for example by a process that is killed and restarted, are below the range
// of ephemeral ports. Otherwise the system could assign the port to an outgoing connection in the meantime.
const (
	firstReusablePort = 20000
	reusablePortCount = 12000
	maxPortAttempts   = 200
)

// assignedPorts records the ports that randomReusablePort returned in this process. A port stays assigned to its first
// owner, even while the owner does not listen on it.
var assignedPorts struct {
	sync.Mutex
	ports map[int]bool
}

// randomReusablePort returns a random port that this process has not assigned before. Another process may be using it.
func randomReusablePort() int {
	assignedPorts.Lock()
	defer assignedPorts.Unlock()
	if assignedPorts.ports == nil || len(assignedPorts.ports) > reusablePortCount/2 { // the first owners have exited
		assignedPorts.ports = map[int]bool{}
	}
	for {
		port := firstReusablePort + rand.IntN(reusablePortCount)
		if !assignedPorts.ports[port] {
			assignedPorts.ports[port] = true
			return port
		}
	}
}

// listenReusableTCP listens on a loopback TCP port that the system does not assign to others after it is closed.
func listenReusableTCP() (net.Listener, error) {
	var lastErr error
	for range maxPortAttempts {
		address := fmt.Sprintf("127.0.0.1:%d", randomReusablePort())
		listener, err := net.Listen("tcp", address) //nolint:noctx // an IP address: no lookup that could block
		if err == nil {
			return listener, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("no port from %d on is free: %w", firstReusablePort, lastErr)
}

// listenReusableUDP opens a loopback UDP socket whose port the system does not assign to others after it is closed.
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
