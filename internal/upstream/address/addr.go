package address

import (
	"net/netip"
	"slices"
	"strings"
)

// unixPrefix is the prefix of Unix socket addresses.
const unixPrefix = "unix:"

// Addr is one address of an endpoint: host:port with a literal IP, or unix:PATH.
type Addr string

// Network returns the network name to pass to a dialer.
func (a Addr) Network() string {
	if strings.HasPrefix(string(a), unixPrefix) {
		return "unix"
	}
	return "tcp"
}

// Target returns the address to pass to a dialer, without the unix: prefix.
func (a Addr) Target() string { return strings.TrimPrefix(string(a), unixPrefix) }

// addrFamily groups addresses by network distance.
type addrFamily int

// Address families, nearest first. Within a family, IPv6 and IPv4 addresses alternate (RFC 8305, section 4).
const (
	familyUnix addrFamily = iota
	familyLoopback
	familyOther
)

// family returns the address's family and whether it is an IPv6 address.
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

// sortAddrs returns the addresses sorted by family and without duplicates. IPv6 and IPv4 alternate within each family.
// The order within a family and IP version is preserved.
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

// interleave merges two lists by alternating between them, starting with the first list.
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
