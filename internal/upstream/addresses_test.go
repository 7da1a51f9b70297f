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
	first  = address.Addr("127.0.0.1:1")
	second = address.Addr("127.0.0.1:2")
)

// pendingDial is a dial under way. The test says how it ends.
type pendingDial struct {
	addr   string
	result chan net.Conn // takes a connection, or is closed for a refusal
}

// multiAddressPool is a pool with one endpoint of two addresses.
type multiAddressPool struct {
	*testPool
	dials chan pendingDial
}

// newMultiAddressPool returns such a pool with so many descriptors. The test ends its dials.
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
	s.setAddresses(first, second)
	s.IsIdempotent = func(class int) bool { return class == 0 }
	s.listEndpoint(0)
	return s
}

// setAddresses sets the endpoint's addresses for the next update.
func (s *multiAddressPool) setAddresses(addrs ...address.Addr) {
	s.EndpointAddresses = func(discovery.Endpoint) []address.Addr { return addrs }
}

// listEndpoint lists the endpoint with the time of its start.
func (s *multiAddressPool) listEndpoint(startedAt float64) {
	e := routing.Endpoint{ID: "m", StartedAt: startedAt}
	s.UpdateEndpoints(true, []discovery.Endpoint{{Address: string(first), Endpoint: e}})
}

// condition returns the condition of the address that stands at an index of the order of preference.
func (s *multiAddressPool) condition(index int) string {
	return s.AddressSelector.Status(clock.NowSeconds())[index].Condition
}

// establish ends a dial with a connection and returns the endpoint's side of it.
func (d pendingDial) establish() net.Conn {
	near, far := net.Pipe()
	d.result <- near
	return far
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

// The first address refuses the connection. The attempt would fail though the endpoint is reachable. It goes over the
// second address, and the refusal is noted.
func TestRefusedAddressDoesNotEndTheAttempt(t *testing.T) {
	s := newMultiAddressPool(t, 20)
	c := s.send("a", 0)
	x := <-s.dials
	assert.Equal(t, string(first), x.addr)
	close(x.result)
	y := <-s.dials
	assert.Equal(t, string(second), y.addr)
	far := y.establish()
	r := bufio.NewReader(far)
	assert.Equal(t, "do a", readCommand(t, r))
	_, _ = io.WriteString(far, "a not_here - 0\r\n\r\n")
	assert.Equal(t, endedWith(c, routing.CacheMiss), s.handleUntilEnd(t))
	assert.Equal(t, "refused", s.condition(0))
}

// The first address does not respond. An attempt that waits for the timeout is late. The second is dialed beside it
// after a delay, and the attempt goes there. The first is closed where it is established later.
func TestSecondAddressIsDialedAfterTheDelay(t *testing.T) {
	s := newMultiAddressPool(t, 20)
	s.send("a", 0)
	x, y := <-s.dials, <-s.dials
	assert.Equal(t, string(second), y.addr)
	far := y.establish()
	assert.Equal(t, "do a", readCommand(t, bufio.NewReader(far)))
	select { // called off, unless it came up at the same time
	case x.result <- nil:
	default:
	}
	assert.Equal(t, string(second), s.endpoints["m"].connections[0].dialedAddr())
}

// Two addresses are established at the same time. An attempt that is written on both runs twice. The other connection
// is closed without a byte.
func TestOneOfTwoEstablishedConnectionsIsUsed(t *testing.T) {
	s := newMultiAddressPool(t, 20)
	s.send("a", 0)
	x, y := <-s.dials, <-s.dials
	a, b := x.establish(), y.establish()
	got := make(chan string, 2)
	for _, far := range []net.Conn{a, b} {
		go func() {
			text, err := bufio.NewReader(far).ReadString('\n')
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

// The list changes while an address is dialed: the address may have passed to another endpoint, and the attempt would
// reach a stranger. Nothing is written there, and the attempt goes to a listed address.
func TestUnlistedAddressIsNotUsed(t *testing.T) {
	s := newMultiAddressPool(t, 20)
	s.send("a", 0)
	x := <-s.dials
	s.setAddresses(second, "127.0.0.1:3")
	s.RefreshAddresses()
	far := x.establish()
	_, err := far.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF, "closed unwritten")
	y := <-s.dials
	assert.Equal(t, string(second), y.addr)
	assert.Equal(t, "do a", readCommand(t, bufio.NewReader(y.establish())))
}

// All addresses are in cooldown. An attempt that waits loses the time for another endpoint. It fails at once, and
// nothing is dialed.
func TestAttemptFailsAtOnceWhileAllAddressesAreInCooldown(t *testing.T) {
	s := newMultiAddressPool(t, 20)
	now := clock.NowSeconds()
	s.AddressSelector.DialEnded(now, "m", first, address.DialRefused, 0)
	s.AddressSelector.DialEnded(now, "m", second, address.DialRefused, 0)
	c := s.send("a", 0)
	assert.Equal(t, endedWith(c, routing.ConnectFailed), s.handleUntilEnd(t))
	assert.Empty(t, s.dials)
}

// No descriptor is free for a second dial. Dialing all the same would take more than is granted. The first dial is
// waited for, and the second begins after it has failed.
func TestDialsGoOneByOneWithoutDescriptors(t *testing.T) {
	s := newMultiAddressPool(t, 3) // one for endpoints
	s.send("a", 0)
	x := <-s.dials
	select {
	case <-s.dials:
		t.Fatal("a second dial without a descriptor")
	case <-time.After(400 * time.Millisecond): // over the delay between dials; it only bounds how soon a fault shows
	}
	close(x.result)
	assert.Equal(t, "do a", readCommand(t, bufio.NewReader((<-s.dials).establish())))
	assert.False(t, s.Admission.AdmitEndpointConn(true), "the connection's own is the only one held")
}

// An attempt is cancelled while its address is dialed. It would run for nobody once the connection is established.
// Nothing of it is written then, and the connection serves the next one.
func TestAttemptCancelledWhileDialingIsNotWritten(t *testing.T) {
	s := newMultiAddressPool(t, 20)
	c := s.send("a", 0)
	x := <-s.dials
	result, atOnce := s.Cancel(c, routing.Cancelled)
	assert.Equal(t, routing.NotSent, result)
	assert.True(t, atOnce)
	far := x.establish()
	s.send("b", 0)
	assert.Equal(t, "do b", readCommand(t, bufio.NewReader(far)))
}

// An address takes an attempt and stays silent. Further attempts would wait there too. The attempt stays where it is,
// the next one goes over the other address, and a non-idempotent one never goes to the silent address.
func TestSilentAddressGetsNoFurtherAttempt(t *testing.T) {
	s := newMultiAddressPool(t, 40)
	a := s.send("a", 0)
	far := (<-s.dials).establish()
	r := bufio.NewReader(far)
	assert.Equal(t, "do a", readCommand(t, r))
	require.Eventually(t, func() bool { // once the attempt has waited for long enough
		s.CheckAddresses(clock.Now())
		return s.condition(0) == "quiet"
	}, 5*time.Second, 10*time.Millisecond)
	b := s.send("b", 0)
	assert.NotSame(t, a.Connection(), b.Connection())
	y := <-s.dials
	assert.Equal(t, string(second), y.addr)
	other := y.establish()
	assert.Equal(t, "do b", readCommand(t, bufio.NewReader(other)))
	_, _ = io.WriteString(other, "b not_here - 0\r\n\r\n")
	assert.Equal(t, b, s.handleUntilEnd(t).Attempt)
	order := &request.Request{ID: "c", ClassName: "order", Object: "ff", Part: "0", Class: 1}
	c := s.Send(attemptOf(order), Bounds{}, nil, testOwner("c"))
	assert.Same(t, b.Connection(), c.Connection())
	_, _ = io.WriteString(far, "a not_here - 0\r\n\r\n")
	assert.Equal(t, a, s.handleUntilEnd(t).Attempt, "its late response is its end")
	assert.Equal(t, "well", s.condition(0))
}

// An endpoint restarts, and a connection to its former process still looks usable. An attempt there is lost. After a
// restart the old connections get no attempt and are closed.
func TestConnectionsBelongToAStart(t *testing.T) {
	s := newMultiAddressPool(t, 40)
	a := s.send("a", 0)
	far := (<-s.dials).establish()
	assert.Equal(t, "do a", readCommand(t, bufio.NewReader(far)))
	_, _ = io.WriteString(far, "a not_here - 0\r\n\r\n")
	s.handleUntilEnd(t)
	s.listEndpoint(7)
	b := s.send("b", 0)
	assert.NotSame(t, a.Connection(), b.Connection())
	s.CloseIdle(clock.Now())
	_, err := far.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "closed")
}

// An address in cooldown is tried with a request, which is lost if it still fails. The probe is a connection that
// carries nothing, and the connection is used once it is up.
func TestProbeCarriesNothing(t *testing.T) {
	s := newMultiAddressPool(t, 40)
	s.AddressSelector.DialEnded(clock.NowSeconds(), "m", first, address.DialRefused, 0)
	s.CheckAddresses(clock.Now().Add(time.Minute))
	x := <-s.dials
	assert.Equal(t, string(first), x.addr)
	far := x.establish()
	s.handleUntilDialed()
	assert.Equal(t, "well", s.condition(0))
	connected := func() bool {
		s.send("a", 0)
		return len(s.endpoints["m"].connections) > 0
	}
	require.Eventually(t, connected, time.Second, time.Millisecond)
	assert.Equal(t, "do a", readCommand(t, bufio.NewReader(far)), "then the connection is used")
}

// blackHole returns an address whose dials never end: nobody accepts, and the backlog is full.
func blackHole(t *testing.T) address.Addr {
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
	for { // fill the backlog until one more is not established
		c, err := (&net.Dialer{Timeout: 100 * time.Millisecond}).DialContext(t.Context(), "tcp", addr)
		if err != nil {
			return address.Addr(addr)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// An installation lists the file of a Unix socket that is gone, one that is no socket, and a black hole. Attempts would
// fail though one address accepts. With real sockets, they are passed over for that one, and only it gets a byte.
func TestBadAddressesOfEveryKindArePassedOver(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	ln, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	hole := blackHole(t)
	s := newMultiAddressPool(t, 40)
	s.Dial = dialNetwork
	s.setAddresses(
		address.Addr("unix:"+filepath.Join(dir, "gone")),
		address.Addr("unix:"+file),
		hole,
		address.Addr(ln.Addr().String()),
	)
	s.RefreshAddresses()
	c := s.send("a", 0)
	far, err := ln.Accept()
	require.NoError(t, err)
	assert.Equal(t, "do a", readCommand(t, bufio.NewReader(far)))
	_, _ = io.WriteString(far, "a not_here - 0\r\n\r\n")
	assert.Equal(t, endedWith(c, routing.CacheMiss), s.handleUntilEnd(t))
	for i, want := range []string{"refused", "refused"} {
		assert.Equal(t, want, s.condition(i))
	}
}

// Many attempts to one endpoint take every descriptor, and no other endpoint can be reached. Past the share of an
// endpoint its attempts share connections.
func TestEndpointKeepsToItsShareOfDescriptors(t *testing.T) {
	s := newMultiAddressPool(t, 40) // sixteen for endpoints, four for one
	s.MaxAttemptsPerConnection = 99
	connections := map[*Connection]bool{}
	for i := range 20 {
		connections[s.send(fmt.Sprint("t", i), 0).Connection()] = true
	}
	assert.Len(t, connections, 4)
}

// A list leaves out an endpoint with several addresses whose last connection has ended. Its addresses would be
// remembered and probed for ever. They are forgotten, however often addresses are checked.
func TestSnapshotForgetsTheAddressesOfWhatItLeavesOut(t *testing.T) {
	s := newMultiAddressPool(t, 64)
	s.AddressSelector.Disable(clock.NowSeconds(), "m", first)
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
