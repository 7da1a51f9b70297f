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

// AddressMode is how an address of a stand-in behaves.
type AddressMode int32

// The modes of an address.
const (
	Healthy      AddressMode = iota
	Unresponsive             // accepts, reads everything, answers nothing
	Resetting                // accepts, and resets the connection when a request has come
	Truncating               // sends half an answer and stops
	Closed                   // nobody listens
)

// UnixPrefix marks the address of a Unix socket.
const UnixPrefix = "unix:"

// Address is one address of a stand-in endpoint.
type Address struct {
	standIn  *Endpoint
	index    int    // among the addresses of its endpoint
	Addr     string // host:port or unix:PATH
	mode     AddressMode
	listener net.Listener
	conns    map[net.Conn]bool
}

// Endpoint is a stand-in of an endpoint with several addresses. It records every attempt.
type Endpoint struct {
	ID    string
	delay time.Duration // until an answer
	Body  func(cacheproto.Command) []byte
	// failAttempt says whether the nth attempt of a request here fails; nil for never.
	FailAttempt             func(command cacheproto.Command, n int) bool
	UnresponsiveConnections atomic.Int64 // connections that came while their address was unresponsive

	mu        sync.Mutex // guards what follows, and the addresses' mode, listener and connections
	Addresses []*Address
	attempts  []*Attempt
	workers   sync.WaitGroup
}

// NewEndpoint makes an endpoint on a Unix socket, IPv6 and IPv4, as far as the machine has them.
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
			if strings.HasPrefix(addr, "[") { // a machine without IPv6
				continue
			}
			return nil, err
		}
		standIn.Addresses = append(standIn.Addresses, address)
	}
	return standIn, nil
}

// listen opens an address and serves its connections. The goroutines end when the address is closed; the endpoint's
// Close waits for them.
func (address *Address) listen() error {
	network, target := "tcp", address.Addr
	if path, isUnix := strings.CutPrefix(address.Addr, UnixPrefix); isUnix {
		network, target = "unix", path
		_ = os.Remove(path) // there may be none; one that stays fails the listen
	}
	listener, err := net.Listen(network, target) //nolint:noctx // an IP address or a path: nothing to wait for
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

// SetMode changes how an address behaves from now on. One that is closed ends its connections; an unresponsive one
// keeps them.
func (address *Address) SetMode(mode AddressMode) error {
	address.standIn.mu.Lock()
	before := address.mode
	address.mode = mode
	if mode == Closed {
		_ = address.listener.Close() // ends accept
		for conn := range address.conns {
			_ = conn.Close() // ends its serve
		}
	}
	address.standIn.mu.Unlock()
	if before == Closed && mode != Closed {
		return address.listen()
	}
	return nil
}

// currentMode is how an address behaves now.
func (address *Address) currentMode() AddressMode {
	address.standIn.mu.Lock()
	defer address.standIn.mu.Unlock()
	return address.mode
}

// Close ends all addresses and waits for their connections.
func (standIn *Endpoint) Close() {
	for _, address := range standIn.Addresses {
		_ = address.SetMode(Closed) // closing returns no error
	}
	standIn.workers.Wait()
}

// UsedAfter says whether an attempt came over an address after a time, Unix s.
func (standIn *Endpoint) UsedAfter(address *Address, after float64) bool {
	standIn.mu.Lock()
	defer standIn.mu.Unlock()
	return slices.ContainsFunc(standIn.attempts, func(attempt *Attempt) bool {
		return attempt.address == address.index && attempt.StartedAt > after
	})
}

// Attempts are the attempts that came so far. Those that are open change when they end.
func (standIn *Endpoint) Attempts() []*Attempt {
	standIn.mu.Lock()
	defer standIn.mu.Unlock()
	return slices.Clone(standIn.attempts)
}
