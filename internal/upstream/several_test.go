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
	"cairnfront/internal/cacheproto"
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

// attempt is a connection that is being made; the test says how it ends.
type attempt struct {
	addr string
	to   chan net.Conn // a connection, or closed for a refusal
}

type severalSide struct {
	*side
	attempts chan attempt
}

// several is a pool with one member of two addresses whose attempts a test ends.
func several(t *testing.T, sockets int) *severalSide {
	s := &severalSide{pool(t), make(chan attempt, 9)}
	s.Admission = admission.New(64, sockets)
	s.ConnectTimeout = 5 * time.Second
	s.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		a := attempt{addr, make(chan net.Conn, 1)}
		s.attempts <- a
		select {
		case c, ok := <-a.to:
			if !ok {
				return nil, errors.New("connection refused")
			}
			return c, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	s.AddressSelector, s.EndpointAddresses = address.New(1), func(discovery.Endpoint) []address.Addr { return []address.Addr{first, second} }
	s.IsIdempotent = func(rule int) bool { return rule == 0 }
	s.list(0)
	return s
}

func (s *severalSide) list(started float64) {
	s.UpdateEndpoints(true, []discovery.Endpoint{{Address: string(first), Endpoint: routing.Endpoint{ID: "m", StartedAt: started}}})
}

func (a attempt) up() net.Conn {
	near, far := net.Pipe()
	a.to <- near
	return far
}

// hear hands on what was posted until a call ends.
func (s *severalSide) hear(t *testing.T) AttemptEnded {
	for ev := range s.ends {
		s.HandleEvent(ev)
		if e, ok := ev.(AttemptEnded); ok {
			return e
		}
	}
	t.Fatal("no end")
	return AttemptEnded{}
}

func (s *severalSide) dialed() {
	for {
		ev := <-s.ends
		s.HandleEvent(ev)
		if _, ok := ev.(DialEnded); ok {
			return
		}
	}
}

func TestARefusedAddressIsNoEndOfTheHop(t *testing.T) {
	s := several(t, 20)
	c := s.send("a", 0)
	x := <-s.attempts
	assert.Equal(t, string(first), x.addr)
	close(x.to)
	y := <-s.attempts
	assert.Equal(t, string(second), y.addr)
	far := y.up()
	r := bufio.NewReader(far)
	assert.Equal(t, "do a", asked(t, r))
	_, _ = io.WriteString(far, "a not_here - 0\r\n\r\n")
	assert.Equal(t, AttemptEnded{Attempt: c, End: request.AttemptEnd{Result: routing.CacheMiss}}, s.hear(t))
	assert.Equal(t, "refused", s.AddressSelector.Status(unixSeconds(time.Now()))[0].Condition)
}

// The first address hangs: after its stagger the second is tried beside it, and the hop goes there. The first comes
// up later and is closed.
func TestAHungAddressIsPassedAndClosedWhenItComesUp(t *testing.T) {
	s := several(t, 20)
	s.send("a", 0)
	x, y := <-s.attempts, <-s.attempts
	assert.Equal(t, string(second), y.addr)
	far := y.up()
	assert.Equal(t, "do a", asked(t, bufio.NewReader(far)))
	select { // called off, unless it came up in the same moment
	case x.to <- nil:
	default:
	}
	assert.Equal(t, string(second), s.endpoints["m"].connections[0].dialedAddr())
}

// Both come up at the same moment: one is used, and the other is closed without a byte.
func TestOfTwoThatComeUpOneIsUsed(t *testing.T) {
	s := several(t, 20)
	s.send("a", 0)
	x, y := <-s.attempts, <-s.attempts
	a, b := x.up(), y.up()
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

// The list changes between attempt and success: the address passes to another member, and nothing is written there.
func TestAnAddressThatLeftTheListIsNotUsed(t *testing.T) {
	s := several(t, 20)
	s.send("a", 0)
	x := <-s.attempts
	s.EndpointAddresses = func(discovery.Endpoint) []address.Addr { return []address.Addr{second, "127.0.0.1:3"} }
	s.RefreshAddresses()
	far := x.up()
	_, err := far.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "closed unwritten")
	y := <-s.attempts
	assert.Equal(t, string(second), y.addr)
	assert.Equal(t, "do a", asked(t, bufio.NewReader(y.up())))
}

func TestAllAddressesRestingIsToldAtOnce(t *testing.T) {
	s := several(t, 20)
	now := unixSeconds(time.Now())
	s.AddressSelector.DialEnded(now, "m", first, address.DialRefused, 0)
	s.AddressSelector.DialEnded(now, "m", second, address.DialRefused, 0)
	c := s.send("a", 0)
	assert.Equal(t, AttemptEnded{Attempt: c, End: request.AttemptEnd{Result: routing.ConnectFailed}}, s.hear(t))
	assert.Empty(t, s.attempts)
}

// With no descriptor for a second attempt the first is waited for, then the second is made.
func TestWithoutDescriptorsAttemptsGoOneByOne(t *testing.T) {
	s := several(t, 3) // one for members
	s.send("a", 0)
	x := <-s.attempts
	select {
	case <-s.attempts:
		t.Fatal("a second attempt without a descriptor")
	case <-time.After(400 * time.Millisecond): // over the stagger; it only bounds how soon a fault would show
	}
	close(x.to)
	assert.Equal(t, "do a", asked(t, bufio.NewReader((<-s.attempts).up())))
	assert.False(t, s.Admission.AdmitEndpointConn(true), "the link's own is the only one held")
}

// A hop that is undone before its link is up was never written.
func TestAnUndoneHopIsWrittenNowhere(t *testing.T) {
	s := several(t, 20)
	c := s.send("a", 0)
	x := <-s.attempts
	code, atOnce := s.Cancel(c, routing.Cancelled)
	assert.Equal(t, routing.NotSent, code)
	assert.True(t, atOnce)
	far := x.up()
	b := s.send("b", 0)
	_ = b
	assert.Equal(t, "do b", asked(t, bufio.NewReader(far)))
}

// An address accepts, takes a hop and stays silent: the hop stays where it is, the next goes over the other address,
// and an order never tries the silent one.
func TestASilentAddressGetsNoFurtherHop(t *testing.T) {
	s := several(t, 40)
	a := s.send("a", 0)
	far := (<-s.attempts).up()
	r := bufio.NewReader(far)
	assert.Equal(t, "do a", asked(t, r))
	require.Eventually(t, func() bool { // the watch tells it once it has waited for long enough
		s.CheckAddresses(time.Now())
		return s.AddressSelector.Status(unixSeconds(time.Now()))[0].Condition == "quiet"
	}, 5*time.Second, 10*time.Millisecond)
	b := s.send("b", 0)
	assert.NotSame(t, a.Connection(), b.Connection())
	y := <-s.attempts
	assert.Equal(t, string(second), y.addr)
	other := y.up()
	assert.Equal(t, "do b", asked(t, bufio.NewReader(other)))
	_, _ = io.WriteString(other, "b not_here - 0\r\n\r\n")
	assert.Equal(t, b, s.hear(t).Attempt)
	x := &request.Request{ID: "c", ClassName: "order", Object: "ff", Part: "0", Class: 1}
	c := s.Send(cacheproto.Attempt{Request: x, TimeoutSeconds: 1, StartAttempt: routing.StartAttempt{Endpoint: "m"}}, nil, testOwner("c"))
	assert.Same(t, b.Connection(), c.Connection())
	_, _ = io.WriteString(far, "a not_here - 0\r\n\r\n")
	assert.Equal(t, a, s.hear(t).Attempt, "its late answer is its end")
	assert.Equal(t, "well", s.AddressSelector.Status(unixSeconds(time.Now()))[0].Condition)
}

// A member that starts again is another one: its old links get no new hop.
func TestLinksBelongToAStart(t *testing.T) {
	s := several(t, 40)
	a := s.send("a", 0)
	far := (<-s.attempts).up()
	assert.Equal(t, "do a", asked(t, bufio.NewReader(far)))
	_, _ = io.WriteString(far, "a not_here - 0\r\n\r\n")
	s.hear(t)
	s.list(7)
	b := s.send("b", 0)
	assert.NotSame(t, a.Connection(), b.Connection())
	s.CloseIdle(time.Now())
	_, err := far.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "retired")
}

// A rested address is looked at with a connection that carries nothing.
func TestALookCarriesNothing(t *testing.T) {
	s := several(t, 40)
	s.AddressSelector.DialEnded(unixSeconds(time.Now()), "m", first, address.DialRefused, 0)
	s.CheckAddresses(time.Now().Add(time.Minute))
	x := <-s.attempts
	assert.Equal(t, string(first), x.addr)
	far := x.up()
	s.dialed()
	assert.Equal(t, "well", s.AddressSelector.Status(unixSeconds(time.Now()))[0].Condition)
	require.Eventually(t, func() bool { s.send("a", 0); return len(s.endpoints["m"].connections) > 0 }, time.Second, time.Millisecond)
	assert.Equal(t, "do a", asked(t, bufio.NewReader(far)), "and then it is warm")
}

// blackHole is an address whose connections never come up: nobody accepts, and the backlog is full.
func blackHole(t *testing.T) address.Addr {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(fd) })
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	name, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	addr := fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
	for { // fill the backlog until one more does not come up
		c, err := net.DialTimeout("tcp", addr, 100*time.Millisecond)
		if err != nil {
			return address.Addr(addr)
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// On real sockets: a Unix socket's file that is gone, one that is no socket, and a black hole are passed for the
// address that answers, and only that one gets a byte.
func TestBadAddressesOfEveryKindArePassed(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "file")
	require.NoError(t, os.WriteFile(file, nil, 0o600))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	hole := blackHole(t)
	s := several(t, 40)
	s.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		a := address.Addr(addr)
		return (&net.Dialer{}).DialContext(ctx, a.Network(), a.Target())
	}
	list := []address.Addr{address.Addr("unix:" + filepath.Join(dir, "gone")), address.Addr("unix:" + file), hole, address.Addr(ln.Addr().String())}
	s.EndpointAddresses = func(discovery.Endpoint) []address.Addr { return list }
	s.RefreshAddresses()
	c := s.send("a", 0)
	far, err := ln.Accept()
	require.NoError(t, err)
	assert.Equal(t, "do a", asked(t, bufio.NewReader(far)))
	_, _ = io.WriteString(far, "a not_here - 0\r\n\r\n")
	assert.Equal(t, AttemptEnded{Attempt: c, End: request.AttemptEnd{Result: routing.CacheMiss}}, s.hear(t))
	for i, want := range []string{"refused", "refused"} {
		assert.Equal(t, want, s.AddressSelector.Status(unixSeconds(time.Now()))[i].Condition)
	}
}

// A member holds no more than its share of the descriptors: over it hops go together on a link.
func TestAMemberKeepsToItsShareOfDescriptors(t *testing.T) {
	s := several(t, 40) // sixteen for members, four for one
	s.MaxAttemptsPerConnection = 99
	links := map[*Connection]bool{}
	for i := range 20 {
		links[s.send(fmt.Sprint("t", i), 0).Connection()] = true
	}
	assert.Len(t, links, 4)
}
