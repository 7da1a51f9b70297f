package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"cairnfront/internal/admission"
	"cairnfront/internal/clock"
	"cairnfront/internal/discovery"
	"cairnfront/internal/request"
	"cairnfront/internal/upstream/address"
	"cairnfront/routing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	firstAddr  = address.Addr("127.0.0.1:1")
	secondAddr = address.Addr("127.0.0.1:2")
)

// pendingDial is a dial in progress. The test ends it.
type pendingDial struct {
	addr   string
	result chan net.Conn // receives a connection, or is closed to refuse the dial
}

// multiAddressPool is a pool with one endpoint that has two addresses.
type multiAddressPool struct {
	*testPool
	dials chan pendingDial
}

// newMultiAddressPool returns a multiAddressPool with a limit of descriptors. The test ends its dials.
func newMultiAddressPool(t *testing.T, sockets int) *multiAddressPool {
	t.Helper()
	s := &multiAddressPool{newTestPool(t), make(chan pendingDial, 9)}
	s.Admission = admission.New(64, sockets)
	s.ConnectTimeout = 5 * time.Second
	s.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		d := pendingDial{addr, make(chan net.Conn, 1)}
		s.dials <- d
		select {
		case c, ok := <-d.result:
			if !ok {
				return nil, errors.New("connection refused")
			}
			return c, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.AddressSelector = address.New(1)
	s.setAddresses(firstAddr, secondAddr)
	s.IsIdempotent = func(class int) bool { return class == 0 }
	s.listEndpoint(0)
	return s
}

// setAddresses sets the endpoint's addresses for the next update.
func (s *multiAddressPool) setAddresses(addrs ...address.Addr) {
	s.EndpointAddresses = func(discovery.Endpoint) []address.Addr { return addrs }
}

// listEndpoint updates the endpoint list with the endpoint and its start time.
func (s *multiAddressPool) listEndpoint(startedAt float64) {
	e := routing.Endpoint{ID: "m", StartedAt: startedAt}
	s.UpdateEndpoints(true, []discovery.Endpoint{{Address: string(firstAddr), Endpoint: e}})
}

// condition returns the condition of the address at an index of the dial order.
func (s *multiAddressPool) condition(index int) string {
	return s.AddressSelector.Status(clock.NowSeconds())[index].Condition
}

// establish completes a dial and returns the endpoint's side of the connection.
func (d pendingDial) establish() net.Conn {
	poolConn, endpointConn := net.Pipe()
	d.result <- poolConn
	return endpointConn
}

// handleUntilEnd handles events until an attempt ends.
func (s *multiAddressPool) handleUntilEnd(t *testing.T) AttemptEnded {
	t.Helper()
	for ev := range s.events {
		s.HandleEvent(ev)
		if e, ok := ev.(AttemptEnded); ok {
			return e
		}
	}
	t.Fatal("no end")
	return AttemptEnded{}
}

// handleUntilDialed handles events until a dial ends.
func (s *multiAddressPool) handleUntilDialed() {
	for {
		ev := <-s.events
		s.HandleEvent(ev)
		if _, ok := ev.(DialEnded); ok {
			return
		}
	}
}

// The first address refuses the connection. The attempt must not fail, as the endpoint is reachable over its second
// address. It is sent there, and the first address is marked as refused.
func TestAttemptUsesSecondAddressAfterRefusal(t *testing.T) {
	s := newMultiAddressPool(t, 20)
	c := s.send("a", 0)
	firstDial := <-s.dials
	assert.Equal(t, string(firstAddr), firstDial.addr)
	close(firstDial.result)
	secondDial := <-s.dials
	assert.Equal(t, string(secondAddr), secondDial.addr)
	endpointConn := secondDial.establish()
	r := bufio.NewReader(endpointConn)
	assert.Equal(t, "do a", readCommand(t, r))
	_, _ = io.WriteString(endpointConn, "a not_here - 0\r\n\r\n")
	assert.Equal(t, endedWith(c, routing.CacheMiss), s.handleUntilEnd(t))
	assert.Equal(t, "refused", s.condition(0))
}

// The first address does not respond to the dial. The attempt must not wait for the connect timeout: the second address
// is dialed concurrently after a delay, and the attempt is sent there. A later connection to the first address is
// closed.
func TestSecondAddressIsDialedAfterTheDelay(t *testing.T) {
	s := newMultiAddressPool(t, 20)
	s.send("a", 0)
	firstDial, secondDial := <-s.dials, <-s.dials
	assert.Equal(t, string(secondAddr), secondDial.addr)
	endpointConn := secondDial.establish()
	assert.Equal(t, "do a", readCommand(t, bufio.NewReader(endpointConn)))
	select { // the dial was cancelled, unless it succeeded at the same time
	case firstDial.result <- nil:
	default:
	}
	assert.Equal(t, string(secondAddr), s.endpoints["m"].connections[0].dialedAddr())
}

// Two addresses connect at the same time. An attempt that is written on both connections would run twice. The second
// connection is closed without a byte written on it.
func TestOnlyOneOfTwoConnectionsIsUsed(t *testing.T) {
	s := newMultiAddressPool(t, 20)
	s.send("a", 0)
	firstDial, secondDial := <-s.dials, <-s.dials
	a, b := firstDial.establish(), secondDial.establish()
	got := make(chan string, 2)
	for _, endpointConn := range []net.Conn{a, b} {
		go func() {
			text, err := bufio.NewReader(endpointConn).ReadString('\n')
			if err != nil {
				text = "closed"
			}
			got <- text
		}()
	}
	one := <-got
	if one == "closed" {
		one = <-got
	} else {
		go func() { _, _ = io.Copy(io.Discard, a) }()
		go func() { _, _ = io.Copy(io.Discard, b) }()
	}
	assert.Contains(t, one, "do a ")
}

// An address is removed from the endpoint list while it is dialed. It may now belong to another endpoint, so nothing is
// written there, and the attempt is sent to a listed address.
func TestRemovedAddressIsNotUsed(t *testing.T) {
	s := newMultiAddressPool(t, 20)
	s.send("a", 0)
	firstDial := <-s.dials
	s.setAddresses(secondAddr, "127.0.0.1:3")
	s.RefreshAddresses()
	endpointConn := firstDial.establish()
	_, err := endpointConn.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "closed without a byte written")
	secondDial := <-s.dials
	assert.Equal(t, string(secondAddr), secondDial.addr)
	assert.Equal(t, "do a", readCommand(t, bufio.NewReader(secondDial.establish())))
}

// All addresses are in cooldown. The attempt fails immediately without a dial, so that the request has time for another
// endpoint.
func TestAttemptFailsImmediatelyWhenAllAddressesAreInCooldown(t *testing.T) {
	s := newMultiAddressPool(t, 20)
	now := clock.NowSeconds()
	s.AddressSelector.DialEnded(now, "m", firstAddr, address.DialRefused, 0)
	s.AddressSelector.DialEnded(now, "m", secondAddr, address.DialRefused, 0)
	c := s.send("a", 0)
	assert.Equal(t, endedWith(c, routing.ConnectFailed), s.handleUntilEnd(t))
	assert.Empty(t, s.dials)
}

// No descriptor is available for a second concurrent dial. The second address is dialed only after the first dial has
// failed, so that no more descriptors are used than were granted.
func TestDialsAreSequentialWithoutDescriptors(t *testing.T) {
	s := newMultiAddressPool(t, 3) // one for endpoints
	s.send("a", 0)
	firstDial := <-s.dials
	select {
	case <-s.dials:
		t.Fatal("a second dial started without a descriptor")
	case <-time.After(400 * time.Millisecond): // longer than the dial delay; bounds only how soon a fault is detected
	}
	close(firstDial.result)
	assert.Equal(t, "do a", readCommand(t, bufio.NewReader((<-s.dials).establish())))
	assert.False(t, s.Admission.AdmitEndpointConn(true), "only the connection's own descriptor is in use")
}

// An attempt is cancelled while its address is dialed. Nothing of it must be written once the connection is
// established, as nobody waits for it. The connection is used for the next attempt.
func TestAttemptCancelledWhileDialingIsNotWritten(t *testing.T) {
	s := newMultiAddressPool(t, 20)
	c := s.send("a", 0)
	firstDial := <-s.dials
	result, immediate := s.Cancel(c, routing.Cancelled)
	assert.Equal(t, routing.NotSent, result)
	assert.True(t, immediate)
	endpointConn := firstDial.establish()
	s.send("b", 0)
	assert.Equal(t, "do b", readCommand(t, bufio.NewReader(endpointConn)))
}

// An address accepts an attempt and does not respond. Further attempts must not wait there too: the first attempt stays
// where it is, the next one is sent over the other address, and a non-idempotent attempt never uses the silent address.
func TestSilentAddressGetsNoFurtherAttempt(t *testing.T) {
	s := newMultiAddressPool(t, 40)
	a := s.send("a", 0)
	endpointConn := (<-s.dials).establish()
	r := bufio.NewReader(endpointConn)
	assert.Equal(t, "do a", readCommand(t, r))
	require.Eventually(t, func() bool { // once the attempt has waited for long enough
		s.CheckAddresses(clock.Now())
		return s.condition(0) == "quiet"
	}, 5*time.Second, 10*time.Millisecond)
	b := s.send("b", 0)
	assert.NotSame(t, a.Connection(), b.Connection())
	secondDial := <-s.dials
	assert.Equal(t, string(secondAddr), secondDial.addr)
	other := secondDial.establish()
	assert.Equal(t, "do b", readCommand(t, bufio.NewReader(other)))
	_, _ = io.WriteString(other, "b not_here - 0\r\n\r\n")
	assert.Equal(t, b, s.handleUntilEnd(t).Attempt)
	order := &request.Request{ID: "c", ClassName: "order", Object: "ff", Part: "0", Class: 1}
	c := s.Send(attemptOf(order), Bounds{}, nil, testOwner("c"))
	assert.Same(t, b.Connection(), c.Connection())
	_, _ = io.WriteString(endpointConn, "a not_here - 0\r\n\r\n")
	assert.Equal(t, a, s.handleUntilEnd(t).Attempt, "a late response still ends the attempt")
	assert.Equal(t, "well", s.condition(0))
}

// An endpoint restarts, and a connection to its previous process still looks usable. An attempt there would be lost, so
// old connections receive no attempts after a restart and are closed.
func TestRestartInvalidatesConnections(t *testing.T) {
	s := newMultiAddressPool(t, 40)
	a := s.send("a", 0)
	endpointConn := (<-s.dials).establish()
	assert.Equal(t, "do a", readCommand(t, bufio.NewReader(endpointConn)))
	_, _ = io.WriteString(endpointConn, "a not_here - 0\r\n\r\n")
	s.handleUntilEnd(t)
	s.listEndpoint(7)
	b := s.send("b", 0)
	assert.NotSame(t, a.Connection(), b.Connection())
	s.CloseIdle(clock.Now())
	_, err := endpointConn.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "closed")
}

// A request that tests an address in cooldown would be lost if the address still fails. The probe is therefore a
// connection without an attempt, which is used once it is established.
func TestProbeIsConnectionWithoutAttempt(t *testing.T) {
	s := newMultiAddressPool(t, 40)
	s.AddressSelector.DialEnded(clock.NowSeconds(), "m", firstAddr, address.DialRefused, 0)
	s.CheckAddresses(clock.Now().Add(time.Minute))
	firstDial := <-s.dials
	assert.Equal(t, string(firstAddr), firstDial.addr)
	endpointConn := firstDial.establish()
	s.handleUntilDialed()
	assert.Equal(t, "well", s.condition(0))
	connected := func() bool {
		s.send("a", 0)
		return len(s.endpoints["m"].connections) > 0
	}
	require.Eventually(t, connected, time.Second, time.Millisecond)
	assert.Equal(t, "do a", readCommand(t, bufio.NewReader(endpointConn)), "the connection is used after the probe")
}

// hangingDialAddr returns an address where dials never complete: nothing accepts connections, and the backlog is full.
func hangingDialAddr(t *testing.T) address.Addr {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	inet, ok := name.(*syscall.SockaddrInet4)
	require.True(t, ok)
	addr := fmt.Sprintf("127.0.0.1:%d", inet.Port)
	for { // fill the backlog until a connection is no longer established
		c, err := (&net.Dialer{Timeout: 100 * time.Millisecond}).DialContext(t.Context(), "tcp", addr)
		if err != nil {
			return address.Addr(addr)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// An endpoint lists a missing Unix socket, a file that is not a socket, an address where dials never complete, and a
// working address. This test uses real sockets. The attempt must not fail, and only the working address receives any
// bytes.
func TestUnreachableAddressesAreSkipped(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	hangingAddr := hangingDialAddr(t)
	s := newMultiAddressPool(t, 40)
	s.Dial = dialNetwork
	s.setAddresses(
		address.Addr("unix:"+filepath.Join(dir, "gone")),
		address.Addr("unix:"+file),
		hangingAddr,
		address.Addr(ln.Addr().String()),
	)
	s.RefreshAddresses()
	c := s.send("a", 0)
	endpointConn, err := ln.Accept()
	require.NoError(t, err)
	assert.Equal(t, "do a", readCommand(t, bufio.NewReader(endpointConn)))
	_, _ = io.WriteString(endpointConn, "a not_here - 0\r\n\r\n")
	assert.Equal(t, endedWith(c, routing.CacheMiss), s.handleUntilEnd(t))
	for i, want := range []string{"refused", "refused"} {
		assert.Equal(t, want, s.condition(i))
	}
}

// Many attempts to one endpoint must not use all descriptors, or no other endpoint could be reached. Once an endpoint
// has used its share, its attempts share connections.
func TestEndpointDescriptorShareIsLimited(t *testing.T) {
	s := newMultiAddressPool(t, 40) // 16 for endpoints, 4 for one endpoint
	s.MaxAttemptsPerConnection = 99
	connections := map[*Connection]bool{}
	for i := range 20 {
		connections[s.send(fmt.Sprint("t", i), 0).Connection()] = true
	}
	assert.Len(t, connections, 4)
}

// A snapshot of the endpoint list no longer contains an endpoint with several addresses and no open connections. Its
// addresses must be deleted: otherwise they would be stored and probed forever.
func TestSnapshotDeletesAddressesOfRemovedEndpoints(t *testing.T) {
	s := newMultiAddressPool(t, 64)
	s.AddressSelector.Disable(clock.NowSeconds(), "m", firstAddr)
	assert.NotEmpty(t, s.AddressSelector.Status(clock.NowSeconds()))
	s.UpdateEndpoints(true, []discovery.Endpoint{{Address: "z:1", Endpoint: routing.Endpoint{ID: "z"}}})
	s.CloseIdle(clock.Now())
	for range 3 {
		assert.Empty(t, s.CheckAddresses(clock.Now().Add(time.Hour)))
	}
	for _, status := range s.AddressSelector.Status(clock.NowSeconds()) {
		assert.NotEqual(t, routing.EndpointID("m"), status.Endpoint)
	}
}
