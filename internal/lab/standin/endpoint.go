package standin

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

// AddressMode is the behavior of an address of a stand-in.
type AddressMode int32

// Modes of an address.
const (
	Healthy      AddressMode = iota
	Unresponsive             // accepts connections and reads requests, but never responds
	Resetting                // accepts connections, and resets them when a request was received
	Truncating               // sends half of a response and stops
	Closed                   // does not listen
)

// UnixPrefix is the prefix of the address of a Unix socket.
const UnixPrefix = "unix:"

// Address is one address of a stand-in endpoint.
type Address struct {
	standIn  *Endpoint
	index    int    // index in Endpoint.Addresses
	Addr     string // host:port or unix:PATH
	mode     AddressMode
	listener net.Listener
	conns    map[net.Conn]bool
}

// Endpoint is a stand-in of an endpoint with several addresses. It records every attempt.
type Endpoint struct {
	ID    string
	delay time.Duration // time between a request and its response
	Body  func(cacheproto.Command) []byte
	// FailAttempt reports whether the nth attempt of a request at this endpoint fails. If nil, no attempt fails.
	FailAttempt             func(command cacheproto.Command, n int) bool
	UnresponsiveConnections atomic.Int64 // connections accepted while their address was unresponsive

	mu        sync.Mutex // guards the fields below and the addresses' mode, listener and connections
	Addresses []*Address
	attempts  []*Attempt
	workers   sync.WaitGroup
}

// NewEndpoint creates an endpoint that listens on a Unix socket, IPv6 and IPv4. It skips IPv6 on a machine without it.
func NewEndpoint(id, directory string, delay time.Duration) (*Endpoint, error) {
	standIn := &Endpoint{ID: id, delay: delay}
	for _, addr := range []string{UnixPrefix + filepath.Join(directory, id+".sock"), "[::1]:0", "127.0.0.1:0"} {
		address := &Address{
			standIn: standIn,
			index:   len(standIn.Addresses),
			Addr:    addr,
			conns:   map[net.Conn]bool{},
		}
		if err := address.listen(); err != nil {
			if strings.HasPrefix(addr, "[") { // the machine has no IPv6
				continue
			}
			return nil, err
		}
		standIn.Addresses = append(standIn.Addresses, address)
	}
	return standIn, nil
}

// listen opens an address and serves its connections. The goroutines stop when the address is closed; the endpoint's
// Close waits for them.
func (address *Address) listen() error {
	network, target := "tcp", address.Addr
	if path, isUnix := strings.CutPrefix(address.Addr, UnixPrefix); isUnix {
		network, target = "unix", path
		_ = os.Remove(path) // the file may not exist; if it cannot be removed, Listen below fails
	}
	listener, err := net.Listen(network, target) //nolint:noctx // an IP address or a path: no lookup that could block
	if err != nil {
		return err
	}
	if network == "tcp" {
		address.Addr = listener.Addr().String()
	}
	address.listener = listener
	address.standIn.workers.Go(func() { address.accept(listener) })
	return nil
}

func (address *Address) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		address.standIn.workers.Go(func() { newStandInConn(address, conn).serve() })
	}
}

// SetMode changes the behavior of an address. Closed closes its connections; Unresponsive leaves them open.
func (address *Address) SetMode(mode AddressMode) error {
	address.standIn.mu.Lock()
	before := address.mode
	address.mode = mode
	if mode == Closed {
		_ = address.listener.Close() // makes accept return
		for conn := range address.conns {
			_ = conn.Close() // makes serve return for this connection
		}
	}
	address.standIn.mu.Unlock()
	if before == Closed && mode != Closed {
		return address.listen()
	}
	return nil
}

// currentMode returns the current mode of an address.
func (address *Address) currentMode() AddressMode {
	address.standIn.mu.Lock()
	defer address.standIn.mu.Unlock()
	return address.mode
}

// Close closes all addresses and waits until their connections have ended.
func (standIn *Endpoint) Close() {
	for _, address := range standIn.Addresses {
		_ = address.SetMode(Closed) // SetMode(Closed) never fails
	}
	standIn.workers.Wait()
}

// UsedAfter reports whether an attempt arrived over an address after a Unix time, in seconds.
func (standIn *Endpoint) UsedAfter(address *Address, after float64) bool {
	standIn.mu.Lock()
	defer standIn.mu.Unlock()
	return slices.ContainsFunc(standIn.attempts, func(attempt *Attempt) bool {
		return attempt.address == address.index && attempt.StartedAt > after
	})
}

// Attempts returns the attempts received so far. Open attempts are still modified when they end.
func (standIn *Endpoint) Attempts() []*Attempt {
	standIn.mu.Lock()
	defer standIn.mu.Unlock()
	return slices.Clone(standIn.attempts)
}
