package lab

import (
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cairnfront/internal/cacheproto"
)

// addressMode is how an address of a stand-in behaves.
type addressMode int32

const (
	healthy      addressMode = iota
	unresponsive             // accepts, reads everything, answers nothing
	resetting                // accepts, and resets the connection when a request has come
	truncating               // sends half an answer and stops
	closed                   // nobody listens
)

// unixPrefix marks the address of a Unix socket.
const unixPrefix = "unix:"

// standInAddress is one address of a stand-in endpoint.
type standInAddress struct {
	standIn  *endpointStandIn
	index    int    // among the addresses of its endpoint
	addr     string // host:port or unix:PATH
	mode     addressMode
	listener net.Listener
	conns    map[net.Conn]bool
}

// endpointStandIn is a stand-in of an endpoint with several addresses. It records every attempt.
type endpointStandIn struct {
	id    string
	delay time.Duration // until an answer
	body  func(cacheproto.Command) []byte
	// failAttempt says whether the nth attempt of a request here fails; nil for never.
	failAttempt             func(command cacheproto.Command, n int) bool
	unresponsiveConnections atomic.Int64 // connections that came while their address was unresponsive

	mu        sync.Mutex // guards what follows, and the addresses' mode, listener and connections
	addresses []*standInAddress
	attempts  []*attemptRecord
	workers   sync.WaitGroup
}

// newEndpointStandIn makes an endpoint on a Unix socket, IPv6 and IPv4, as far as the machine has them.
func newEndpointStandIn(id, directory string, delay time.Duration) (*endpointStandIn, error) {
	standIn := &endpointStandIn{id: id, delay: delay}
	for _, addr := range []string{unixPrefix + filepath.Join(directory, id+".sock"), "[::1]:0", "127.0.0.1:0"} {
		address := &standInAddress{
			standIn: standIn,
			index:   len(standIn.addresses),
			addr:    addr,
			conns:   map[net.Conn]bool{},
		}
		if err := address.listen(); err != nil {
			if strings.HasPrefix(addr, "[") { // a machine without IPv6
				continue
			}
			return nil, err
		}
		standIn.addresses = append(standIn.addresses, address)
	}
	return standIn, nil
}

// listen opens an address and serves its connections.
func (address *standInAddress) listen() error {
	network, target := "tcp", address.addr
	if path, isUnix := strings.CutPrefix(address.addr, unixPrefix); isUnix {
		network, target = "unix", path
		_ = os.Remove(path)
	}
	listener, err := net.Listen(network, target)
	if err != nil {
		return err
	}
	if network == "tcp" {
		address.addr = listener.Addr().String()
	}
	address.listener = listener
	address.standIn.workers.Go(func() { address.accept(listener) })
	return nil
}

func (address *standInAddress) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		address.standIn.workers.Go(func() { newStandInConn(address, conn).serve() })
	}
}

// setMode changes how an address behaves from now on. One that is closed ends its connections; an unresponsive one
// keeps them.
func (address *standInAddress) setMode(mode addressMode) error {
	address.standIn.mu.Lock()
	before := address.mode
	address.mode = mode
	if mode == closed {
		_ = address.listener.Close()
		for conn := range address.conns {
			_ = conn.Close()
		}
	}
	address.standIn.mu.Unlock()
	if before == closed && mode != closed {
		return address.listen()
	}
	return nil
}

// currentMode is how an address behaves now.
func (address *standInAddress) currentMode() addressMode {
	address.standIn.mu.Lock()
	defer address.standIn.mu.Unlock()
	return address.mode
}

// close ends all addresses and waits for their connections.
func (standIn *endpointStandIn) close() {
	for _, address := range standIn.addresses {
		_ = address.setMode(closed)
	}
	standIn.workers.Wait()
}

// usedAfter says whether an attempt came over an address after a time, Unix s.
func (standIn *endpointStandIn) usedAfter(address *standInAddress, after float64) bool {
	standIn.mu.Lock()
	defer standIn.mu.Unlock()
	return slices.ContainsFunc(standIn.attempts, func(attempt *attemptRecord) bool {
		return attempt.address == address.index && attempt.startedAt > after
	})
}

// recordedAttempts are the attempts that came so far. Those that are open change when they end.
func (standIn *endpointStandIn) recordedAttempts() []*attemptRecord {
	standIn.mu.Lock()
	defer standIn.mu.Unlock()
	return slices.Clone(standIn.attempts)
}
