package address

import (
	"net/netip"
	"slices"
	"strings"
)

// unixPrefix begins the address of a Unix socket.
const unixPrefix = "unix:"

// Addr is one address of an endpoint: host:port with a literal IP, or unix:PATH.
type Addr string

// Network returns the name of the address's network for a dialer.
func (a Addr) Network() string {
	if strings.HasPrefix(string(a), unixPrefix) {
		return "unix"
	}
	return "tcp"
}

// Target returns the address as its network has it.
func (a Addr) Target() string { return strings.TrimPrefix(string(a), unixPrefix) }

// addrFamily groups addresses by their distance.
type addrFamily int

// The families, nearest first. Within a family IPv6 and IPv4 are interleaved (RFC 8305, section 4).
const (
	familyUnix addrFamily = iota
	familyLoopback
	familyOther
)

// family returns the address's family, and whether it is IPv6.
func (a Addr) family() (family addrFamily, isIPv6 bool) {
	if a.Network() == "unix" {
		return familyUnix, false
	}
	addrPort, err := netip.ParseAddrPort(a.Target())
	if err != nil {
		return familyOther, false
	}
	ip := addrPort.Addr()
	isIPv6 = ip.Is6() && !ip.Is4In6()
	if ip.IsLoopback() {
		return familyLoopback, isIPv6
	}
	return familyOther, isIPv6
}

// sortAddrs returns the addresses by family, with IPv6 and IPv4 in turns within each, and without duplicates. The
// order within a family and IP version stays.
func sortAddrs(addrs []Addr) []Addr {
	var sorted []Addr
	for _, family := range []addrFamily{familyUnix, familyLoopback, familyOther} {
		var ipv6, ipv4 []Addr
		for _, a := range addrs {
			f, isIPv6 := a.family()
			switch {
			case f != family:
			case isIPv6 && !slices.Contains(ipv6, a):
				ipv6 = append(ipv6, a)
			case !isIPv6 && !slices.Contains(ipv4, a):
				ipv4 = append(ipv4, a)
			}
		}
		sorted = append(sorted, interleave(ipv6, ipv4)...)
	}
	return sorted
}

// interleave takes addresses from two lists in turns, the first list's first.
func interleave(a, b []Addr) []Addr {
	var mixed []Addr
	for i := range max(len(a), len(b)) {
		if i < len(a) {
			mixed = append(mixed, a[i])
		}
		if i < len(b) {
			mixed = append(mixed, b[i])
		}
	}
	return mixed
}
